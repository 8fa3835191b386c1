package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// heartbeatReceived handles a worker's heartbeat, and answers it with commands if we may act.
func (s *Scheduler) heartbeatReceived(e HeartbeatReceived) {
	heartbeat := e.Heartbeat
	switch {
	case !e.Entitled || !heartbeat.Valid() || heartbeat.FencingToken > s.cfg.Term ||
		s.inventory.isDeleted(heartbeat.Machine):
		s.rejectHeartbeat(e)
		return
	case heartbeat.FencingToken < s.cfg.Term:
		s.answerUnfencedHeartbeat(e)
		return
	}
	m := s.inventory.getOrAdd(heartbeat.Machine, machinePool{heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot})
	switch {
	case m.isOutdated(heartbeat, m.heartbeatSequence):
		s.answerOutdatedHeartbeat(e, m)
	case !s.reachability.acceptRoute(m, e.Relayed):
		s.redirectHeartbeat(e)
	default:
		s.processHeartbeat(e, m)
	}
}

// rejectHeartbeat answers a heartbeat so that it renews no lease.
func (s *Scheduler) rejectHeartbeat(e HeartbeatReceived) {
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
}

// redirectHeartbeat tells a worker whose heartbeat came through another controller to come here itself.
func (s *Scheduler) redirectHeartbeat(e HeartbeatReceived) {
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Redirect: true})
}

// processHeartbeat handles a heartbeat that is newer than all others of its machine: it brings what we
// know of the machine in line, lets the scheduler decide, and answers with the commands that follow.
func (s *Scheduler) processHeartbeat(e HeartbeatReceived, m *machine) {
	heartbeat := e.Heartbeat
	// A heartbeat that comes after a gap may be a late one, even on its old connection.
	s.reachability.setVerified(m, !m.fenced || (e.SameConnection && !s.isStale(m)))
	s.reachability.observeIncarnation(m, heartbeat)
	m.heartbeatSequence, m.address = heartbeat.Sequence, heartbeat.Address
	m.lastHeartbeatAt = s.now
	s.registerMachine(m)
	s.noteSpotNotice(m, heartbeat)
	var commands []protocol.Command
	if heartbeat.Sequence > m.sequence { // else the answer to a direct command has overtaken it
		commands = s.reconcileTasks(m, heartbeat, 0)
	}
	if s.holdsCancelledTask(m, s.cancelReplyDeadline) {
		s.rejectHeartbeat(e)
		return
	}
	m.leaseRenewedAt = s.now
	if m.spotNotice {
		s.stopForSpotNotice(m)
	}
	if !m.verified {
		s.assignments.releaseUnsent(m)
		s.prober.probe(m)
	}
	s.decide()
	commands = s.assignments.buildCommands(m, inHeartbeatReply, commands)
	m.dispatchQueued, m.lastCommands = false, commands
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true, Commands: commands})
}

// answerOutdatedHeartbeat answers a heartbeat that is late or repeated: the worker waits for no answer
// to it, and its task list is old. But if it is the newest one and has only just been answered, that
// may have been a copy that overtook it, and the worker waits for this answer.
func (s *Scheduler) answerOutdatedHeartbeat(e HeartbeatReceived, m *machine) {
	isNewest := e.Heartbeat.Incarnation == m.incarnation && e.Heartbeat.Sequence == m.heartbeatSequence
	justAnswered := s.now < m.lastHeartbeatAt+limits.HeartbeatReplyTimeout
	if !isNewest || !justAnswered || !m.hasLiveIncarnation() || s.holdsCancelledTask(m, s.cancelReplyDeadline) {
		s.rejectHeartbeat(e)
		return
	}
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true, Commands: m.repeatableCommands()})
}

// answerUnfencedHeartbeat answers a heartbeat of a worker that has not seen our term. It may be a late
// copy of one from before: the machine may be dead or deleted since, so nothing is believed of it but
// that a worker that hears the answer lives on. If it does, its next heartbeat shows our term, which no
// copy can.
func (s *Scheduler) answerUnfencedHeartbeat(e HeartbeatReceived) {
	m := s.inventory.find(e.Heartbeat.Machine)
	switch {
	case m == nil && e.Relayed:
		s.redirectHeartbeat(e)
		return
	case m == nil:
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true})
		return
	case m.hasReported && e.Heartbeat.Incarnation < m.incarnation, e.Heartbeat.Incarnation <= m.endedIncarnation:
		s.rejectHeartbeat(e)
		return
	case !s.reachability.acceptRoute(m, e.Relayed):
		s.redirectHeartbeat(e)
		return
	}
	if !m.fenced {
		// Otherwise it was sent before the machine saw our term, and observeIncarnation has noted when
		// we heard of that.
		m.leaseRenewedAt = s.now
	}
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true})
}
