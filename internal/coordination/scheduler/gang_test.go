package scheduler

import (
	"strings"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestGangTogether: a gang gets all its machines in one pass and one attempt number, or none; a
// smaller one behind it is not kept waiting.
func TestGangTogether(t *testing.T) {
	f := newGangFixture(t, 2)
	f.gang("job-1", 5, 4)
	assigned := len(f.scheduler.jobs.find("job-1").assignments)
	if got := commandsOf(f.effects, protocol.CommandStart); len(got) != 0 || assigned != 0 {
		t.Fatalf("a part of a gang that does not fit was started: %+v", got)
	}
	f.gang("job-2", 4, 4)
	got := commandsOf(f.effects, protocol.CommandStart)
	if len(got) != 4 {
		t.Fatalf("starts: %+v", got)
	}
	for _, start := range got {
		if start.Attempt != got[0].Attempt {
			t.Errorf("attempts differ: %+v", got)
		}
	}
}

// TestGangWaitsForConfirmedResources: a gang that preempts others sends no start before the last of
// them is known to be gone, so that it never has a part of its machines while another job has the
// rest.
func TestGangWaitsForConfirmedResources(t *testing.T) {
	f := newGangFixture(t, 2)
	f.job("job-1", "red", "low", 2, 6, 0)
	f.deliver(f.effects)
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	f.gang("job-2", 2, 8, func(s *protocol.Spec) { s.Priority, s.DeadlineS = "high", 12 })
	stops := commandsOf(f.effects, protocol.CommandStop)
	if len(stops) != 2 {
		t.Fatalf("stops: %+v", f.effects)
	}
	f.deliver(f.effects)
	f.endTask(0, "job-1/0", protocol.ReasonStopped)
	f.endTask(0, "job-1/1", protocol.ReasonStopped)
	f.report(0, f.tasks[0]...)
	if got := commandsOf(f.effects, protocol.CommandStart); len(got) != 0 {
		t.Fatalf("started while the other machine is not free: %+v", got)
	}
	f.endTask(1, "job-1/0", protocol.ReasonStopped)
	f.endTask(1, "job-1/1", protocol.ReasonStopped)
	f.report(1, f.tasks[1]...)
	got := 0
	for _, start := range commandsOf(f.effects, protocol.CommandStart) {
		if id, _, _ := protocol.ParseTaskName(start.Task); id == "job-2" {
			got++
		}
	}
	if got != 2 {
		t.Fatalf("%d starts once both machines are free: %+v", got, f.effects)
	}
}

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
	f.report(lostOn, f.tasks[lostOn]...)
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
	f.report(lostOn)
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
	f.report(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskRunning})
	f.report(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskSaving})
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
			f.report(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: c.state})
			f.report(1)
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
	f.report(machine, f.tasks[machine]...)
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
	f.report(first, f.tasks[first]...)
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

