package scheduler

import (
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// heartbeatReceived takes a worker's report, and answers it if we may.
func (s *Scheduler) heartbeatReceived(e HeartbeatReceived) {
	heartbeat := e.Heartbeat
	if !e.Entitled || !heartbeat.Valid() || heartbeat.FencingToken > s.cfg.Term || s.inventory.deleted[heartbeat.Machine] {
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	if heartbeat.FencingToken < s.cfg.Term {
		s.answerUnfencedHeartbeat(e)
		return
	}
	m := s.getOrAddMachine(heartbeat.Machine, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot)
	if m.isOutdated(heartbeat, m.heartbeatSequence) {
		// Late or repeated: the worker waits for no answer to it, and its task list is old. But if
		// it is the newest one and has only just been answered, that may have been a copy that
		// overtook it, and the worker waits for this answer.
		answerAgain := heartbeat.Incarnation == m.incarnation && heartbeat.Sequence == m.heartbeatSequence && heartbeat.Incarnation > m.endedIncarnation && s.now < m.lastHeartbeatAt+limits.HeartbeatAnswerTimeout && !s.holdsCancelledTask(m, s.cancelAnswerUntil)
		reply := HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: answerAgain}
		if answerAgain {
			reply.Commands = m.repeatableCommands()
		}
		s.emit(reply)
		return
	}
	if !s.acceptsRelayed(m, e.Relayed) {
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Redirect: true})
		return
	}
	// After a silence a report may be a late one, even on its old connection.
	s.setVerified(m, !m.fenced || (e.SameConnection && s.now <= m.lastHeartbeatAt+s.staleAfter()))
	s.observeIncarnation(m, heartbeat)
	m.heartbeatSequence, m.address = heartbeat.Sequence, heartbeat.Address
	m.lastHeartbeatAt = s.now
	s.registerMachine(m)
	if heartbeat.SpotNoticeS != nil && !m.spotNotice {
		m.spotNotice = true
		m.spotNoticeEnds = s.now + limits.Seconds(*heartbeat.SpotNoticeS)
		s.logInfo("spot notice", "machine", m.name, "seconds", *heartbeat.SpotNoticeS, "tasks", len(m.assignments))
		s.releaseUnsent(m)
	}
	var commands []protocol.Command
	if heartbeat.Sequence > m.sequence { // else a direct command's answer has overtaken it
		commands = s.reconcileTasks(m, heartbeat, 0)
	}
	if s.holdsCancelledTask(m, s.cancelAnswerUntil) {
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	m.leaseRenewedAt = s.now
	if m.spotNotice {
		s.stopForSpotNotice(m)
	}
	if !m.verified {
		s.releaseUnsent(m)
		s.probeMachine(m)
	}
	s.decide()
	commands = s.buildCommands(m, heartbeat.Sequence, commands)
	m.dispatchQueued, m.lastCommands = false, commands
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true, Commands: commands})
}

// answerUnfencedHeartbeat answers a report that has not seen our term. It may be a late copy of one
// from before: the machine may be dead or deleted since, so nothing is believed of it but that a
// worker that hears the answer lives on. If it does, its next report shows our term, which no copy
// can.
func (s *Scheduler) answerUnfencedHeartbeat(e HeartbeatReceived) {
	m := s.inventory.byName[e.Heartbeat.Machine]
	switch {
	case m == nil:
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: !e.Relayed, Redirect: e.Relayed})
		return
	case m.hasReported && e.Heartbeat.Incarnation < m.incarnation, e.Heartbeat.Incarnation <= m.endedIncarnation:
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	case !s.acceptsRelayed(m, e.Relayed):
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Redirect: true})
		return
	}
	if !m.fenced {
		m.leaseRenewedAt = s.now // else it was sent before the machine saw our term, and session has noted when we heard of that
	}
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true})
}

// again are the orders of the last answer, without the starts that are not wanted any more or have
// arrived since.
func (m *machine) repeatableCommands() []protocol.Command {
	var commands []protocol.Command
	for _, command := range m.lastCommands {
		if command.Verb == protocol.CommandStart {
			a := m.assignments[command.Task]
			if a == nil || a.attempt != command.Attempt || a.state != stateSent || a.stopping || a.job.cancelled || a.job.closed {
				continue
			}
		}
		commands = append(commands, command)
	}
	return commands
}

