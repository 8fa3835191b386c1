package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestCancelledTaskOnMachineWithSpotNotice: a cancelled task that does not stop costs its machine in time, also
// one with a spot notice.
func TestCancelledTaskOnMachineWithSpotNotice(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	start := f.directCommands()[0].Commands[0]
	task := protocol.TaskStatus{Task: "job-1/0", Attempt: start.Attempt, State: protocol.TaskRunning}
	f.sendHeartbeat(0, task)
	f.cancel("job-1", 0)
	m := f.scheduler.inventory.find(f.machine(0))
	m.spotNotice, m.spotNoticeEnds = true, time.Hour
	for end := f.now + 20*time.Second; f.now < end; f.now += time.Second {
		f.sendHeartbeat(0, task)
		f.step(Tick{Entitled: true})
	}
	if !m.deleting {
		t.Error("its machine is kept")
	}
}

// TestCancelledTaskEndsInTime: a machine that reports a cancelled task again and again, whatever it is
// told, and whose deletion nobody confirms, gets no answer from so early on that its lease ends
// within cancel_s; and that time goes on across a failover. A machine without such a task is
// answered all the while.
func TestCancelledTaskEndsInTime(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second, 25 * time.Second, time.Hour} {
		t.Run(fmt.Sprintf("age=%v", age), func(t *testing.T) { checkCancelledTaskEndsInTime(t, age) })
	}
}

// checkCancelledTaskEndsInTime lets the scheduler learn of a cancellation of that age.
func checkCancelledTaskEndsInTime(t *testing.T, age time.Duration) {
	const cancelTime, lease = 34 * time.Second, 14 * time.Second // as in the fixture's settings
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.sendHeartbeat(1)
	f.submitJob("job-1", "red", "standard", 1, 8, 0)
	task := f.confirmDirectStarts()
	holder := f.scheduler.jobs.find("job-1").assignments[0].machine.name
	f.cancel("job-1", age)
	learnedAt := f.now
	userToldAt := f.now - age
	if age >= cancelTime {
		userToldAt = f.now // no leader knew, or its lease would be over: nobody was told
	}
	var deletedAt, lastAcceptedAt time.Duration
	for f.now < userToldAt+cancelTime {
		f.now += time.Second
		for i := range 2 {
			heartbeat := f.heartbeat(f.machine(i))
			if heartbeat.Machine == holder {
				heartbeat.Tasks = []protocol.TaskStatus{task}
			}
			accepted := f.sendAndCheckAccepted(heartbeat)
			if accepted && heartbeat.Machine == holder {
				lastAcceptedAt = f.now
			} else if !accepted && heartbeat.Machine != holder {
				t.Fatal("the other machine is not answered")
			}
		}
		for _, effect := range f.step(Tick{Entitled: true}) {
			if deletion, ok := effect.(DeleteMachines); ok && deletedAt == 0 {
				if deletion.Machines[0] != holder || len(deletion.Machines) != 1 {
					t.Fatalf("deletion of %v", deletion.Machines)
				}
				deletedAt = f.now
			}
		}
	}
	if lastAcceptedAt != 0 && lastAcceptedAt+lease > userToldAt+cancelTime {
		t.Errorf("answered until %v after the user was told", lastAcceptedAt-userToldAt)
	}
	if deletedAt == 0 || deletedAt > userToldAt+30*time.Second {
		t.Errorf("deletion asked for %v after the user was told", deletedAt-userToldAt)
	}
	if deletedAt < learnedAt+limits.CancelStopGrace {
		t.Errorf("deleted %v after the scheduler learned of it, before the stop could take effect", deletedAt-learnedAt)
	}
}

// confirmDirectStarts lets workers start the tasks of the direct commands that were sent last, and returns
// the last of these tasks.
func (f *schedulerFixture) confirmDirectStarts() protocol.TaskStatus {
	var task protocol.TaskStatus
	for _, sent := range f.directCommands() {
		start := sent.Commands[0]
		task = protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
		f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: f.heartbeat(sent.Machine, task)})
	}
	return task
}

// sendAndCheckAccepted sends a heartbeat and reports whether it is accepted. Direct commands go unanswered.
func (f *schedulerFixture) sendAndCheckAccepted(heartbeat *protocol.Heartbeat) bool {
	accepted := false
	for _, effect := range f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: heartbeat}) {
		switch effect := effect.(type) {
		case SendDirectCommands:
			f.step(DirectCommandsDone{ID: effect.ID, Machine: effect.Machine})
		case HeartbeatReply:
			accepted = effect.Accepted
		}
	}
	return accepted
}