// TestGangVictim: a gang that is preempted counts once, with the cost of all its tasks, and frees
// resources on all its machines.
func TestGangVictim(t *testing.T) {
	f := newGangFixture(t, 2)
	f.gang("job-1", 4, 4, func(s *protocol.Spec) { s.Priority, s.CheckpointS, s.SaveS = "low", 0, 0 })
	f.deliver(f.effects)
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	for range 3 {
		f.now += time.Second
		f.reportAll()
	}
	m := f.scheduler.inventory.find(f.machine(0))
	f.job("job-2", "red", "high", 1, 8, 0)
	options := f.scheduler.placement.preemptionOptions(f.scheduler.jobs.find("job-2"), m, nil)
	oneTask := f.scheduler.placement.taskPreemptionCost(f.scheduler.jobs.find("job-1").assignments[0])
	if len(options) != 1 || options[0].Resources.CPUs != 8 || options[0].Cost < 3.9*oneTask {
		t.Fatalf("victims: %+v, cost of a task %v", options, oneTask)
	}
	f.job("job-3", "red", "high", 2, 8, 12)
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 4 {
		t.Errorf("stops: %+v", stops)
	}
	if assigned := len(f.scheduler.jobs.find("job-3").assignments); assigned != 2 {
		t.Errorf("%d of 2 tasks are assigned to the machines that the gang leaves", assigned)
	}
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

// TestGangRunnable: a gang must fit into its team's limit as a whole, an array with one task.
func TestGangRunnable(t *testing.T) {
	types := []protocol.MachineType{{Name: "s8", CPUs: 8, Accelerators: 2, MemoryGB: 32, Zones: []string{"a"}}}
	spec := protocol.Spec{Shape: protocol.ShapeGang, Tasks: 4, CPUs: 8, Accelerators: 1, MemoryGB: 1}
	for _, c := range []struct {
		name                 string
		cpusLimit, gpusLimit float64
		want                 bool
	}{
		{"as much as all tasks need", 32, 4, true},
		{"too few CPUs", 31, 4, false},
		{"too few accelerators", 32, 3, false},
	} {
		if got := CanEverRun(&spec, types, c.cpusLimit, c.gpusLimit); got != c.want {
			t.Errorf("%s: gang can run: %v", c.name, got)
		}
	}
	spec.Shape = protocol.ShapeArray
	if !CanEverRun(&spec, types, 8, 1) {
		t.Error("array refused")
	}
}

// TestGangOfSeveralAttempts: tasks of one gang that show different attempts never find each other,
// so all are stopped.
func TestGangOfSeveralAttempts(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.gang("job-1", 2, 8)
	f.report(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskGathering})
	f.report(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 8, State: protocol.TaskGathering})
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 2 {
		t.Errorf("stops: %+v", f.effects)
	}
}

// TestCommittedResourcesAreKept: the start of a more urgent task, which was promised resources that
// are not free yet, does not use those that a gang was committed to.
func TestCommittedResourcesAreKept(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	f.job("job-1", "red", "low", 1, 4, 0)
	f.job("job-2", "red", "high", 1, 64, 0) // fits no machine; assigned by hand below
	s, m := f.scheduler, f.scheduler.inventory.find(f.machine(0))
	f.gang("job-3", 2, 8) // does not fit
	stopping := s.jobs.find("job-1").assignments[0]
	stopping.state = stateRunning
	s.assignments.stop(stopping, "for job-2")
	s.jobs.find("job-2").demand.CPUs = 4
	s.assignments.assign(s.jobs.find("job-2"), 0, m, 20, stateUnsent)
	gang := s.jobs.find("job-3")
	gang.demand.CPUs = 4
	s.assignments.assign(gang, 0, m, 21, stateUnsent).committed = true
	reply := HeartbeatReply{Commands: s.assignments.buildCommands(m, inHeartbeatReply, nil)}
	starts := commandsOf([]Effect{reply}, protocol.CommandStart)
	if len(starts) != 1 || starts[0].Task != "job-3/0" {
		t.Errorf("starts: %+v", starts)
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

// TestGangReservations: where gangs should start sooner than a machine boots, independent tasks leave
// as much free as gangs lately used, until they have waited for long.
func TestGangReservations(t *testing.T) {
	f := newGangFixture(t, 2)
	f.scheduler.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "g", WithinS: 2, Share: 0.9}}
	f.gang("job-1", 2, 2)
	f.deliver(f.effects)
	f.setState("job-1", protocol.TaskRunning)
	f.reportAll()
	f.step(Tick{Entitled: true})
	f.now += limits.PlanInterval
	f.reportAll()
	f.step(Tick{Entitled: true})
	reserved := 0
	for _, m := range f.scheduler.inventory.all() {
		if m.reservedForGangs {
			reserved++
		}
	}
	if reserved == 0 {
		t.Fatal("no machine is reserved")
	}
	f.job("job-2", "red", "standard", 16, 1, 0)
	f.deliver(f.effects)
	free := 0.0
	for _, m := range f.scheduler.inventory.all() {
		if m.reservedForGangs {
			free += m.freeResources().CPUs
		}
	}
	if free < 4 {
		t.Fatalf("independent tasks use what is reserved: %v CPUs left", free)
	}
	for end := f.now + limits.GangReservationYieldAge + 2*time.Second; f.now < end; f.now += time.Second {
		f.reportAll()
		f.step(Tick{Entitled: true})
		f.deliver(f.effects)
	}
	if assigned := len(f.scheduler.jobs.find("job-2").assignments); assigned < 12 {
		t.Errorf("still reserved for gangs although the job has waited for long: %d tasks assigned", assigned)
	}
}

