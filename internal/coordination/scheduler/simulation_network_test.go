package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
)

// directCommandTimeout is how long the sender of direct commands waits for their result.
const directCommandTimeout = 2 * time.Second

// delivery is something that happens at a later time.
type delivery struct {
	at      time.Duration
	deliver func()
}

// after calls a function when some time has passed.
func (s *simulation) after(delay time.Duration, deliver func()) {
	s.deliveries = append(s.deliveries, delivery{s.now + delay, deliver})
}

// runDeliveries makes all deliveries that are due, in order of time; those of the same time in the
// order in which they were asked for.
func (s *simulation) runDeliveries() {
	for {
		first := -1
		for i := range s.deliveries {
			if s.deliveries[i].at <= s.now && (first < 0 || s.deliveries[i].at < s.deliveries[first].at) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		next := s.deliveries[first]
		s.deliveries = append(s.deliveries[:first], s.deliveries[first+1:]...)
		next.deliver()
	}
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

// sendHeartbeat sends a worker's heartbeat to whoever leads when it arrives, or to an older leader
// that still believes it leads. Now and then a copy arrives as well.
func (s *simulation) sendHeartbeat(machine *simulatedMachine) {
	heartbeat := s.heartbeat(machine)
	sentAt := s.now
	machine.heartbeatSentAt = sentAt
	machine.nextHeartbeatAt = sentAt + s.between(1500*time.Millisecond, 2500*time.Millisecond)
	connectedTo := machine.connectedTo
	machine.connectedTo = nil
	if s.chance(0.05) {
		s.deliverCopy(heartbeat)
	}
	delay, ok := s.transit(machine)
	if !ok {
		return
	}
	s.after(delay, func() {
		leader := s.reachableLeader()
		if leader == nil {
			return
		}
		s.step(leader, HeartbeatReceived{
			Heartbeat:      heartbeat,
			Entitled:       s.entitled(leader),
			SameConnection: leader == connectedTo,
			Relayed:        s.chance(0.1),
			ReplyTo: responderFunc(func(reply *protocol.HeartbeatReply) {
				s.deliverReply(machine, leader, heartbeat, sentAt, reply)
			}),
		})
	})
}

// deliverCopy delivers a copy of a heartbeat by any route, some time from before the original to well
// over a lease later.
func (s *simulation) deliverCopy(heartbeat *protocol.Heartbeat) {
	s.after(s.between(0, 40*time.Second), func() {
		leader := s.reachableLeader()
		if leader == nil {
			return
		}
		s.step(leader, HeartbeatReceived{
			Heartbeat: heartbeat,
			Entitled:  s.entitled(leader),
			Relayed:   s.chance(0.5),
			ReplyTo:   responderFunc(func(*protocol.HeartbeatReply) {}),
		})
	})
}

// deliverReply delivers the reply to a heartbeat.
func (s *simulation) deliverReply(
	machine *simulatedMachine, leader *simulatedController,
	heartbeat *protocol.Heartbeat, sentAt time.Duration, reply *protocol.HeartbeatReply,
) {
	delay, ok := s.transit(machine)
	if !ok || s.now < machine.unreachableUntil {
		return
	}
	s.after(delay, func() {
		if s.acceptReply(machine, heartbeat, sentAt, reply) {
			machine.connectedTo = leader
		}
	})
}

// reachableLeader returns a controller that a heartbeat may reach, or nil.
func (s *simulation) reachableLeader() *simulatedController {
	var reached *simulatedController
	for _, controller := range s.leaders {
		if !controller.dead && (reached == nil || s.chance(0.7)) {
			reached = controller
		}
	}
	return reached
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
	if machine == nil || machine.removed || !s.entitled(controller) {
		s.after(time.Millisecond, func() { finish(DirectCommandsDone{NotExecuted: true}) })
		return
	}
	s.after(directCommandTimeout, func() { finish(DirectCommandsDone{}) })
	delay, ok := s.transit(machine)
	if !ok || s.now < machine.unreachableUntil {
		return
	}
	s.after(delay, func() { s.deliverDirectCommands(machine, controller.term, request, finish) })
}

func (s *simulation) deliverDirectCommands(
	machine *simulatedMachine, term uint64, request SendDirectCommands, finish func(DirectCommandsDone),
) {
	if machine.removed {
		return
	}
	if s.now < machine.hungUntil {
		s.after(machine.hungUntil-s.now, func() { s.deliverDirectCommands(machine, term, request, finish) })
		return
	}
	s.expireLease(machine)
	var result DirectCommandsDone
	if term < machine.fencingToken || request.Incarnation != machine.incarnation {
		result.NotExecuted = true
	} else {
		machine.fencingToken = term
		s.execute(machine, request.Commands)
		result.Heartbeat = s.heartbeat(machine)
	}
	if delay, ok := s.transit(machine); ok {
		s.after(delay, func() { finish(result) })
	}
}

// probe asks a worker for its heartbeat on behalf of a controller.
func (s *simulation) probe(controller *simulatedController, name string) {
	machine := s.machines[name]
	if machine == nil || machine.removed || s.now < machine.bootedAt || s.now < machine.hungUntil {
		return
	}
	if s.now < machine.partitionedUntil || s.now < machine.unreachableUntil {
		return
	}
	delay, ok := s.transit(machine)
	if !ok || delay >= time.Second || controller.term < machine.fencingToken {
		return
	}
	machine.fencingToken = controller.term
	heartbeat := s.heartbeat(machine)
	s.after(delay, func() { s.step(controller, ProbeDone{Machine: name, Heartbeat: heartbeat}) })
}
