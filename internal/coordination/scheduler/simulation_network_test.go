package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
)

// directCommandTimeout is how long the sender of direct commands waits for their result.
const directCommandTimeout = 2 * time.Second

// delivery is something that happens at a later time.
type scheduledCall struct {
	at   time.Duration
	call func()
}

// after calls a function when some time has passed.
func (s *simulation) afterFunc(delay time.Duration, call func()) {
	s.scheduledCalls = append(s.scheduledCalls, scheduledCall{s.now + delay, call})
}

// runDeliveries makes all deliveries that are due, in order of time; those of the same time in the
// order in which they were asked for.
func (s *simulation) runDueCalls() {
	for {
		earliest := -1
		for i := range s.scheduledCalls {
			if s.scheduledCalls[i].at <= s.now &&
				(earliest < 0 || s.scheduledCalls[i].at < s.scheduledCalls[earliest].at) {
				earliest = i
			}
		}
		if earliest < 0 {
			return
		}
		next := s.scheduledCalls[earliest]
		s.scheduledCalls = append(s.scheduledCalls[:earliest], s.scheduledCalls[earliest+1:]...)
		next.call()
	}
}

// transit returns how long a message to or from a machine takes, and false if it is lost.
func (s *simulation) messageDelay(machine *simulatedMachine) (time.Duration, bool) {
	if s.now < machine.partitionedUntil {
		if s.withProbability(0.5) {
			return machine.partitionedUntil - s.now + s.randomDuration(0, time.Second), true // delivered late
		}
		return 0, false
	}
	if !s.faultFree && s.withProbability(0.04) {
		if s.withProbability(0.5) {
			return s.randomDuration(time.Second, 30*time.Second), true
		}
		return 0, false
	}
	return s.randomDuration(time.Millisecond, 30*time.Millisecond), true
}

// sendHeartbeat sends a worker's heartbeat to whoever leads when it arrives, or to an older leader
// that still believes it leads. Now and then a copy arrives as well.
func (s *simulation) sendHeartbeat(machine *simulatedMachine) {
	heartbeat := s.newHeartbeat(machine)
	sentAt := s.now
	machine.heartbeatSentAt = sentAt
	machine.nextHeartbeatAt = sentAt + s.randomDuration(1500*time.Millisecond, 2500*time.Millisecond)
	connectedTo := machine.connectedTo
	machine.connectedTo = nil
	if s.withProbability(0.05) {
		s.deliverDuplicateHeartbeat(heartbeat)
	}
	delay, ok := s.messageDelay(machine)
	if !ok {
		return
	}
	s.afterFunc(delay, func() {
		leader := s.pickReachableLeader()
		if leader == nil {
			return
		}
		s.step(leader, HeartbeatReceived{
			Heartbeat:      heartbeat,
			Entitled:       s.isEntitled(leader),
			SameConnection: leader == connectedTo,
			Relayed:        s.withProbability(0.1),
			ReplyTo: responderFunc(func(reply *protocol.HeartbeatReply) {
				s.deliverReply(machine, leader, heartbeat, sentAt, reply)
			}),
		})
	})
}

// deliverCopy delivers a copy of a heartbeat by any route, some time from before the original to well
// over a lease later.
func (s *simulation) deliverDuplicateHeartbeat(heartbeat *protocol.Heartbeat) {
	s.afterFunc(s.randomDuration(0, 40*time.Second), func() {
		leader := s.pickReachableLeader()
		if leader == nil {
			return
		}
		s.step(leader, HeartbeatReceived{
			Heartbeat: heartbeat,
			Entitled:  s.isEntitled(leader),
			Relayed:   s.withProbability(0.5),
			ReplyTo:   responderFunc(func(*protocol.HeartbeatReply) {}),
		})
	})
}

// deliverReply delivers the reply to a heartbeat.
func (s *simulation) deliverReply(
	machine *simulatedMachine, leader *simulatedController,
	heartbeat *protocol.Heartbeat, sentAt time.Duration, reply *protocol.HeartbeatReply,
) {
	delay, ok := s.messageDelay(machine)
	if !ok || s.now < machine.unreachableUntil {
		return
	}
	s.afterFunc(delay, func() {
		if s.handleHeartbeatReply(machine, heartbeat, sentAt, reply) {
			machine.connectedTo = leader
		}
	})
}

// reachableLeader returns a controller that a heartbeat may reach, or nil.
func (s *simulation) pickReachableLeader() *simulatedController {
	var picked *simulatedController
	for _, controller := range s.leaders {
		if !controller.stopped && (picked == nil || s.withProbability(0.7)) {
			picked = controller
		}
	}
	return picked
}

// sendDirectCommands delivers direct commands, perhaps very late. The sender's call times out.
func (s *simulation) sendDirectCommands(controller *simulatedController, request SendDirectCommands) {
	finished := false
	finish := func(result DirectCommandsDone) {
		if !finished {
			finished = true
			result.ID, result.Machine = request.ID, request.Machine
			s.step(controller, result)
		}
	}
	machine := s.machines[request.Machine]
	if machine == nil || machine.removed || !s.isEntitled(controller) {
		s.afterFunc(time.Millisecond, func() { finish(DirectCommandsDone{NotExecuted: true}) })
		return
	}
	s.afterFunc(directCommandTimeout, func() { finish(DirectCommandsDone{}) })
	delay, ok := s.messageDelay(machine)
	if !ok || s.now < machine.unreachableUntil {
		return
	}
	s.afterFunc(delay, func() { s.deliverDirectCommands(machine, controller.term, request, finish) })
}

func (s *simulation) deliverDirectCommands(
	machine *simulatedMachine, term uint64, request SendDirectCommands, finish func(DirectCommandsDone),
) {
	if machine.removed {
		return
	}
	if s.now < machine.hungUntil {
		s.afterFunc(machine.hungUntil-s.now, func() { s.deliverDirectCommands(machine, term, request, finish) })
		return
	}
	s.restartIfLeaseExpired(machine)
	var result DirectCommandsDone
	if term < machine.fencingToken || request.Incarnation != machine.incarnation {
		result.NotExecuted = true
	} else {
		machine.fencingToken = term
		s.executeCommands(machine, request.Commands)
		result.Heartbeat = s.newHeartbeat(machine)
	}
	if delay, ok := s.messageDelay(machine); ok {
		s.afterFunc(delay, func() { finish(result) })
	}
}

// probe asks a worker for its heartbeat on behalf of a controller.
func (s *simulation) probeMachine(controller *simulatedController, name string) {
	machine := s.machines[name]
	if machine == nil || machine.removed || s.now < machine.bootedAt || s.now < machine.hungUntil {
		return
	}
	if s.now < machine.partitionedUntil || s.now < machine.unreachableUntil {
		return
	}
	delay, ok := s.messageDelay(machine)
	if !ok || delay >= time.Second || controller.term < machine.fencingToken {
		return
	}
	machine.fencingToken = controller.term
	heartbeat := s.newHeartbeat(machine)
	s.afterFunc(delay, func() { s.step(controller, ProbeDone{Machine: name, Heartbeat: heartbeat}) })
}