// setVerified notes whether answers are known to reach a machine. While they are not, it gets no
// new tasks: reports may arrive from a machine that hears nothing.
func (s *Scheduler) setVerified(m *machine, verified bool) {
	if verified && !m.verified {
		s.placement.needed = true
	}
	if !verified && (m.verified || m.unverifiedSince == 0) {
		m.unverifiedSince = s.now
	}
	m.verified = verified
}

// acceptsRelayed tells whether a report is answered the way it came. A worker that comes through
// another controller is first told to come itself; one that was here before and now comes that way,
// or that we did not reach either, cannot reach us. From time to time it is told to try again.
func (s *Scheduler) acceptsRelayed(m *machine, relayed bool) bool {
	if !relayed {
		m.reportsDirectly, m.relayed, m.redirected = true, false, false
		return true
	}
	if !m.reportsDirectly && m.missedProbes == 0 && !m.redirected {
		m.redirected = true
		return false
	}
	if m.relayed && s.now > m.relayedSince+limits.RelayRetryAfter {
		m.relayed = false
		return false
	}
	if !m.relayed {
		m.relayed, m.relayedSince = true, s.now
		s.logWarn("reports relayed", "machine", m.name)
	}
	return true
}

// observeIncarnation takes the session of a message that is not old. The tasks of earlier sessions
// were killed.
func (s *Scheduler) observeIncarnation(m *machine, heartbeat *protocol.Heartbeat) {
	if m.hasReported && heartbeat.Incarnation > m.incarnation {
		for _, a := range m.sortedAssignments() {
			if a.state != stateUnsent {
				s.logWarn("session lost", "machine", m.name, "job", a.job.id, "task", a.index, "attempt", a.attempt)
			}
			s.release(a)
		}
		m.endedTasks = map[attemptKey]endedTask{}
		m.cachedImages = map[string]time.Duration{}
	}
	if !m.hasReported || heartbeat.Incarnation > m.incarnation {
		m.sequence, m.heartbeatSequence = 0, 0
		s.placement.needed = true
	}
	if !m.hasReported {
		m.firstReportAt, m.idleSince = s.now, s.now
	}
	m.hasReported, m.incarnation = true, heartbeat.Incarnation
	if heartbeat.FencingToken == s.cfg.Term && !m.fenced {
		m.fenced, s.placement.needed = true, true
		m.leaseRenewedAt = max(m.leaseRenewedAt, s.now)
	}
}

// probeDone takes the task list of a machine that has not shown us that it saw our term. The list
// was made after the worker had seen it, so no order of an earlier leader can add to it. It renews
// no lease.
func (s *Scheduler) probeDone(e ProbeDone) {
	m := s.inventory.byName[e.Machine]
	heartbeat := e.Heartbeat
	if heartbeat != nil || e.NotSent {
		s.prober.budget.observe(s.now, e.NotSent || e.Took > limits.SlowHeartbeatWait)
	}
	if m != nil && heartbeat == nil && !e.NotSent {
		m.missedProbes++
		if s.recovery.fewUnreported && !m.hasReported && m.missedProbes < limits.UnreportedProbeMisses {
			m.nextProbeAt = s.now // all placement waits for it
			s.probeMachine(m)
		}
	}
	if m == nil || heartbeat == nil || heartbeat.Machine != e.Machine || !heartbeat.Valid() || heartbeat.FencingToken != s.cfg.Term || m.isOutdated(heartbeat, m.sequence) {
		return
	}
	s.observeIncarnation(m, heartbeat)
	s.setVerified(m, true)
	// Like a direct command's answer it says nothing of starts that went out another way and may
	// still arrive.
	s.dispatcher.sequence++
	s.sendCorrections(m, s.reconcileTasks(m, heartbeat, s.dispatcher.sequence))
}

// isOutdated tells whether a message is no newer than one of the machine with that tally, or of a
// session that is over.
func (m *machine) isOutdated(heartbeat *protocol.Heartbeat, newest uint64) bool {
	return m.hasReported && (heartbeat.Incarnation < m.incarnation || (heartbeat.Incarnation == m.incarnation && heartbeat.Sequence <= newest)) || heartbeat.Incarnation <= m.endedIncarnation
}

