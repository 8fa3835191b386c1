package scheduler

import "quillshunt/internal/protocol"

// effectsOf returns the effects of type E.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// heartbeatWithSequence returns a heartbeat of machine i with the given sequence number.
func (f *schedulerFixture) heartbeatWithSequence(
	i int, sequence uint64, tasks ...protocol.TaskStatus,
) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      f.machine(i),
		Address:      "x:1",
		MachineType:  "s8",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     sequence,
		FencingToken: f.scheduler.cfg.Term,
		Tasks:        tasks,
	}
}

// replyTo processes a heartbeat and returns the reply to it.
func (f *schedulerFixture) replyTo(e HeartbeatReceived) HeartbeatReply {
	f.t.Helper()
	replies := effectsOf[HeartbeatReply](f.step(e))
	if len(replies) == 0 {
		f.t.Fatal("heartbeat has no reply")
	}
	return replies[0]
}

// tick processes a Tick of an entitled leader and returns its effects.
func (f *schedulerFixture) tick() []Effect { return f.step(Tick{Entitled: true}) }

// runningStatus returns the status of a running task that was started by the given command.
func runningStatus(start protocol.Command) protocol.TaskStatus {
	return protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
}

// completedStatus returns the status of a completed task that was started by the given command.
func completedStatus(start protocol.Command) protocol.TaskStatus {
	return protocol.TaskStatus{
		Task: start.Task, Attempt: start.Attempt, State: protocol.TaskEnded, Reason: protocol.ReasonDone,
	}
}
