package scheduler

import (
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// reportIn takes a worker's report, and answers it if we may.
func (s *Scheduler) reportIn(e ReportIn) {
	r := e.Report
	if !e.Entitled || !r.Valid() || r.Token > s.cfg.Term || s.gone[r.Machine] {
		s.emit(ReplyOut{Ref: e.Ref})
		return
	}
	if r.Token < s.cfg.Term {
		s.answerUnfenced(e)
		return
	}
	m := s.machine(r.Machine, r.MachineType, r.Zone, r.Spot)
	if m.isOutdated(r, m.reportSequence) {
		// Late or repeated: the worker waits for no answer to it, and its task list is old. But if it is the newest one and has only just been
		// answered, that may have been a copy that overtook it, and the worker waits for this answer.
		copied := r.Session == m.session && r.Sequence == m.reportSequence && r.Session > m.endedSession && s.now < m.heard+limits.StaleReport && !s.holdsCancelled(m, s.lastAnswer)
		reply := ReplyOut{Ref: e.Ref, OK: copied}
		if copied {
			reply.Commands = m.repeatable()
		}
		s.emit(reply)
		return
	}
	if !s.relay(m, e.Relayed) {
		s.emit(ReplyOut{Ref: e.Ref, Redirect: true})
		return
	}
	// After a silence a report may be a late one, even on its old connection.
	s.setVerified(m, !m.fenced || (e.Stayed && s.now <= m.heard+s.stale()))
	s.session(m, r)
	m.reportSequence, m.addr = r.Sequence, r.Address
	m.heard = s.now
	s.register(m)
	if r.NoticeS != nil && !m.notice {
		m.notice = true
		m.noticeEnd = s.now + limits.Seconds(*r.NoticeS)
		s.note(false, "spot notice", "machine", m.name, "seconds", *r.NoticeS, "tasks", len(m.bindings))
		s.withdraw(m)
	}
	var orders []protocol.Command
	if r.Sequence > m.sequence { // else a direct command's answer has overtaken it
		orders = s.takeTasks(m, r, 0)
	}
	if s.holdsCancelled(m, s.lastAnswer) {
		s.emit(ReplyOut{Ref: e.Ref})
		return
	}
	m.leaseBase = s.now
	if m.notice {
		s.clearForNotice(m)
	}
	if !m.verified {
		s.withdraw(m)
		s.probeMachine(m)
	}
	s.decide()
	orders = s.commands(m, r.Sequence, orders)
	m.todo, m.answered = false, orders
	s.emit(ReplyOut{Ref: e.Ref, OK: true, Commands: orders})
}

// answerUnfenced answers a report that has not seen our term. It may be a late copy of one from before: the machine may be dead or
// deleted since, so nothing is
// believed of it but that a worker that hears the answer lives on. If it does, its next report shows our term, which no copy can.
func (s *Scheduler) answerUnfenced(e ReportIn) {
	m := s.machines[e.Report.Machine]
	switch {
	case m == nil:
		s.emit(ReplyOut{Ref: e.Ref, OK: !e.Relayed, Redirect: e.Relayed})
		return
	case m.seen && e.Report.Session < m.session, e.Report.Session <= m.endedSession:
		s.emit(ReplyOut{Ref: e.Ref})
		return
	case !s.relay(m, e.Relayed):
		s.emit(ReplyOut{Ref: e.Ref, Redirect: true})
		return
	}
	if !m.fenced {
		m.leaseBase = s.now // else it was sent before the machine saw our term, and session has noted when we heard of that
	}
	s.emit(ReplyOut{Ref: e.Ref, OK: true})
}

// again are the orders of the last answer, without the starts that are not wanted any more or have arrived since.
func (m *machine) repeatable() []protocol.Command {
	var out []protocol.Command
	for _, o := range m.answered {
		if o.Verb == protocol.CommandStart {
			b := m.bindings[o.Task]
			if b == nil || b.attempt != o.Attempt || b.phase != sent || b.stop || b.job.cancelled || b.job.over {
				continue
			}
		}
		out = append(out, o)
	}
	return out
}

// setVerified notes whether answers are known to reach a machine. While they are not, it gets no new tasks: reports may arrive from a
// machine
// that hears nothing.
func (s *Scheduler) setVerified(m *machine, ok bool) {
	if ok && !m.verified {
		s.dirty = true
	}
	if !ok && (m.verified || m.unverifiedSince == 0) {
		m.unverifiedSince = s.now
	}
	m.verified = ok
}

// relay tells whether a report is answered the way it came. A worker that comes through another controller is first told to come itself;
// one
// that was here before and now comes that way, or that we did not reach either, cannot reach us. From time to time it is told to try again.
func (s *Scheduler) relay(m *machine, relayed bool) bool {
	if !relayed {
		m.direct, m.relayed, m.redirected = true, false, false
		return true
	}
	if !m.direct && m.misses == 0 && !m.redirected {
		m.redirected = true
		return false
	}
	if m.relayed && s.now > m.relayFrom+limits.RelayFor {
		m.relayed = false
		return false
	}
	if !m.relayed {
		m.relayed, m.relayFrom = true, s.now
		s.note(true, "reports relayed", "machine", m.name)
	}
	return true
}

// session takes the session of a message that is not old. The tasks of earlier sessions were killed.
func (s *Scheduler) session(m *machine, r *protocol.Report) {
	if m.seen && r.Session > m.session {
		for _, b := range m.sortedBinds() {
			if b.phase != assigned {
				s.note(true, "session lost", "machine", m.name, "job", b.job.id, "task", b.index, "attempt", b.attempt)
			}
			s.unbind(b)
		}
		m.exits = map[attemptKey]exit{}
		m.images = map[string]time.Duration{}
	}
	if !m.seen || r.Session > m.session {
		m.sequence, m.reportSequence = 0, 0
		s.dirty = true
	}
	if !m.seen {
		m.upAt, m.idleSince = s.now, s.now
	}
	m.seen, m.session = true, r.Session
	if r.Token == s.cfg.Term && !m.fenced {
		m.fenced, s.dirty = true, true
		m.leaseBase = max(m.leaseBase, s.now)
	}
}

// probeDone takes the task list of a machine that has not shown us that it saw our term. The list was made after the worker had seen it,
// so no order
// of an earlier leader can add to it. It renews no lease.
func (s *Scheduler) probeDone(e ProbeDone) {
	m := s.machines[e.Machine]
	r := e.Report
	if r != nil || e.NotSent {
		s.probes.observe(s.now, e.NotSent || e.Took > limits.BusyWait)
	}
	if m != nil && r == nil && !e.NotSent {
		m.misses++
		if s.fewUnheard && !m.seen && m.misses < limits.FewMisses {
			m.probeAt = s.now // all placement waits for it
			s.probeMachine(m)
		}
	}
	if m == nil || r == nil || r.Machine != e.Machine || !r.Valid() || r.Token != s.cfg.Term || m.isOutdated(r, m.sequence) {
		return
	}
	s.session(m, r)
	s.setVerified(m, true)
	// Like a direct command's answer it says nothing of starts that went out another way and may still arrive.
	s.sendSeq++
	s.sendCorrections(m, s.takeTasks(m, r, s.sendSeq))
}

// isOutdated tells whether a message is no newer than one of the machine with that tally, or of a session that is over.
func (m *machine) isOutdated(r *protocol.Report, tally uint64) bool {
	return m.seen && (r.Session < m.session || (r.Session == m.session && r.Sequence <= tally)) || r.Session <= m.endedSession
}

// directDone takes the answer to a direct command.
func (s *Scheduler) directDone(e DirectDone) {
	s.directs--
	m := s.machines[e.Machine]
	if m == nil || m.directID != e.ID {
		return
	}
	m.directID = 0
	defer s.queueGangCommands(m)
	r := e.Report
	switch {
	case e.Refused:
		// Nothing reached the worker, or it executed nothing: these starts cannot arrive any more.
		m.mute = s.now + limits.MuteAfter
		for _, b := range m.sortedBinds() {
			if b.direct == e.ID && b.phase == sent {
				s.unbind(b)
			}
		}
	case r == nil:
		// It may be carried out at any time while the session and the term last. The next answers to reports
		// repeat the starts, which is harmless, and the tasks stay bound until they show up or the session ends.
		m.mute = s.now + limits.MuteAfter
		m.unclear(e.ID)
	case r.Machine != e.Machine || !r.Valid():
	case m.isOutdated(r, m.sequence):
		// A later message was here first and has told what became of the tasks, but for one that it was too early for.
		m.unclear(e.ID)
	default:
		s.session(m, r)
		s.setVerified(m, true)
		s.sendCorrections(m, s.takeTasks(m, r, e.ID))
	}
}

// queueGangCommands sends the commands of gangs that came up while another direct command was on its way.
func (s *Scheduler) queueGangCommands(m *machine) {
	if !m.hasGangCommand() {
		return
	}
	s.queueCommands(m)
	s.urgent = append(s.urgent, m)
}

// unclear notes that we cannot tell whether the starts of a direct command have arrived.
func (m *machine) unclear(id uint64) {
	for _, b := range m.bindings {
		if b.direct == id {
			b.direct, b.unclear = 0, true
		}
	}
}

// sendCorrections sends orders about tasks that should not be on a machine; if it is not possible now, its next report brings them up
// again.
func (s *Scheduler) sendCorrections(m *machine, orders []protocol.Command) {
	if len(orders) > 0 && s.reachable(m) {
		s.send(m, orders)
	}
}

func (s *Scheduler) reachable(m *machine) bool {
	known := m.addr != "" && m.seen && m.fenced && m.session > m.endedSession
	fresh := s.now >= m.mute && s.now <= m.heard+s.stale()
	return known && fresh && m.directID == 0 && !m.relayed && !m.deleting
}

func (s *Scheduler) send(m *machine, orders []protocol.Command) {
	s.sendSeq++
	m.directID = s.sendSeq
	s.directs++
	s.emit(DirectOut{ID: m.directID, Machine: m.name, Address: m.addr, Session: m.session, Commands: orders})
}

// queueCommands notes that a machine has orders that did not go out yet.
func (s *Scheduler) queueCommands(m *machine) {
	if !m.todo {
		m.todo = true
		s.todo = append(s.todo, m)
	}
}

// dispatch sends starts and stops directly to machines that have just been decided on. Only so many commands are on their way at once: a
// worker answers
// in milliseconds, so more than that means that this controller is behind, and then what is left over goes out in the answers to the
// next reports.
func (s *Scheduler) dispatch() {
	s.dispatchGangStops()
	if len(s.todo) == 0 || s.directs >= limits.DirectsMost {
		return
	}
	todo := s.todo
	slices.SortFunc(todo[s.held:], byName)
	s.todo, s.held = nil, 0
	for i, m := range todo {
		if s.directs >= limits.DirectsMost {
			s.todo = todo[i:]
			s.held = len(s.todo)
			return
		}
		if !m.todo {
			continue
		}
		m.todo = false
		if !s.reachable(m) {
			continue
		}
		if orders := s.commands(m, 0, nil); len(orders) > 0 {
			s.send(m, orders)
		}
	}
}

// dispatchGangStops sends the stops of gangs ahead of all else, however many commands are on their way: a gang of which one task is
// told too late loses the work of all. A machine that takes no direct command now is told in the answer to its next report, or once
// the command that is on its way is answered.
func (s *Scheduler) dispatchGangStops() {
	urgent := s.urgent
	s.urgent = nil
	for _, m := range urgent {
		if m.hasGangStop() && s.reachable(m) {
			s.send(m, s.commands(m, 0, nil))
		}
	}
}

// sick tells whether a machine should get no more tasks: it has failed several in a row, and not just those of a job that
// fails everywhere.
func (m *machine) sick() bool {
	return m.failures >= limits.SickErrors && len(m.failedJobs) > 0
}

// slow tells whether a machine takes far longer for its tasks than others do for the same jobs.
func (m *machine) slow() bool {
	return m.speedCount >= limits.SlowTasks && m.speedSum > limits.SlowFactor*float64(m.speedCount)
}

// clearForNotice stops tasks on a machine that the cloud takes away: in time to save, or at once if they cannot be done before.
func (s *Scheduler) clearForNotice(m *machine) {
	left := (m.noticeEnd - s.now).Seconds()
	for _, b := range m.sortedBinds() {
		if m.bindings[b.task] != b || b.stop || b.phase == assigned {
			continue
		}
		need := b.job.estimate()
		if b.phase == running {
			need -= (s.now - b.runAt).Seconds()
		}
		if b.job.spec.CheckpointS > 0 {
			if left < b.job.spec.SaveS+limits.NoticeReports*s.report.Seconds() {
				s.stopTask(b, "spot notice")
			}
		} else if need > left {
			s.stopTask(b, "spot notice")
		}
	}
}

// orders are what a machine is told: stops and forgets first, then starts that fit into room that is surely free.
//
// tally is that of the report that is answered, or 0 for a direct command.
func (s *Scheduler) commands(m *machine, tally uint64, orders []protocol.Command) []protocol.Command {
	zero := 0.0
	held := m.held()
	binds := m.sortedBinds()
	for _, b := range binds {
		if b.phase == assigned {
			continue
		}
		if b.phase == sent && b.unclear && !b.job.cancelled && !b.job.over && tally != 0 {
			// The same attempt again: without effect if the first start has arrived, or arrives later. With a stop behind it, it
			// only makes the worker know the attempt. A cancelled job's task is not started even so; removeBroken sees to its machine.
			b.resent = true
			orders = append(orders, protocol.Command{Verb: protocol.CommandStart, Task: b.task, Attempt: b.attempt})
		}
		if b.stop && (tally != 0 || !b.stopSent) {
			b.stopSent = true
			o := protocol.Command{Verb: protocol.CommandStop, Task: b.task, Attempt: b.attempt, GraceS: &zero}
			if b.job.spec.CheckpointS > 0 && !b.job.cancelled && !b.abrupt && b.stopWhy != "done elsewhere" {
				grace := b.job.spec.SaveS + limits.StashMargin.Seconds()
				o.GraceS = &grace
			}
			orders = append(orders, o)
		}
	}
	sort.SliceStable(binds, func(a, b int) bool { return binds[a].job.priority > binds[b].job.priority })
	size := m.size()
	for _, b := range binds {
		if b.phase != assigned {
			continue
		}
		if m.notice || m.deleting || b.job.cancelled {
			s.unbind(b)
			continue
		}
		if m.registration != registered {
			continue // a successor would not know that tasks can be here
		}
		switch {
		case b.committed: // its room is kept, see commitGangs
		case b.job.gang != nil || !size.holds(held.plus(b.job.need)):
			continue // its room is not confirmed yet
		default:
			held = held.plus(b.job.need)
		}
		b.phase, b.at = sent, s.now
		if tally == 0 {
			b.direct = s.sendSeq + 1 // see send
		}
		orders = append(orders, protocol.Command{Verb: protocol.CommandStart, Task: b.task, Attempt: b.attempt})
		if len(orders) >= limits.MaxCommands {
			break
		}
	}
	return orders
}

// attempt returns the next attempt number; attempts rise across leaders because the term is their high part.
func (s *Scheduler) attempt() uint64 {
	s.seq++
	return s.cfg.Term<<limits.TryTermShift | s.seq
}
