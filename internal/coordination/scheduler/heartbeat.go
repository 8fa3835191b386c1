package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// handleHeartbeat handles a worker's heartbeat. The reply carries commands only if the leader is entitled
// and the worker has seen this term's fencing token.
func (s *Scheduler) handleHeartbeat(e HeartbeatReceived) {
	heartbeat := e.Heartbeat
	if reason := s.rejectionReason(e); reason != "" {
		if reason == WithheldLaterTerm {
			s.tokens.warnLaterTerm(heartbeat)
		}
		s.rejectHeartbeat(e, reason)
		return
	}
	if heartbeat.FencingToken < s.cfg.Term {
		s.replyToUnfencedHeartbeat(e)
		return
	}
	m := s.inventory.getOrAdd(heartbeat.Machine, machinePool{heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot})
	switch {
	case m.isOutdated(heartbeat, m.heartbeatSequence):
		s.replyToOutdatedHeartbeat(e, m)
	case !s.reachability.acceptRoute(m, e.Relayed):
		s.redirectHeartbeat(e)
	default:
		s.processHeartbeat(e, m)
	}
}

// rejectionReason returns why a heartbeat is rejected whatever is known of its machine's tasks, or "".
func (s *Scheduler) rejectionReason(e HeartbeatReceived) WithheldReason {
	switch {
	case !e.Entitled:
		return WithheldNotEntitled
	case !e.Heartbeat.IsValid():
		return WithheldMalformed
	case s.tokens.isOfLaterTerm(e.Heartbeat.FencingToken):
		return WithheldLaterTerm
	case s.inventory.isDeleted(e.Heartbeat.Machine):
		return WithheldMachineDeleted
	}
	return ""
}

// acceptHeartbeat answers a heartbeat with commands and renews the worker's lease. The machine is nil if it is unknown.
func (s *Scheduler) acceptHeartbeat(e HeartbeatReceived, m *machine, commands []protocol.Command) {
	reply := HeartbeatReply{
		ReplyTo: e.ReplyTo, Accepted: true, Machine: e.Heartbeat.Machine, FencingToken: s.cfg.Term, Commands: commands,
	}
	if m != nil {
		reply.FencingToken, reply.DirectStartToken = s.fencingTokenOf(m), m.directStartToken
	}
	s.emit(reply)
}

// rejectHeartbeat answers a heartbeat without renewing the worker's lease.
func (s *Scheduler) rejectHeartbeat(e HeartbeatReceived, reason WithheldReason) {
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Reason: reason})
}

// redirectHeartbeat instructs a worker whose heartbeat was relayed by another controller to send its
// heartbeats to this controller directly.
func (s *Scheduler) redirectHeartbeat(e HeartbeatReceived) {
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Redirect: true})
}

// processHeartbeat handles a heartbeat that is newer than all others from its machine. It updates the
// machine's state, runs the scheduler's decisions, and replies with the resulting commands.
func (s *Scheduler) processHeartbeat(e HeartbeatReceived, m *machine) {
	heartbeat := e.Heartbeat
	// A heartbeat after a gap may have been delayed, even on the same connection, and then does not show
	// that the worker still receives replies.
	s.reachability.setVerified(m, !m.fenced || (e.SameConnection && !s.isStale(m)))
	s.reachability.observeIncarnation(m, heartbeat)
	s.tokens.observe(m, heartbeat.FencingToken)
	m.heartbeatSequence, m.address = heartbeat.Sequence, heartbeat.Address
	m.lastHeartbeatAt = s.now
	s.registerMachine(m)
	s.recordSpotNotice(m, heartbeat)
	var commands []protocol.Command
	if heartbeat.Sequence > m.taskListSequence { // else a newer reply to a direct command or probe was processed
		commands = s.reconcileTasks(m, heartbeat, 0)
	}
	if !s.mayRenewLease(m, heartbeat) {
		s.rejectHeartbeat(e, WithheldCancelledTask)
		s.dispatcher.sendOverdueStops(m, s.assignments.appendStops(m, withoutForgets(commands)))
		return
	}
	m.leaseRenewedAt = s.now
	if m.spotNotice {
		s.stopTasksForSpotNotice(m)
	}
	if !m.verified {
		s.withhold(WithheldUnverified, s.assignments.releaseUnsent(m))
		s.prober.probeIfDue(m)
	}
	s.updatePlacement()
	commands = s.assignments.buildCommands(m, inHeartbeatReply, s.tokens.fenceForgets(m, commands))
	m.dispatchQueued, m.lastCommands = false, commands
	s.acceptHeartbeat(e, m, commands)
}

// replyToOutdatedHeartbeat replies to a delayed or duplicate heartbeat. It usually rejects the heartbeat,
// because its task list is old and the worker no longer waits for the reply. The exception is a duplicate of
// the newest heartbeat that arrives less than HeartbeatReplyTimeout after it: the first reply may have gone
// to a duplicate, so that the worker still waits for this one. It repeats the commands of the first reply.
func (s *Scheduler) replyToOutdatedHeartbeat(e HeartbeatReceived, m *machine) {
	isNewest := e.Heartbeat.Incarnation == m.incarnation && e.Heartbeat.Sequence == m.heartbeatSequence
	justAnswered := s.now < m.lastHeartbeatAt+limits.HeartbeatReplyTimeout
	switch {
	case !isNewest || !justAnswered || !m.hasLiveIncarnation():
		s.rejectHeartbeat(e, WithheldOutdated)
	case !s.mayRenewLease(m, e.Heartbeat):
		s.rejectHeartbeat(e, WithheldCancelledTask)
	default:
		s.acceptHeartbeat(e, m, m.commandsToRepeat())
	}
}

// replyToUnfencedHeartbeat replies to a heartbeat that carries the fencing token of an earlier term. The
// heartbeat may be a delayed duplicate from a machine that has failed or was deleted since, so its task list
// is not used, except that tasks of cancelled jobs are stopped, and that the lease is not renewed if they
// would run too long. The reply renews the lease of a worker that receives it, so the lease counts as
// renewed. The worker's next heartbeat then carries this term's token, which a delayed duplicate cannot. If
// the lease is not renewed, a probe conveys the token.
func (s *Scheduler) replyToUnfencedHeartbeat(e HeartbeatReceived) {
	m := s.inventory.find(e.Heartbeat.Machine)
	switch {
	case m == nil && e.Relayed:
		s.redirectHeartbeat(e)
		return
	case m == nil: // its route is not tracked
	case m.hasReported && e.Heartbeat.Incarnation < m.incarnation, e.Heartbeat.Incarnation <= m.endedIncarnation:
		s.rejectHeartbeat(e, WithheldOutdated)
		return
	case !s.reachability.acceptRoute(m, e.Relayed):
		s.redirectHeartbeat(e)
		return
	}
	if !s.mayRenewLease(m, e.Heartbeat) {
		s.rejectHeartbeat(e, WithheldCancelledTask)
		if m != nil {
			s.prober.probeUnlessTooSoon(m)
		}
		return
	}
	if m != nil && !m.fenced {
		// If the machine is fenced, the worker sent this heartbeat before it saw this term's token. A lease
		// runs from the sending of the heartbeat, so the renewal time that observeIncarnation recorded
		// when it marked the machine as fenced is late enough.
		m.leaseRenewedAt = s.now
	}
	s.acceptHeartbeat(e, m, s.stopsOfCancelledTasks(e.Heartbeat))
}
