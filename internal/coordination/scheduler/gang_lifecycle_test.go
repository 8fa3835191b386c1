package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestLostGangTaskReplaced checks that a task that is lost while its gang gathers is placed on another
// machine with the same attempt number. The worker that lost it has received that attempt, and would
// treat another start command of it as a duplicate. TestGangAfterFailover checks the same for a new
// leader, which reads the number from heartbeats.
func TestLostGangTaskReplaced(t *testing.T) {
	f := newFixtureWithStartedGang(t, 3, 2)
	lostOn, attempt := f.findTask("job-1/0")
	other, _ := f.findTask("job-1/1")
	f.setTaskStates("job-1", protocol.TaskGathering)
	f.reportAll()
	// ReasonNoRoom does not count as a failure of the machine, and the machine has the image cached, so the
	// scheduler would prefer it again.
	f.endTask(lostOn, "job-1/0", protocol.ReasonNoRoom)
	f.reportAll()
	replacedOn, newAttempt := f.findTask("job-1/0")
	if replacedOn == lostOn || replacedOn == other || replacedOn < 0 || newAttempt != attempt {
		t.Fatalf("task replaced on machine %d with attempt %x; lost on machine %d with attempt %x",
			replacedOn, newAttempt, lostOn, attempt)
	}
	if machine, _ := f.findTask("job-1/1"); machine != other || f.scheduler.jobs.find("job-1").assignments[1].stopping {
		t.Error("the gathering task was stopped")
	}
}

// TestGangStoppedWithoutReplacement checks that the whole gang is stopped if there is no machine for a
// lost task, and that it gets a new attempt number afterwards.
func TestGangStoppedWithoutReplacement(t *testing.T) {
	f := newFixtureWithStartedGang(t, 2, 2)
	lostOn, attempt := f.findTask("job-1/0")
	other, _ := f.findTask("job-1/1")
	f.setTaskStates("job-1", protocol.TaskGathering)
	f.reportAll()
	f.endTask(lostOn, "job-1/0", protocol.ReasonError)
	f.sendHeartbeat(lostOn, f.tasks[lostOn]...)
	if stops := commandsWithVerb(f.effects, protocol.CommandStop); len(stops) != 1 || stops[0].Task != "job-1/1" {
		t.Fatalf("want one stop command, for job-1/1; effects: %+v", f.effects)
	}
	f.deliverDirectCommands(f.effects)
	f.endTask(other, "job-1/1", protocol.ReasonStopped)
	f.reportAll()
	f.reportAll()
	if j := f.scheduler.jobs.find("job-1"); j.gang.attempt == attempt {
		t.Errorf("the gang has the same attempt number as before: %+v", j.gang)
	}
}

// TestGangAbortedAfterTaskLoss checks that the remaining tasks of a running gang are stopped without
// saving when one task is lost, and that the next attempt starts only when no task of the old attempt
// is left on a machine. Otherwise a task could run twice at the same time.
func TestGangAbortedAfterTaskLoss(t *testing.T) {
	f := newFixtureWithStartedGang(t, 3, 2)
	lostOn, attempt := f.findTask("job-1/0")
	other, _ := f.findTask("job-1/1")
	f.setTaskStates("job-1", protocol.TaskRunning)
	f.reportAll()
	f.tasks[lostOn] = nil
	f.sendHeartbeat(lostOn)
	stops := commandsWithVerb(f.effects, protocol.CommandStop)
	if len(stops) != 1 || stops[0].Task != "job-1/1" || *stops[0].GraceS != 0 {
		t.Fatalf("stop commands %+v, want one without a grace period, for job-1/1", stops)
	}
	f.deliverDirectCommands(f.effects)
	for range 3 {
		f.reportAll()
		if starts := commandsWithVerb(f.effects, protocol.CommandStart); len(starts) != 0 {
			t.Fatalf("start commands while a task of the old attempt is on a machine: %+v", starts)
		}
	}
	f.endTask(other, "job-1/1", protocol.ReasonPeerLost)
	f.reportAll()
	f.reportAll()
	if machine, nextAttempt := f.findTask("job-1/0"); machine < 0 || nextAttempt <= attempt {
		t.Errorf("job-1/0 on machine %d with attempt %x; want it on a machine with an attempt after %x",
			machine, nextAttempt, attempt)
	}
	f.checkNoFailureCounted(other, "job-1")
}