// directCommandsDone takes the answer to a direct command.
func (s *Scheduler) directCommandsDone(e DirectCommandsDone) {
	s.dispatcher.inFlight--
	m := s.inventory.byName[e.Machine]
	if m == nil || m.directID != e.ID {
		return
	}
	m.directID = 0
	defer s.queueGangDispatch(m)
	heartbeat := e.Heartbeat
	switch {
	case e.NotExecuted:
		// Nothing reached the worker, or it executed nothing: these starts cannot arrive any more.
		m.noDirectUntil = s.now + limits.DirectCommandPause
		for _, a := range m.sortedAssignments() {
			if a.directID == e.ID && a.state == stateSent {
				s.release(a)
			}
		}
	case heartbeat == nil:
		// It may be carried out at any time while the session and the term last. The next answers
		// to reports repeat the starts, which is harmless, and the tasks stay bound until they show
		// up or the session ends.
		m.noDirectUntil = s.now + limits.DirectCommandPause
		m.markStartsUnconfirmed(e.ID)
	case heartbeat.Machine != e.Machine || !heartbeat.Valid():
	case m.isOutdated(heartbeat, m.sequence):
		// A later message was here first and has told what became of the tasks, but for one that it
		// was too early for.
		m.markStartsUnconfirmed(e.ID)
	default:
		s.observeIncarnation(m, heartbeat)
		s.setVerified(m, true)
		s.sendCorrections(m, s.reconcileTasks(m, heartbeat, e.ID))
	}
}

// queueGangDispatch sends the commands of gangs that came up while another direct command was on
// its way.
func (s *Scheduler) queueGangDispatch(m *machine) {
	if !m.hasUnsentGangCommand() {
		return
	}
	s.queueDispatch(m)
	s.dispatcher.gangQueue = append(s.dispatcher.gangQueue, m)
}

// markStartsUnconfirmed notes that we cannot tell whether the starts of a direct command have arrived.
func (m *machine) markStartsUnconfirmed(id uint64) {
	for _, a := range m.assignments {
		if a.directID == id {
			a.directID, a.startUnconfirmed = 0, true
		}
	}
}

// sendCorrections sends orders about tasks that should not be on a machine; if it is not possible
// now, its next report brings them up again.
func (s *Scheduler) sendCorrections(m *machine, commands []protocol.Command) {
	if len(commands) > 0 && s.canSendDirectly(m) {
		s.sendDirectly(m, commands)
	}
}

func (s *Scheduler) canSendDirectly(m *machine) bool {
	reachable := m.address != "" && m.hasReported && m.fenced && m.incarnation > m.endedIncarnation
	fresh := s.now >= m.noDirectUntil && s.now <= m.lastHeartbeatAt+s.staleAfter()
	return reachable && fresh && m.directID == 0 && !m.relayed && !m.deleting
}

func (s *Scheduler) sendDirectly(m *machine, commands []protocol.Command) {
	s.dispatcher.sequence++
	m.directID = s.dispatcher.sequence
	s.dispatcher.inFlight++
	s.emit(SendDirectCommands{ID: m.directID, Machine: m.name, Address: m.address, Incarnation: m.incarnation, Commands: commands})
}

// queueDispatch notes that a machine has orders that did not go out yet.
func (s *Scheduler) queueDispatch(m *machine) {
	if !m.dispatchQueued {
		m.dispatchQueued = true
		s.dispatcher.queue = append(s.dispatcher.queue, m)
	}
}

// dispatch sends starts and stops directly to machines that have just been decided on. Only so many
// commands are on their way at once: a worker answers in milliseconds, so more than that means that
// this controller is behind, and then what is left over goes out in the answers to the next
// reports.
func (s *Scheduler) dispatch() {
	s.dispatchGangStops()
	if len(s.dispatcher.queue) == 0 || s.dispatcher.inFlight >= limits.MaxDirectCommands {
		return
	}
	queued := s.dispatcher.queue
	slices.SortFunc(queued[s.dispatcher.deferred:], byName)
	s.dispatcher.queue, s.dispatcher.deferred = nil, 0
	for i, m := range queued {
		if s.dispatcher.inFlight >= limits.MaxDirectCommands {
			s.dispatcher.queue = queued[i:]
			s.dispatcher.deferred = len(s.dispatcher.queue)
			return
		}
		if !m.dispatchQueued {
			continue
		}
		m.dispatchQueued = false
		if !s.canSendDirectly(m) {
			continue
		}
		if commands := s.buildCommands(m, 0, nil); len(commands) > 0 {
			s.sendDirectly(m, commands)
		}
	}
}

// dispatchGangStops sends the stops of gangs ahead of all else, however many commands are on their
// way: a gang of which one task is told too late loses the work of all. A machine that takes no
// direct command now is told in the answer to its next report, or once the command that is on its
// way is answered.
func (s *Scheduler) dispatchGangStops() {
	queued := s.dispatcher.gangQueue
	s.dispatcher.gangQueue = nil
	for _, m := range queued {
		if m.hasUnsentGangStop() && s.canSendDirectly(m) {
			s.sendDirectly(m, s.buildCommands(m, 0, nil))
		}
	}
}

