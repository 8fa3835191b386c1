package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
)

// directCommandTimeout is how long a controller waits for the result of direct commands.
const directCommandTimeout = 2 * time.Second

// scheduledCall is a function that is called at a later time.
type scheduledCall struct {
	at   time.Duration
	call func()
}

// afterFunc schedules a call of a function after a delay.
func (s *simulation) afterFunc(delay time.Duration, call func()) {
	s.scheduledCalls = append(s.scheduledCalls, scheduledCall{s.now + delay, call})
}

// runDueCalls makes all calls that are due, in order of time. Calls of the same time are made in the
// order in which they were scheduled.
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

// messageDelay returns a random delay for a message to or from a machine, and false if it is lost.
func (s *simulation) messageDelay(machine *simulatedMachine) (time.Duration, bool) {
	if s.now < machine.partitionedUntil {
		if s.withProbability(0.5) {
			// The message is delivered after the partition.
			return machine.partitionedUntil - s.now + s.randomDuration(0, time.Second), true
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

// sendHeartbeat sends a worker's heartbeat. On arrival it is passed to the current leader or to an earlier one
// that is still running. Sometimes a duplicate is delivered too.
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
		leader := s.pickRunningLeader()
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

// deliverDuplicateHeartbeat delivers a copy of a heartbeat, directly or relayed, up to 40 seconds later.
// It may arrive before the original, or after the worker's lease of 14 seconds has expired.
func (s *simulation) deliverDuplicateHeartbeat(heartbeat *protocol.Heartbeat) {
	s.afterFunc(s.randomDuration(0, 40*time.Second), func() {
		leader := s.pickRunningLeader()
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

// deliverReply delivers the reply to a heartbeat unless it is lost. If the reply renews the worker's
// lease, the next heartbeat uses the same connection.
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

// pickRunningLeader picks a random controller that is still running, a newer one with a higher probability,
// or returns nil if there is none.
func (s *simulation) pickRunningLeader() *simulatedController {
	var picked *simulatedController
	for _, controller := range s.leaders {
		if !controller.stopped && (picked == nil || s.withProbability(0.7)) {
			picked = controller
		}
	}
	return picked
}

// sendDirectCommands sends direct commands to a worker. The controller receives exactly one outcome:
// that the commands were not executed, their result, or a timeout, after which they may still be executed.
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
	s.afterFunc(delay, func() { s.deliverDirectCommands(machine, request, finish) })
}

// deliverDirectCommands executes direct commands on a worker and passes the result to finish. If the machine
// hangs, they are executed after the hang. The worker rejects commands of an earlier term or for another
// incarnation.
func (s *simulation) deliverDirectCommands(
	machine *simulatedMachine, request SendDirectCommands, finish func(DirectCommandsDone),
) {
	if machine.removed {
		return
	}
	if s.now < machine.hungUntil {
		s.afterFunc(machine.hungUntil-s.now, func() { s.deliverDirectCommands(machine, request, finish) })
		return
	}
	s.restartIfLeaseExpired(machine)
	var result DirectCommandsDone
	if !machine.accepts(request) {
		result.NotExecuted = true
	} else {
		machine.fencingToken = request.FencingToken
		s.executeCommands(machine, request.Commands)
		s.recordExecutedCall(machine, request)
		result.Heartbeat = s.newHeartbeat(machine)
	}
	if delay, ok := s.messageDelay(machine); ok {
		s.afterFunc(delay, func() { finish(result) })
	}
}

// probeMachine requests a heartbeat from a worker on behalf of a controller. The controller receives
// no outcome if the worker is unreachable, replies too late or has received a message of a later term.
func (s *simulation) probeMachine(controller *simulatedController, probe ProbeMachine) {
	machine := s.machines[probe.Machine]
	if machine == nil || machine.removed || s.now < machine.bootedAt || s.now < machine.hungUntil {
		return
	}
	if s.now < machine.partitionedUntil || s.now < machine.unreachableUntil {
		return
	}
	delay, ok := s.messageDelay(machine)
	if !ok || delay >= time.Second || probe.FencingToken < machine.fencingToken {
		return
	}
	machine.fencingToken = probe.FencingToken
	heartbeat := s.newHeartbeat(machine)
	s.afterFunc(delay, func() { s.step(controller, ProbeDone{Machine: probe.Machine, Heartbeat: heartbeat}) })
}