// TestGangStopsAsAWhole checks that a spot notice for one machine stops all tasks of the gang in the
// same step and with time to save, even when the limit of direct commands in flight is reached.
func TestGangStopsAsAWhole(t *testing.T) {
	f := newFixtureWithStartedGang(t, 3, 3)
	f.setTaskStates("job-1", protocol.TaskRunning)
	f.reportAll()
	f.scheduler.dispatcher.inFlight = limits.MaxDirectCommands
	heartbeat := f.heartbeat(f.machine(1), f.tasks[1]...)
	heartbeat.SpotNoticeS = seconds(2)
	f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: heartbeat})
	stops := commandsWithVerb(f.effects, protocol.CommandStop)
	if len(stops) != 3 {
		t.Fatalf("want 3 stop commands, got %+v", stops)
	}
	for _, stop := range stops {
		if *stop.GraceS < 3 {
			t.Errorf("grace period too short to save: %+v", stop)
		}
	}
}

// TestGangStopContinuesAfterFailover checks that a new leader that finds a task of a gang saving stops
// the other tasks too, even during recovery, when not all machines have sent a heartbeat.
func TestGangStopContinuesAfterFailover(t *testing.T) {
	f := newSchedulerFixture(t, 3)
	f.submitGang("job-1", 2, 8)
	f.sendHeartbeat(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskRunning})
	f.sendHeartbeat(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskSaving})
	stops := commandsWithVerb(f.effects, protocol.CommandStop)
	if len(stops) != 2 || f.scheduler.recovery.hasEnded() {
		t.Fatalf("want 2 stop commands during recovery, got %+v; recovery ended: %v",
			stops, f.scheduler.recovery.hasEnded())
	}
}

// TestGangAfterFailover checks that a new leader completes a gathering gang with the attempt number
// that the heartbeats report, but stops a running gang that has lost a task.
func TestGangAfterFailover(t *testing.T) {
	for _, c := range []struct {
		state     protocol.TaskState
		completed bool
	}{{protocol.TaskGathering, true}, {protocol.TaskRunning, false}} {
		t.Run(string(c.state), func(t *testing.T) {
			f := newSchedulerFixture(t, 2)
			f.submitGang("job-1", 2, 8)
			f.sendHeartbeat(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: c.state})
			f.sendHeartbeat(1)
			starts := commandsWithVerb(f.effects, protocol.CommandStart)
			stops := commandsWithVerb(f.effects, protocol.CommandStop)
			switch {
			case c.completed && (len(starts) != 1 || starts[0].Attempt != 7 || starts[0].Task != "job-1/1"):
				t.Errorf("want one start command, for job-1/1 with attempt 7; effects: %+v", f.effects)
			case !c.completed && (len(starts) != 0 || len(stops) != 1):
				t.Errorf("want one stop command and no start command; effects: %+v", f.effects)
			}
		})
	}
}

// TestGangDone checks that the job is done as soon as one task of the gang is reported done, because a
// gang's tasks complete together. The other tasks stay assigned until their machines report them.
func TestGangDone(t *testing.T) {
	f := newFixtureWithStartedGang(t, 2, 2)
	machine, _ := f.findTask("job-1/0")
	f.setTaskStates("job-1", protocol.TaskRunning)
	f.reportAll()
	f.endTask(machine, "job-1/0", protocol.ReasonDone)
	f.sendHeartbeat(machine, f.tasks[machine]...)
	var final bool
	for _, effect := range f.effects {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Put == storage.FinalJobKey("job-1") {
			final = true
			f.step(WriteCompleted{ID: write.ID, Committed: true, Version: 900})
		}
	}
	if !final {
		t.Fatalf("no final record written; effects: %+v", f.effects)
	}
	if allocated := f.scheduler.jobs.team("red").allocated; allocated.CPUs != 8 {
		t.Errorf("team has %+v allocated, want 8 CPUs for the other task", allocated)
	}
	f.submitGang("job-2", 2, 8)
	if starts := commandsWithVerb(f.effects, protocol.CommandStart); len(starts) != 0 {
		t.Errorf("job-2 started although a machine still has a task of job-1: %+v", starts)
	}
}

// TestGangIncomplete checks that a gang whose tasks stop waiting for each other starts again as a whole,
// and that this counts neither as a failure of a machine nor as a failure of the job.
func TestGangIncomplete(t *testing.T) {
	// The third machine could run a replacement for the task that stopped waiting, but the other task
	// will soon stop waiting as well.
	f := newFixtureWithStartedGang(t, 3, 2)
	first, attempt := f.findTask("job-1/0")
	second, _ := f.findTask("job-1/1")
	f.setTaskStates("job-1", protocol.TaskGathering)
	f.reportAll()
	f.endTask(first, "job-1/0", protocol.ReasonGangIncomplete)
	f.sendHeartbeat(first, f.tasks[first]...)
	if stops := commandsWithVerb(f.effects, protocol.CommandStop); len(stops) != 1 {
		t.Fatalf("want one stop command, for the other task; effects: %+v", f.effects)
	}
	f.deliverDirectCommands(f.effects)
	f.endTask(second, "job-1/1", protocol.ReasonStopped)
	f.reportAll()
	f.reportAll()
	if machine, nextAttempt := f.findTask("job-1/0"); machine < 0 || nextAttempt <= attempt {
		t.Errorf("job-1/0 on machine %d with attempt %x; want it on a machine with an attempt after %x",
			machine, nextAttempt, attempt)
	}
	f.checkNoFailureCounted(first, "job-1")
}