// TestOrphanOfAnOpenJob: finished tasks of a job that is open, but whose team the settings do not
// name, are no orphans.
func TestOrphanOfAnOpenJob(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	s := New(f.scheduler.cfg, 0)
	spec := protocol.Spec{ID: "job-1", Team: "gone", Priority: "low", Tasks: 2}
	s.Step(JobChanged{JobID: "job-1", Version: 5, Record: storage.OpenJob{Spec: spec}}, 0)
	s.Step(FinishedTasksLoaded{JobID: "job-1", Version: 6, Record: storage.FinishedTasks{Bits: "AQ"}}, 0)
	noOpenRecord := protocol.Condition{Key: storage.OpenJobKey("job-1")}
	for _, effect := range s.Step(StateLoaded{}, 0) {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Delete != "" {
			if len(write.Conditions) != 1 || write.Conditions[0] != noOpenRecord {
				t.Errorf("removed without a condition: %+v", write)
			}
		}
	}
}

// TestGangThatCannotBeComplete: no machine is rented or kept for a gang that is spread over more
// zones than there are, nor for long for one that the cloud has not enough machines for.
func TestGangThatCannotBeComplete(t *testing.T) {
	f := newGangFixture(t, 1)
	f.gang("job-1", 4, 8, func(s *protocol.Spec) { s.SpreadZones = true })
	for range 3 {
		f.now += limits.PlanInterval
		f.step(Tick{Entitled: true})
		for _, effect := range f.effects {
			write, ok := effect.(WriteRecords)
			if ok && strings.HasPrefix(write.Operations[0].Put, storage.PrefixRental) {
				t.Fatalf("rented for a gang that no zones can hold: %+v", write)
			}
		}
	}
	for _, c := range []struct {
		age  time.Duration
		kept bool
	}{{0, true}, {limits.GangCapacityTimeout + time.Second, false}} {
		f = newGangFixture(t, 1)
		for _, spot := range []bool{true, false} {
			f.scheduler.rentals.pool(machinePool{"s8", "a", spot}).notBefore = never
		}
		f.version++
		f.step(JobChanged{
			JobID: "job-1", Version: 100 + f.version, SinceSubmission: c.age,
			Record: storage.OpenJob{Spec: protocol.Spec{
				ID: "job-1", Class: "g", Team: "red", Shape: protocol.ShapeGang, Priority: "standard", Tasks: 2,
				CPUs: 8, MemoryGB: 1, Spot: true, Image: "i", EstimateS: 10,
			}},
		})
		f.now += limits.PlanInterval
		f.reportAll()
		f.step(Tick{Entitled: true})
		if m := f.scheduler.inventory.find(f.machine(0)); m.neededByPlan != c.kept {
			t.Errorf("after %v: its machine is kept: %v", c.age, m.neededByPlan)
		}
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
	f.report(0, ended)
	f.report(1, waiting)
	f.report(2)
	if starts := commandsOf(f.effects, protocol.CommandStart); len(starts) != 1 || starts[0].Attempt != 7 {
		t.Fatalf("starts: %+v", f.effects)
	}
	if m := f.scheduler.jobs.find("job-1").assignments[0].machine; m.name != f.machine(2) {
		t.Errorf("replaced on %s", m.name)
	}
	f = newSchedulerFixture(t, 2)
	f.gang("job-1", 2, 8)
	f.report(0, ended)
	f.report(1, waiting)
	j := f.scheduler.jobs.find("job-1")
	if j.assignments[0] == nil {
		f.scheduler.assignments.assign(j, 0, f.scheduler.inventory.find(f.machine(0)), 7, stateSent)
	}
	f.report(0, ended)
	if assigned := j.assignments[0]; assigned != nil {
		t.Errorf("still assigned: %+v", assigned)
	}
}
