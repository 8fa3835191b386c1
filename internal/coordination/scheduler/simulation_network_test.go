package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
)

type delivery struct {
	at      time.Duration
	deliver func()
}

func (s *simulation) after(d time.Duration, f func()) {
	s.deliveries = append(s.deliveries, delivery{s.now + d, f})
}

// transit returns how long a message to or from a machine takes, and false if it is lost.
func (s *simulation) transit(machine *simulatedMachine) (time.Duration, bool) {
	if s.now < machine.partitionedUntil {
		if s.chance(0.5) {
			return machine.partitionedUntil - s.now + s.between(0, time.Second), true // delivered late
		}
		return 0, false
	}
	if !s.faultFree && s.chance(0.04) {
		if s.chance(0.5) {
			return s.between(time.Second, 30*time.Second), true
		}
		return 0, false
	}
	return s.between(time.Millisecond, 30*time.Millisecond), true
}

func (s *simulation) sendHeartbeat(machine *simulatedMachine) {
	heartbeat := s.heartbeat(machine)
	sentAt := s.now
	machine.heartbeatSentAt, machine.nextHeartbeatAt = sentAt, sentAt+s.between(1500*time.Millisecond, 2500*time.Millisecond)
	connectedTo := machine.connectedTo
	machine.connectedTo = nil
	if s.chance(0.05) { // a copy arrives between before the original and well over a lease later, by any route
		s.after(s.between(0, 40*time.Second), func() {
			if to := s.reachableLeader(); to != nil {
				s.step(to, HeartbeatReceived{Heartbeat: heartbeat, Entitled: s.now < to.entitledUntil, Relayed: s.chance(0.5), ReplyTo: func(*protocol.HeartbeatReply) {}})
			}
		})
	}
	delay, ok := s.transit(machine)
	if !ok {
		return
	}
	// It reaches the leader at the time of arrival, or an older one that still believes it leads.
	s.after(delay, func() {
		to := s.reachableLeader()
		if to == nil {
			return
		}
		s.step(to, HeartbeatReceived{Heartbeat: heartbeat, Entitled: s.now < to.entitledUntil, SameConnection: to == connectedTo, Relayed: s.chance(0.1), ReplyTo: func(reply *protocol.HeartbeatReply) {
			back, ok := s.transit(machine)
			if !ok || s.now < machine.unreachableUntil {
				return
			}
			s.after(back, func() {
				if s.acceptReply(machine, heartbeat, sentAt, reply) {
					machine.connectedTo = to
				}
			})
		}})
	})
}

// reachableLeader returns a controller that a heartbeat may reach, or nil.
func (s *simulation) reachableLeader() *simulatedController {
	var to *simulatedController
	for _, controller := range s.leaders {
		if !controller.dead && (to == nil || s.chance(0.7)) {
			to = controller
		}
	}
	return to
}

// sendDirectCommands delivers direct commands, perhaps very late. The sender's call times out.
func (s *simulation) sendDirectCommands(controller *simulatedController, request SendDirectCommands) {
	answered := false
	finish := func(result DirectCommandsDone) {
		if !answered {
			answered = true
			result.ID, result.Machine = request.ID, request.Machine
			s.step(controller, result)
		}
	}
	machine := s.machines[request.Machine]
	if machine == nil || machine.removed || s.now >= controller.entitledUntil {
		s.after(time.Millisecond, func() { finish(DirectCommandsDone{NotExecuted: true}) })
		return
	}
	s.after(2*time.Second, func() { finish(DirectCommandsDone{}) })
	delay, ok := s.transit(machine)
	if !ok || s.now < machine.unreachableUntil {
		return
	}
	s.after(delay, func() { s.deliverDirectCommands(machine, controller, request, finish) })
}

func (s *simulation) deliverDirectCommands(machine *simulatedMachine, controller *simulatedController, request SendDirectCommands, finish func(DirectCommandsDone)) {
	if machine.removed {
		return
	}
	if s.now < machine.hungUntil {
		s.after(machine.hungUntil-s.now, func() { s.deliverDirectCommands(machine, controller, request, finish) })
		return
	}
	s.expireLease(machine)
	var result DirectCommandsDone
	if controller.term < machine.fencingToken || request.Incarnation != machine.incarnation {
		result.NotExecuted = true
	} else {
		machine.fencingToken = controller.term
		s.execute(machine, request.Commands)
		result.Heartbeat = s.heartbeat(machine)
	}
	if back, ok := s.transit(machine); ok {
		s.after(back, func() { finish(result) })
	}
}