// TestGangCancelled checks that all tasks of a cancelled gang are stopped in the same step and without
// saving, whether they fetch their image, gather or run.
func TestGangCancelled(t *testing.T) {
	for _, state := range []protocol.TaskState{protocol.TaskFetching, protocol.TaskGathering, protocol.TaskRunning} {
		t.Run(string(state), func(t *testing.T) {
			f := newFixtureWithStartedGang(t, 2, 2)
			f.setTaskStates("job-1", state)
			f.reportAll()
			f.cancel("job-1", 0)
			stops := commandsWithVerb(f.effects, protocol.CommandStop)
			if len(stops) != 2 || *stops[0].GraceS != 0 {
				t.Errorf("stop commands %+v, want 2 without a grace period", stops)
			}
		})
	}
}

// TestGangWithMixedAttempts checks that all tasks of a gang are stopped if they report different
// attempt numbers: tasks of different attempts would never connect to each other.
func TestGangWithMixedAttempts(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.submitGang("job-1", 2, 8)
	f.sendHeartbeat(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskGathering})
	f.sendHeartbeat(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 8, State: protocol.TaskGathering})
	if stops := commandsWithVerb(f.effects, protocol.CommandStop); len(stops) != 2 {
		t.Errorf("want 2 stop commands; effects: %+v", f.effects)
	}
}

// TestGangSavesBeforeMachineIsReturned checks that a faulty machine is returned only after gangs on it
// have had time to save.
func TestGangSavesBeforeMachineIsReturned(t *testing.T) {
	f := newFixtureWithStartedGang(t, 2, 2)
	f.setTaskStates("job-1", protocol.TaskRunning)
	f.reportAll()
	m := f.scheduler.inventory.find(f.machine(0))
	m.consecutiveFailures, m.failedJobs = limits.FaultyMachineFailures, map[string]bool{"job-9": true}
	f.step(Tick{Entitled: true})
	if stops := commandsWithVerb(f.effects, protocol.CommandStop); len(stops) != 2 || m.deleting {
		t.Fatalf("stop commands %+v, want 2; machine is being returned: %v, want false", stops, m.deleting)
	}
	for range 12 {
		f.now += time.Second
		f.reportAll()
		f.step(Tick{Entitled: true})
	}
	if !m.deleting {
		t.Error("the machine is not returned after the time to save is over")
	}
}

// TestGangAttemptKnownToWorker checks that a lost task is not placed on a machine that lists a task of
// the same attempt as ended, because the worker would treat the start command as a duplicate. A new
// leader can only read this from the task list in the heartbeat. If such a start command is sent
// anyway, the task must not stay assigned.
func TestGangAttemptKnownToWorker(t *testing.T) {
	ended := protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskEnded, Reason: protocol.ReasonNoRoom}
	waiting := protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskGathering}
	f := newSchedulerFixture(t, 3)
	f.submitGang("job-1", 2, 8)
	f.sendHeartbeat(0, ended)
	f.sendHeartbeat(1, waiting)
	f.sendHeartbeat(2)
	if starts := commandsWithVerb(f.effects, protocol.CommandStart); len(starts) != 1 || starts[0].Attempt != 7 {
		t.Fatalf("want one start command with attempt 7; effects: %+v", f.effects)
	}
	if m := f.scheduler.jobs.find("job-1").assignments[0].machine; m.name != f.machine(2) {
		t.Errorf("task replaced on %s, want %s", m.name, f.machine(2))
	}
	f = newSchedulerFixture(t, 2)
	f.submitGang("job-1", 2, 8)
	f.sendHeartbeat(0, ended)
	f.sendHeartbeat(1, waiting)
	j := f.scheduler.jobs.find("job-1")
	if j.assignments[0] == nil {
		f.scheduler.assignments.assign(j, 0, f.scheduler.inventory.find(f.machine(0)), 7, stateSent)
	}
	f.sendHeartbeat(0, ended)
	if assigned := j.assignments[0]; assigned != nil {
		t.Errorf("job-1/0 is still assigned: %+v", assigned)
	}
}
