package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestGangReplacement: a task that is lost while the gang gathers gets another machine under the
// same attempt number, never the one that may know that attempt; under a new leader as well, which
// learns the number from heartbeats.
func TestGangReplacement(t *testing.T) {
	f := newStartedGang(t, 3, 2)
	lostOn, attempt := f.findTask("job-1/0")
	other, _ := f.findTask("job-1/1")
	f.setState("job-1", protocol.TaskGathering)
	f.reportAll()
	// No fault of the machine, which has the image and would be the best.
	f.endTask(lostOn, "job-1/0", protocol.ReasonNoRoom)
	f.reportAll()
	again, same := f.findTask("job-1/0")
	if again == lostOn || again == other || again < 0 || same != attempt {
		t.Fatalf("replaced on %d by attempt %x; lost on %d, attempt %x", again, same, lostOn, attempt)
	}
	if stays, _ := f.findTask("job-1/1"); stays != other || f.scheduler.jobs.find("job-1").assignments[1].stopping {
		t.Error("the task that waits was stopped")
	}
}

// TestGangNotReplacedTooLate: without a machine for a lost task the whole gang is stopped, and waits
// again under a new attempt.
func TestGangNotReplacedTooLate(t *testing.T) {
	f := newStartedGang(t, 2, 2)
	lostOn, attempt := f.findTask("job-1/0")
	other, _ := f.findTask("job-1/1")
	f.setState("job-1", protocol.TaskGathering)
	f.reportAll()
	f.endTask(lostOn, "job-1/0", protocol.ReasonError)
	f.sendHeartbeat(lostOn, f.tasks[lostOn]...)
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 1 || stops[0].Task != "job-1/1" {
		t.Fatalf("stops: %+v", f.effects)
	}
	f.deliver(f.effects)
	f.endTask(other, "job-1/1", protocol.ReasonStopped)
	f.reportAll()
	f.reportAll()
	if j := f.scheduler.jobs.find("job-1"); j.gang.attempt == attempt {
		t.Errorf("the same attempt again: %+v", j.gang)
	}
}

// TestGangLostWhileRunning: what is left of a gang that lost a task is ended at once, and the next
// attempt starts only when the last task of the old one is gone: a task that is still on its
// machine would run twice.
func TestGangLostWhileRunning(t *testing.T) {
	f := newStartedGang(t, 3, 2)
	lostOn, attempt := f.findTask("job-1/0")
	other, _ := f.findTask("job-1/1")
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	f.tasks[lostOn] = nil
	f.sendHeartbeat(lostOn)
	stops := commandsOf(f.effects, protocol.CommandStop)
	if len(stops) != 1 || stops[0].Task != "job-1/1" || *stops[0].GraceS != 0 {
		t.Fatalf("stops: %+v", stops)
	}
	f.deliver(f.effects)
	for range 3 {
		f.reportAll()
		if starts := commandsOf(f.effects, protocol.CommandStart); len(starts) != 0 {
			t.Fatalf("started while a task is there: %+v", starts)
		}
	}
	f.endTask(other, "job-1/1", protocol.ReasonPeers)
	f.reportAll()
	f.reportAll()
	if machine, again := f.findTask("job-1/0"); machine < 0 || again <= attempt {
		t.Errorf("next attempt: on %d, %x after %x", machine, again, attempt)
	}
	f.checkNoFailure(other, "job-1")
}

// TestGangStopsAsAWhole: a notice for one machine stops the gang on all, in one step, with time to
// save, however many direct commands are on their way.
func TestGangStopsAsAWhole(t *testing.T) {
	f := newStartedGang(t, 3, 3)
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	f.scheduler.dispatcher.inFlight = limits.MaxDirectCommands
	heartbeat := f.heartbeat(f.machine(1), f.tasks[1]...)
	heartbeat.SpotNoticeS = seconds(2)
	f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: heartbeat})
	stops := commandsOf(f.effects, protocol.CommandStop)
	if len(stops) != 3 {
		t.Fatalf("stops: %+v", stops)
	}
	for _, stop := range stops {
		if *stop.GraceS < 3 {
			t.Errorf("no time to save: %+v", stop)
		}
	}
}

// TestGangStopGoesOnAfterTakeOver: a new leader that finds a task of a gang saving stops the rest,
// before it knows all machines.
func TestGangStopGoesOnAfterTakeOver(t *testing.T) {
	f := newSchedulerFixture(t, 3)
	f.gang("job-1", 2, 8)
	f.sendHeartbeat(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskRunning})
	f.sendHeartbeat(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskSaving})
	stops := commandsOf(f.effects, protocol.CommandStop)
	if len(stops) != 2 || f.scheduler.recovery.hasEnded() {
		t.Fatalf("stops: %+v", stops)
	}
}

// TestGangAfterTakeOver: a new leader completes a gang that gathers, under the number that its
// heartbeats show; it ends one that ran and has lost a task.
func TestGangAfterTakeOver(t *testing.T) {
	for _, c := range []struct {
		state     protocol.TaskState
		completed bool
	}{{protocol.TaskGathering, true}, {protocol.TaskRunning, false}} {
		t.Run(string(c.state), func(t *testing.T) {
			f := newSchedulerFixture(t, 2)
			f.gang("job-1", 2, 8)
			f.sendHeartbeat(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: c.state})
			f.sendHeartbeat(1)
			starts := commandsOf(f.effects, protocol.CommandStart)
			stops := commandsOf(f.effects, protocol.CommandStop)
			switch {
			case c.completed && (len(starts) != 1 || starts[0].Attempt != 7 || starts[0].Task != "job-1/1"):
				t.Errorf("not completed: %+v", f.effects)
			case !c.completed && (len(starts) != 0 || len(stops) != 1):
				t.Errorf("not ended: %+v", f.effects)
			}
		})
	}
}