// isFaulty tells whether a machine should get no more tasks: it has failed several in a row, and
// not just those of a job that fails everywhere.
func (m *machine) isFaulty() bool {
	return m.consecutiveFailures >= limits.FaultyFailures && len(m.failedJobs) > 0
}

// isSlow tells whether a machine takes far longer for its tasks than others do for the same jobs.
func (m *machine) isSlow() bool {
	return m.speedCount >= limits.SlowMachineTasks && m.speedSum > limits.SlowMachineFactor*float64(m.speedCount)
}

// stopForSpotNotice stops tasks on a machine that the cloud takes away: in time to save, or at once
// if they cannot be done before.
func (s *Scheduler) stopForSpotNotice(m *machine) {
	remaining := (m.spotNoticeEnds - s.now).Seconds()
	for _, a := range m.sortedAssignments() {
		if m.assignments[a.taskName] != a || a.stopping || a.state == stateUnsent {
			continue
		}
		needed := a.job.estimate()
		if a.state == stateRunning {
			needed -= (s.now - a.runningSince).Seconds()
		}
		if a.job.spec.CheckpointS > 0 {
			if remaining < a.job.spec.SaveS+limits.SpotNoticeSaveIntervals*s.heartbeatInterval.Seconds() {
				s.stopTask(a, "spot notice")
			}
		} else if needed > remaining {
			s.stopTask(a, "spot notice")
		}
	}
}

// orders are what a machine is told: stops and forgets first, then starts that fit into room that
// is surely free.
//
// tally is that of the report that is answered, or 0 for a direct command.
func (s *Scheduler) buildCommands(m *machine, answered uint64, commands []protocol.Command) []protocol.Command {
	noGrace := 0.0
	committed := m.committedRoom()
	assignments := m.sortedAssignments()
	for _, a := range assignments {
		if a.state == stateUnsent {
			continue
		}
		if a.state == stateSent && a.startUnconfirmed && !a.job.cancelled && !a.job.closed && answered != 0 {
			// The same attempt again: without effect if the first start has arrived, or arrives
			// later. With a stop behind it, it only makes the worker know the attempt. A cancelled
			// job's task is not started even so; removeBroken sees to its machine.
			a.startRepeated = true
			commands = append(commands, protocol.Command{Verb: protocol.CommandStart, Task: a.taskName, Attempt: a.attempt})
		}
		if a.stopping && (answered != 0 || !a.stopSent) {
			a.stopSent = true
			stop := protocol.Command{Verb: protocol.CommandStop, Task: a.taskName, Attempt: a.attempt, GraceS: &noGrace}
			if a.job.spec.CheckpointS > 0 && !a.job.cancelled && !a.withoutSaving && a.stopReason != "done elsewhere" {
				grace := a.job.spec.SaveS + limits.SaveMargin.Seconds()
				stop.GraceS = &grace
			}
			commands = append(commands, stop)
		}
	}
	sort.SliceStable(assignments, func(a, b int) bool { return assignments[a].job.priority > assignments[b].job.priority })
	size := m.size()
	for _, a := range assignments {
		if a.state != stateUnsent {
			continue
		}
		if m.spotNotice || m.deleting || a.job.cancelled {
			s.release(a)
			continue
		}
		if m.registration != registered {
			continue // a successor would not know that tasks can be here
		}
		switch {
		case a.committed: // its room is kept, see commitGangs
		case a.job.gang != nil || !size.Fits(committed.Plus(a.job.demand)):
			continue // its room is not confirmed yet
		default:
			committed = committed.Plus(a.job.demand)
		}
		a.state, a.assignedAt = stateSent, s.now
		if answered == 0 {
			a.directID = s.dispatcher.sequence + 1 // see send
		}
		commands = append(commands, protocol.Command{Verb: protocol.CommandStart, Task: a.taskName, Attempt: a.attempt})
		if len(commands) >= limits.MaxCommands {
			break
		}
	}
	return commands
}

// nextAttempt returns the next attempt number; attempts rise across leaders because the term is
// their high part.
func (s *Scheduler) nextAttempt() uint64 {
	s.attemptSequence++
	return s.cfg.Term<<limits.AttemptTermShift | s.attemptSequence
}
