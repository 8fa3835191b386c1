package scheduler

import "time"

// Copies of direct commands and transactions that were executed and answered.
const (
	usualRepeatShare     = 0.2              // of the calls that arrive again
	maxRepeatedCalls     = 3                // copies of one call
	shortestRepeatDelay  = time.Millisecond // until a copy arrives
	longestRepeatDelay   = 10 * time.Millisecond
	repeatDelayDoublings = 14 // the longest delay of a copy is a few minutes
)

// recordExecutedCall stores a direct command that a worker has executed, and sometimes schedules copies of it,
// which arrive after milliseconds up to minutes and in any order. The copies have random numbers of their own,
// so that the seeds of scenarios without a copy that starts a task keep their course.
func (s *simulation) recordExecutedCall(machine *simulatedMachine, call SendDirectCommands) {
	machine.executedCalls = append(machine.executedCalls, call)
	if s.repeats.Float64() >= s.repeatShare {
		return
	}
	for range 1 + s.repeats.IntN(maxRepeatedCalls) {
		s.afterFunc(s.repeatDelay(), func() { s.deliverRepeatedCall(machine, call) })
	}
}

// repeatDelay returns a random delay of a copy.
func (s *simulation) repeatDelay() time.Duration {
	longest := longestRepeatDelay << s.repeats.IntN(repeatDelayDoublings)
	return shortestRepeatDelay + time.Duration(s.repeats.Int64N(int64(longest)))
}

// repeatWrite sometimes schedules a copy of a transaction that was executed and answered. The copy is executed unless
// a later term has begun or one of its conditions fails.
func (s *simulation) repeatWrite(term uint64, write WriteRecords) {
	if s.repeats.Float64() >= s.repeatShare {
		return
	}
	s.afterFunc(s.repeatDelay(), func() {
		if term == s.term && s.conditionsHold(write) {
			s.applyWrite(write)
		}
	})
}

// deliverRepeatedCall delivers a copy of a direct command that the worker has executed before. Nobody waits for
// the answer.
func (s *simulation) deliverRepeatedCall(machine *simulatedMachine, call SendDirectCommands) {
	if machine.removed || machine.down {
		return
	}
	if s.now < machine.hungUntil {
		s.afterFunc(machine.hungUntil-s.now, func() { s.deliverRepeatedCall(machine, call) })
		return
	}
	s.restartIfLeaseExpired(machine)
	if machine.accepts(call) {
		machine.fencingToken = call.FencingToken
		s.executeCommands(machine, call.Commands)
	}
}

// accepts reports whether the worker would execute a copy of a direct command.
func (m *simulatedMachine) accepts(call SendDirectCommands) bool {
	return call.FencingToken >= m.fencingToken && call.Incarnation == m.incarnation
}

// checkNoReplayableStart checks that no copy of an executed direct command would start an attempt that the worker
// does not know any more. It is called after each change of the attempts that the worker knows. The attempts of a
// gang that were forgotten and started once more are known again. A machine that is down runs nothing.
func (s *simulation) checkNoReplayableStart(machine *simulatedMachine) {
	if machine.down {
		return
	}
	for _, call := range machine.executedCalls {
		if !machine.accepts(call) {
			continue
		}
		for _, command := range call.Commands {
			if !isStart(command) {
				continue
			}
			if known, _ := machine.findTask(command); known == nil {
				s.t.Fatalf("replayable start: at %v: machine %s has forgotten task %s attempt %x and would accept "+
					"a copy of its direct start: fencing token %d, of the worker %d, incarnation %d",
					s.now, machine.Name, command.Task, command.Attempt,
					call.FencingToken, machine.fencingToken, machine.incarnation)
			}
		}
	}
}