// TestGangDone: when one task is done all are, so the job is, also while heartbeats of the others are
// still to come; but their tasks stay assigned.
func TestGangDone(t *testing.T) {
	f := newStartedGang(t, 2, 2)
	machine, _ := f.findTask("job-1/0")
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	f.endTask(machine, "job-1/0", protocol.ReasonDone)
	f.sendHeartbeat(machine, f.tasks[machine]...)
	var final bool
	for _, effect := range f.effects {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Put == storage.FinalJobKey("job-1") {
			final = true
			f.step(WriteCompleted{ID: write.ID, OK: true, Version: 900})
		}
	}
	if !final {
		t.Fatalf("no final record: %+v", f.effects)
	}
	if allocated := f.scheduler.jobs.team("red").allocated; allocated.CPUs != 8 {
		t.Errorf("the other task counts no more: %+v", allocated)
	}
	f.gang("job-2", 2, 8)
	if starts := commandsOf(f.effects, protocol.CommandStart); len(starts) != 0 {
		t.Errorf("its machine was given away: %+v", starts)
	}
}

// TestGangIncomplete: a gang whose tasks gave up waiting is neither the machines' fault nor the
// job's, and starts again as a whole.
func TestGangIncomplete(t *testing.T) {
	// There is a machine for another task in place of the one that gave up; but the rest will give up
	// as well.
	f := newStartedGang(t, 3, 2)
	first, attempt := f.findTask("job-1/0")
	second, _ := f.findTask("job-1/1")
	f.setState("job-1", protocol.TaskGathering)
	f.reportAll()
	f.endTask(first, "job-1/0", protocol.ReasonIncomplete)
	f.sendHeartbeat(first, f.tasks[first]...)
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 1 {
		t.Fatalf("the other task still waits: %+v", f.effects)
	}
	f.deliver(f.effects)
	f.endTask(second, "job-1/1", protocol.ReasonStopped)
	f.reportAll()
	f.reportAll()
	if machine, again := f.findTask("job-1/0"); machine < 0 || again <= attempt {
		t.Errorf("not started again: %d %x", machine, again)
	}
	f.checkNoFailure(first, "job-1")
}

// TestGangCancelled: a cancelled gang is ended in every state, at once and without saving.
func TestGangCancelled(t *testing.T) {
	for _, state := range []protocol.TaskState{protocol.TaskFetching, protocol.TaskGathering, protocol.TaskRunning} {
		t.Run(string(state), func(t *testing.T) {
			f := newStartedGang(t, 2, 2)
			f.setState("job-1", state)
			f.reportAll()
			f.cancel("job-1", 0)
			stops := commandsOf(f.effects, protocol.CommandStop)
			if len(stops) != 2 || *stops[0].GraceS != 0 {
				t.Errorf("stops %+v", stops)
			}
		})
	}
}

// TestGangOfSeveralAttempts: tasks of one gang that show different attempts never find each other,
// so all are stopped.
func TestGangOfSeveralAttempts(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.gang("job-1", 2, 8)
	f.sendHeartbeat(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskGathering})
	f.sendHeartbeat(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 8, State: protocol.TaskGathering})
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 2 {
		t.Errorf("stops: %+v", f.effects)
	}
}

// TestGangSavesBeforeItsMachineGoes: a machine that fails its tasks is returned only after gangs on
// it have had the time to save.
func TestGangSavesBeforeItsMachineGoes(t *testing.T) {
	f := newStartedGang(t, 2, 2)
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	m := f.scheduler.inventory.find(f.machine(0))
	m.consecutiveFailures, m.failedJobs = limits.FaultyFailures, map[string]bool{"job-9": true}
	f.step(Tick{Entitled: true})
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 2 || m.deleting {
		t.Fatalf("stops: %+v, deleting %v", stops, m.deleting)
	}
	for range 12 {
		f.now += time.Second
		f.reportAll()
		f.step(Tick{Entitled: true})
	}
	if !m.deleting {
		t.Error("the machine is not returned although the time to save is over")
	}
}

// TestGangAttemptKnownToWorker: a machine that lists a task of the attempt as ended takes no start
// of it for a new one. A new leader, which does not remember where tasks were lost, sends the
// replacement elsewhere; and if such a start goes out, the task does not stay assigned.
func TestGangAttemptKnownToWorker(t *testing.T) {
	ended := protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskEnded, Reason: protocol.ReasonNoRoom}
	waiting := protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskGathering}
	f := newSchedulerFixture(t, 3)
	f.gang("job-1", 2, 8)
	f.sendHeartbeat(0, ended)
	f.sendHeartbeat(1, waiting)
	f.sendHeartbeat(2)
	if starts := commandsOf(f.effects, protocol.CommandStart); len(starts) != 1 || starts[0].Attempt != 7 {
		t.Fatalf("starts: %+v", f.effects)
	}
	if m := f.scheduler.jobs.find("job-1").assignments[0].machine; m.name != f.machine(2) {
		t.Errorf("replaced on %s", m.name)
	}
	f = newSchedulerFixture(t, 2)
	f.gang("job-1", 2, 8)
	f.sendHeartbeat(0, ended)
	f.sendHeartbeat(1, waiting)
	j := f.scheduler.jobs.find("job-1")
	if j.assignments[0] == nil {
		f.scheduler.assignments.assign(j, 0, f.scheduler.inventory.find(f.machine(0)), 7, stateSent)
	}
	f.sendHeartbeat(0, ended)
	if assigned := j.assignments[0]; assigned != nil {
		t.Errorf("still assigned: %+v", assigned)
	}
}
