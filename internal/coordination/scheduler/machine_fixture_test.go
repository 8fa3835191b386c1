package scheduler

import "quillshunt/internal/protocol"

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// heartbeatWith is like heartbeat, with that sequence number.
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

// reply handles a heartbeat and returns the answer to it.
func (f *schedulerFixture) replyTo(e HeartbeatReceived) HeartbeatReply {
	f.t.Helper()
	replies := effectsOf[HeartbeatReply](f.step(e))
	if len(replies) == 0 {
		f.t.Fatal("not answered")
	}
	return replies[0]
}

// tick lets the scheduler look at everything that only time changes, and returns the effects.
func (f *schedulerFixture) tick() []Effect { return f.step(Tick{Entitled: true}) }

// running returns the status of a task that runs as it was told to start.
func runningStatus(start protocol.Command) protocol.TaskStatus {
	return protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
}

// completed returns the status of a task that is done as it was told to start.
func completedStatus(start protocol.Command) protocol.TaskStatus {
	return protocol.TaskStatus{
		Task: start.Task, Attempt: start.Attempt, State: protocol.TaskEnded, Reason: protocol.ReasonDone,
	}
}
