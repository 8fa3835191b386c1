package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// heartbeatReceived takes a worker's report, and answers it if we may.
func (s *Scheduler) heartbeatReceived(e HeartbeatReceived) {
	heartbeat := e.Heartbeat
	if !e.Entitled || !heartbeat.Valid() || heartbeat.FencingToken > s.cfg.Term || s.inventory.isDeleted(heartbeat.Machine) {
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo})
		return
	}
	if heartbeat.FencingToken < s.cfg.Term {
		s.answerUnfencedHeartbeat(e)
		return
	}
	m := s.inventory.getOrAdd(heartbeat.Machine, machinePool{heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot})
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
	s.setVerified(m, !m.fenced || (e.SameConnection && !s.isStale(m)))
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
		s.prober.probe(m)
	}
	s.decide()
	commands = s.buildCommands(m, inHeartbeatReply, commands)
	m.dispatchQueued, m.lastCommands = false, commands
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Accepted: true, Commands: commands})
}

// answerUnfencedHeartbeat answers a report that has not seen our term. It may be a late copy of one
// from before: the machine may be dead or deleted since, so nothing is believed of it but that a
// worker that hears the answer lives on. If it does, its next report shows our term, which no copy
// can.
func (s *Scheduler) answerUnfencedHeartbeat(e HeartbeatReceived) {
	m := s.inventory.find(e.Heartbeat.Machine)
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
