package scheduler

import (
	"log/slog"
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
	s.place()
	orders = s.commands(m, r.Sequence, orders)
	m.todo, m.answered = false, orders
	s.emit(ReplyOut{Ref: e.Ref, OK: true, Commands: orders})
}

// answerUnfenced answers a report that has not seen our term. It may be a late copy of one from before: the machine may be dead or deleted since, so nothing is
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

// setVerified notes whether answers are known to reach a machine. While they are not, it gets no new tasks: reports may arrive from a machine
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

// relay tells whether a report is answered the way it came. A worker that comes through another controller is first told to come itself; one
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

// probeDone takes the task list of a machine that has not shown us that it saw our term. The list was made after the worker had seen it, so no order
// of an earlier leader can add to it. It renews no lease.
func (s *Scheduler) probeDone(e ProbeDone) {
	m := s.machines[e.Machine]
	r := e.Report
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

// knows tells whether a message is no newer than one of the machine with that tally, or of a session that is over.
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

// unclear notes that we cannot tell whether the starts of a direct command have arrived.
func (m *machine) unclear(id uint64) {
	for _, b := range m.bindings {
		if b.direct == id {
			b.direct, b.unclear = 0, true
		}
	}
}

// sendCorrections sends orders about tasks that should not be on a machine; if it is not possible now, its next report brings them up again.
func (s *Scheduler) sendCorrections(m *machine, orders []protocol.Command) {
	if len(orders) > 0 && s.reachable(m) {
		s.send(m, orders)
	}
}

func (s *Scheduler) reachable(m *machine) bool {
	return m.directID == 0 && !m.relayed && m.addr != "" && m.seen && m.fenced && !m.deleting && s.now >= m.mute && s.now <= m.heard+s.stale() && m.session > m.endedSession
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

// dispatch sends starts and stops directly to machines that have just been decided on. Only so many commands are on their way at once: a worker answers
// in milliseconds, so more than that means that this controller is behind, and then what is left over goes out in the answers to the next reports.
func (s *Scheduler) dispatch() {
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

// takeTasks compares what a machine has with what we think it has. It returns orders about tasks that should not be there. The message is
// a report, or with direct set the answer to that direct command.
func (s *Scheduler) takeTasks(m *machine, r *protocol.Report, direct uint64) []protocol.Command {
	m.sequence = r.Sequence
	var orders []protocol.Command
	listed := make(map[string]bool, len(r.Tasks))
	exits := make(map[attemptKey]exit, len(m.exits))
	zero := 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		jobID, idx, ok := protocol.ParseTaskName(t.Task)
		if !ok {
			continue
		}
		j := s.jobs[jobID]
		known := j != nil && idx < j.spec.Tasks
		b := m.bindings[t.Task]
		if t.State == protocol.Ended {
			ours := b != nil && b.attempt == t.Attempt
			if ours {
				b.arrived()
				listed[t.Task] = true
			}
			x, seen := m.exits[exitKey(t)]
			switch {
			case seen:
			case ours:
				x = s.ended(b, t)
			case known && t.Reason == protocol.ReasonDone && !j.cancelled:
				// An attempt that we had given up, or one of an earlier term: the result counts. If the task is
				// bound elsewhere meanwhile, it is stopped there.
				x = exit{job: j}
				x.chunk, x.sequence = s.taskDone(j, idx)
				if o := j.bound[idx]; o != nil && o != b {
					if o.phase == assigned {
						s.unbind(o)
					} else {
						s.stopBinding(o, "done elsewhere")
					}
				}
				s.finish(j)
			default:
				x = exit{}
			}
			exits[exitKey(t)] = x
			if !x.keep && x.durable() {
				orders = append(orders, protocol.Command{Verb: protocol.CommandForget, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		// A task that fetches, runs or saves.
		if b != nil && b.attempt != t.Attempt && b.phase != assigned && t.Attempt > b.attempt {
			// A later attempt than ours, of an earlier order of this term? Attempts rise, so ours is over.
			s.unbind(b)
			b = nil
		}
		switch {
		case b != nil && b.attempt == t.Attempt:
			listed[t.Task] = true
			s.progress(b, t)
		case known && !getBit(j.done, idx) && (j.bound[idx] == nil || j.bound[idx].phase == assigned):
			// Running, but not by our order: of an earlier term, mostly. It is ours now.
			if o := j.bound[idx]; o != nil {
				s.unbind(o)
			}
			b := s.bind(j, idx, m, t.Attempt, sent)
			s.progress(b, t)
			listed[t.Task] = true
			if !s.recovered || j.cancelled {
				break
			}
			s.note(true, "unexpected task adopted", "job", j.id, "task", idx, "attempt", t.Attempt, "machine", m.name)
		case b != nil && b.phase != assigned:
			// An older attempt is still here; our start is refused as busy. Keep the one that is here.
			try := b.attempt
			s.unbind(b)
			b = s.bind(j, idx, m, t.Attempt, sent)
			s.progress(b, t)
			listed[t.Task] = true
			s.note(true, "older attempt still there", "job", j.id, "task", idx, "attempt", t.Attempt, "newer", try, "machine", m.name)
		default:
			orders = append(orders, protocol.Command{Verb: protocol.CommandStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
			if known && j.cancelled {
				break
			}
			s.note(true, "stray task", "piece", t.Task, "attempt", t.Attempt, "machine", m.name)
		}
	}
	m.exits = exits
	for _, b := range m.sortedBinds() {
		if b.phase == assigned || listed[b.task] {
			continue
		}
		if b.phase == sent {
			switch {
			case b.unclear || (b.direct != 0 && b.direct != direct):
				continue // a direct start that may still arrive
			case b.direct == 0 && direct != 0:
				continue // the start went out in an answer to a report; that exchange may not be over yet
			}
			// It was in this very command; or it went out in the answer to an earlier report. The worker has one report in
			// flight and sends the next only once that exchange is over. Either way it can no longer arrive.
			if direct == 0 && b.direct == 0 {
				s.setVerified(m, false) // our answer did not reach it
			}
		} else {
			s.note(true, "task vanished", "job", b.job.id, "task", b.index, "attempt", b.attempt, "machine", m.name)
		}
		s.unbind(b)
	}
	return orders
}

// attemptKey names one attempt of one task.
type attemptKey struct {
	piece string
	try   uint64
}

func exitKey(t *protocol.TaskReport) attemptKey { return attemptKey{t.Task, t.Attempt} }

// arrived notes that the worker has our start. Only where it was repeated can another copy still be on its way.
func (b *binding) arrived() {
	b.direct = 0
	if !b.resent {
		b.unclear = false
	}
}

// progress notes what a bound task is doing.
func (s *Scheduler) progress(b *binding, t *protocol.TaskReport) {
	b.arrived()
	switch t.State {
	case protocol.Running:
		if b.phase != running {
			b.phase, b.runAt = running, s.now
			c := b.job.class
			c.seen++
			c.fetch += max(1/float64(c.seen), limits.LearnWeight) * ((s.now - b.at).Seconds() - c.fetch)
			b.machine.fetched += (s.now - b.at).Seconds() * b.job.need.cpu
			s.emit(Note{Level: slog.LevelDebug, Msg: "task running", Args: []any{"job", b.job.id, "class", b.job.spec.Class, "task", b.index, "machine", b.machine.name,
				"age", (s.now - b.job.at).Seconds(), "queued", (b.at - b.job.at).Seconds(), "fetch", (s.now - b.at).Seconds(), "gb", b.job.spec.ImageGB}})
			b.machine.images[b.job.spec.Image] = s.now
		}
	case protocol.Saving:
		b.phase = saving
	default:
		b.phase = fetching
	}
	if b.job.cancelled {
		s.stopBinding(b, "cancelled")
	}
}

// ended takes the end of one of our tasks.
func (s *Scheduler) ended(b *binding, t *protocol.TaskReport) exit {
	j, m, idx := b.job, b.machine, b.index
	ran := 0.0
	if b.phase == running {
		ran = (s.now - b.runAt).Seconds()
	}
	s.unbind(b)
	x := exit{keep: b.unclear}
	switch t.Reason {
	case protocol.ReasonDone:
		m.images[j.spec.Image] = s.now
		m.failures, m.failedJobs = 0, map[string]bool{}
		m.useful += ran * j.need.cpu
		if !j.cancelled {
			x.job = j
			x.chunk, x.sequence = s.taskDone(j, idx)
			if ran > 0 {
				s.learn(j, m, ran)
			}
		}
	case protocol.ReasonError:
		m.wasted += ran * j.need.cpu
		s.note(true, "task failed", "job", j.id, "task", idx, "attempt", t.Attempt, "machine", m.name)
		s.failed(j, m)
	case protocol.ReasonHalted:
		m.wasted += ran * j.need.cpu
		if b.stop && b.stopWhy != "cancelled" {
			j.stops[idx]++
		}
	case protocol.ReasonNoSuch:
		// The job's description cannot be had; try again, but not at once.
		j.resume = s.now + limits.JobBackoffMin
		s.note(true, "start refused", "job", j.id, "task", idx, "machine", m.name, "reason", t.Reason)
	default:
		s.note(false, "start refused", "job", j.id, "task", idx, "machine", m.name, "reason", t.Reason)
	}
	s.finish(j)
	return x
}

// learn takes a task's run time into the estimates.
func (s *Scheduler) learn(j *job, m *machine, ran float64) {
	if j.spec.EstimateS > 0 {
		c := j.class
		c.n++
		w := max(1/float64(c.n), limits.LearnWeight)
		c.ratio += w * (ran/j.spec.EstimateS - c.ratio)
	}
	if j.runCount >= 3 {
		m.speedCount++
		m.speedSum += ran / (j.runSum / float64(j.runCount))
	}
	j.runSum += ran
	j.runCount++
}

// failed weighs who is to blame for a failure: the machine, or the job.
func (s *Scheduler) failed(j *job, m *machine) {
	j.failOn[m.name] = true
	if len(j.failOn) >= limits.JobFaultMachines {
		// It fails wherever it goes, with no success between. It waits longer and longer, and its failures
		// condemn no machine.
		j.backoff = min(max(2*j.backoff, limits.JobBackoffMin), limits.JobBackoffMax)
		j.resume = s.now + j.backoff
		for _, o := range s.fleet {
			delete(o.failedJobs, j.id)
		}
		return
	}
	m.failures++
	m.failedJobs[j.id] = true
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
		if b.stop || b.phase == assigned {
			continue
		}
		need := b.job.estimate()
		if b.phase == running {
			need -= (s.now - b.runAt).Seconds()
		}
		if b.job.spec.CheckpointS > 0 {
			if left < b.job.spec.SaveS+limits.NoticeReports*s.report.Seconds() {
				s.stopBinding(b, "spot notice")
			}
		} else if need > left {
			s.stopBinding(b, "spot notice")
		}
	}
}

// orders are what a machine is told: stops and forgets first, then starts that fit into room that is surely free.
//
// tally is that of the report that is answered, or 0 for a direct command.
func (s *Scheduler) commands(m *machine, tally uint64, orders []protocol.Command) []protocol.Command {
	zero := 0.0
	var held room // by tasks that are on the machine or on their way
	binds := m.sortedBinds()
	for _, b := range binds {
		if b.phase == assigned {
			continue
		}
		held = held.plus(b.job.need)
		if b.phase == sent && b.unclear && !b.job.cancelled && !b.job.over && tally != 0 {
			// The same attempt again: without effect if the first start has arrived, or arrives later. With a stop behind it, it
			// only makes the worker know the attempt. A cancelled job's task is not started even so; removeBroken sees to its machine.
			b.resent = true
			orders = append(orders, protocol.Command{Verb: protocol.CommandStart, Task: b.task, Attempt: b.attempt})
		}
		if b.stop && (tally != 0 || !b.stopSent) {
			b.stopSent = true
			o := protocol.Command{Verb: protocol.CommandStop, Task: b.task, Attempt: b.attempt, GraceS: &zero}
			if b.job.spec.CheckpointS > 0 && !b.job.cancelled && b.stopWhy != "done elsewhere" {
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
		if !size.holds(held.plus(b.job.need)) {
			continue // its room is not confirmed yet
		}
		held = held.plus(b.job.need)
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
