package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestCancelledTaskOnMachineWithSpotNotice checks that a machine on which a cancelled task does not stop
// is deleted in time, even if the machine has a spot notice.
func TestCancelledTaskOnMachineWithSpotNotice(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	start := f.directCommands()[0].Commands[0]
	task := protocol.TaskStatus{Task: "job-1/0", Attempt: start.Attempt, State: protocol.TaskRunning}
	f.sendHeartbeat(0, task)
	f.cancel("job-1", 0)
	m := f.scheduler.inventory.find(f.machine(0))
	m.spotNotice, m.spotReclaimAt = true, time.Hour
	for end := f.now + 20*time.Second; f.now < end; f.now += time.Second {
		f.sendHeartbeat(0, task)
		f.step(Tick{Entitled: true})
	}
	if !m.deleting {
		t.Error("the machine of the cancelled task is not deleted")
	}
}

// TestCancelledTaskEndsInTime checks a machine that keeps reporting a cancelled task despite stop
// commands and whose deletion is never confirmed. Its heartbeats must be rejected early enough that its
// lease expires within cancel_s of the cancellation, even if a failover happens in between: the new leader
// counts from the cancellation too. The heartbeats of a machine without such a task are always accepted.
func TestCancelledTaskEndsInTime(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second, 25 * time.Second, time.Hour} {
		t.Run(fmt.Sprintf("age=%v", age), func(t *testing.T) { checkCancelledTaskEndsInTime(t, age) })
	}
}

// checkCancelledTaskEndsInTime runs the check with a scheduler that observes the cancellation when it is
// that old.
func checkCancelledTaskEndsInTime(t *testing.T, age time.Duration) {
	const cancelTime, lease = 34 * time.Second, 14 * time.Second // as in the fixture's settings
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.sendHeartbeat(1)
	f.submitJob("job-1", "red", "standard", 1, 8, 0)
	task := f.confirmDirectStarts()
	holder := f.scheduler.jobs.find("job-1").assignments[0].machine.name
	f.cancel("job-1", age)
	observedAt := f.now
	confirmedAt := f.now - age
	if age >= cancelTime {
		// A leader that had observed the cancellation would have let the worker's lease expire by now. So
		// no leader has, and the cancellation was not confirmed to the user before.
		confirmedAt = f.now
	}
	var deletedAt, lastAcceptedAt time.Duration
	for f.now < confirmedAt+cancelTime {
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
				t.Fatal("heartbeat of the other machine not accepted")
			}
		}
		for _, effect := range f.step(Tick{Entitled: true}) {
			if deletion, ok := effect.(DeleteMachines); ok && deletedAt == 0 {
				if deletion.Machines[0] != holder || len(deletion.Machines) != 1 {
					t.Fatalf("deletion of %v, want only %s", deletion.Machines, holder)
				}
				deletedAt = f.now
			}
		}
	}
	if lastAcceptedAt != 0 && lastAcceptedAt+lease > confirmedAt+cancelTime {
		t.Errorf("heartbeats accepted until %v after the cancellation was confirmed", lastAcceptedAt-confirmedAt)
	}
	if deletedAt == 0 || deletedAt > confirmedAt+30*time.Second {
		t.Errorf("deletion requested %v after the cancellation was confirmed", deletedAt-confirmedAt)
	}
	if deletedAt < observedAt+limits.CancelStopGrace {
		t.Errorf("deletion requested %v after the scheduler observed the cancellation, want at least %v",
			deletedAt-observedAt, limits.CancelStopGrace)
	}
}

// confirmDirectStarts answers the direct commands of the last event as workers that have started the
// tasks, one task per command. It returns the last of these tasks.
func (f *schedulerFixture) confirmDirectStarts() protocol.TaskStatus {
	var task protocol.TaskStatus
	for _, sent := range f.directCommands() {
		start := sent.Commands[0]
		task = protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
		f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: f.heartbeat(sent.Machine, task)})
	}
	return task
}

// sendAndCheckAccepted sends a heartbeat and reports whether it is accepted. Direct commands that result
// from it get no reply from their workers.
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
