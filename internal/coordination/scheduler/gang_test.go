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
	b := newGangFixture(t, 2)
	b.gang("job-1", 5, 4)
	if got := commandsOf(b.effects, protocol.CommandStart); len(got) != 0 || len(b.scheduler.jobs.byID["job-1"].assignments) != 0 {
		t.Fatalf("a part of a gang that does not fit was started: %+v", got)
	}
	b.gang("job-2", 4, 4)
	got := commandsOf(b.effects, protocol.CommandStart)
	if len(got) != 4 {
		t.Fatalf("starts: %+v", got)
	}
	for _, o := range got {
		if o.Attempt != got[0].Attempt {
			t.Errorf("attempts differ: %+v", got)
		}
	}
}

// TestGangWaitsForConfirmedRoom: a gang that takes room from others sends no start before the last
// of them is known to be gone, so that it never holds a part of its machines while somebody else
// has the rest.
func TestGangWaitsForConfirmedRoom(t *testing.T) {
	b := newGangFixture(t, 2)
	b.job("job-1", "red", "low", 2, 6, 0)
	b.deliver(b.effects)
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	b.gang("job-2", 2, 8, func(s *protocol.Spec) { s.Priority, s.DeadlineS = "high", 12 })
	stops := commandsOf(b.effects, protocol.CommandStop)
	if len(stops) != 2 {
		t.Fatalf("stops: %+v", b.effects)
	}
	b.deliver(b.effects)
	b.end(0, "job-1/0", protocol.ReasonStopped)
	b.end(0, "job-1/1", protocol.ReasonStopped)
	b.report(0, b.tasks[0]...)
	if got := commandsOf(b.effects, protocol.CommandStart); len(got) != 0 {
		t.Fatalf("started while the other machine is not free: %+v", got)
	}
	b.end(1, "job-1/0", protocol.ReasonStopped)
	b.end(1, "job-1/1", protocol.ReasonStopped)
	b.report(1, b.tasks[1]...)
	got := 0
	for _, o := range commandsOf(b.effects, protocol.CommandStart) {
		if id, _, _ := protocol.ParseTaskName(o.Task); id == "job-2" {
			got++
		}
	}
	if got != 2 {
		t.Fatalf("%d starts once all room is free: %+v", got, b.effects)
	}
}

// TestGangReplacement: a task that is lost while the gang gathers gets another machine under the
// same attempt number, never the one that may know that attempt; under a new leader as well, which
// learns the number from reports.
func TestGangReplacement(t *testing.T) {
	b := startedGang(t, 3, 2)
	lostOn, attempt := b.where("job-1/0")
	other, _ := b.where("job-1/1")
	b.all("job-1", protocol.TaskGathering)
	b.reportAll()
	b.end(lostOn, "job-1/0", protocol.ReasonNoRoom) // no fault of the machine, which has the image and would be the best
	b.reportAll()
	again, same := b.where("job-1/0")
	if again == lostOn || again == other || again < 0 || same != attempt {
		t.Fatalf("replaced on %d by attempt %x; lost on %d, attempt %x", again, same, lostOn, attempt)
	}
	if stays, _ := b.where("job-1/1"); stays != other || b.scheduler.jobs.byID["job-1"].assignments[1].stopping {
		t.Error("the task that waits was stopped")
	}
}

// TestGangNotReplacedTooLate: without room for a lost task the whole gang is stopped, and waits
// again under a new attempt.
func TestGangNotReplacedTooLate(t *testing.T) {
	b := startedGang(t, 2, 2)
	lostOn, attempt := b.where("job-1/0")
	other, _ := b.where("job-1/1")
	b.all("job-1", protocol.TaskGathering)
	b.reportAll()
	b.end(lostOn, "job-1/0", protocol.ReasonError)
	b.report(lostOn, b.tasks[lostOn]...)
	if stops := commandsOf(b.effects, protocol.CommandStop); len(stops) != 1 || stops[0].Task != "job-1/1" {
		t.Fatalf("stops: %+v", b.effects)
	}
	b.deliver(b.effects)
	b.end(other, "job-1/1", protocol.ReasonStopped)
	b.reportAll()
	b.reportAll()
	if j := b.scheduler.jobs.byID["job-1"]; j.gang.attempt == attempt {
		t.Errorf("the same attempt again: %+v", j.gang)
	}
}

// TestGangLostWhileRunning: what is left of a gang that lost a task is ended at once, and the next
// attempt starts only when the last task of the old one is gone: a task that is still on its
// machine would run twice.
func TestGangLostWhileRunning(t *testing.T) {
	b := startedGang(t, 3, 2)
	lostOn, attempt := b.where("job-1/0")
	other, _ := b.where("job-1/1")
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	b.tasks[lostOn] = nil
	b.report(lostOn)
	stops := commandsOf(b.effects, protocol.CommandStop)
	if len(stops) != 1 || stops[0].Task != "job-1/1" || *stops[0].GraceS != 0 {
		t.Fatalf("stops: %+v", stops)
	}
	b.deliver(b.effects)
	for range 3 {
		b.reportAll()
		if starts := commandsOf(b.effects, protocol.CommandStart); len(starts) != 0 {
			t.Fatalf("started while a task is there: %+v", starts)
		}
	}
	b.end(other, "job-1/1", protocol.ReasonPeers)
	b.reportAll()
	b.reportAll()
	if i, again := b.where("job-1/0"); i < 0 || again <= attempt {
		t.Errorf("next attempt: on %d, %x after %x", i, again, attempt)
	}
	if b.scheduler.inventory.find(b.machine(other)).consecutiveFailures != 0 || len(b.scheduler.jobs.byID["job-1"].failedMachines) != 0 {
		t.Error("counted as a failure of machine or job")
	}
}

// TestGangStopsAsAWhole: a notice for one machine stops the gang on all, in one step, with time to
// save, however many direct commands are on their way.
func TestGangStopsAsAWhole(t *testing.T) {
	b := startedGang(t, 3, 3)
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	b.scheduler.dispatcher.inFlight = limits.MaxDirectCommands
	left := 2.0
	b.sequence++
	out := b.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: &protocol.Heartbeat{Machine: b.machine(1), Address: "x:1", MachineType: "s8", Zone: "a",
		Incarnation: 1, Sequence: b.sequence, FencingToken: 3, SpotNoticeS: &left, Tasks: b.tasks[1]}})
	stops := commandsOf(out, protocol.CommandStop)
	if len(stops) != 3 {
		t.Fatalf("stops: %+v", stops)
	}
	for _, o := range stops {
		if *o.GraceS < 3 {
			t.Errorf("no time to save: %+v", o)
		}
	}
}

// TestGangStopGoesOnAfterTakeOver: a new leader that finds a task of a gang saving stops the rest,
// before it knows all machines.
func TestGangStopGoesOnAfterTakeOver(t *testing.T) {
	b := newSchedulerFixture(t, 3)
	b.gang("job-1", 2, 8)
	b.report(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskRunning})
	b.report(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskSaving})
	stops := commandsOf(b.effects, protocol.CommandStop)
	if len(stops) != 2 || b.scheduler.recovery.hasEnded() {
		t.Fatalf("stops: %+v", stops)
	}
}

// TestGangAfterTakeOver: a new leader completes a gang that gathers, under the number that its
// reports show; it ends one that ran and has lost a task.
func TestGangAfterTakeOver(t *testing.T) {
	for _, c := range []struct {
		state protocol.TaskState
		start bool
	}{{protocol.TaskGathering, true}, {protocol.TaskRunning, false}} {
		b := newSchedulerFixture(t, 2)
		b.gang("job-1", 2, 8)
		has := protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: c.state}
		b.report(0, has)
		b.report(1)
		starts, stops := commandsOf(b.effects, protocol.CommandStart), commandsOf(b.effects, protocol.CommandStop)
		switch {
		case c.start && (len(starts) != 1 || starts[0].Attempt != 7 || starts[0].Task != "job-1/1"):
			t.Errorf("%s: not completed: %+v", c.state, b.effects)
		case !c.start && (len(starts) != 0 || len(stops) != 1):
			t.Errorf("%s: not ended: %+v", c.state, b.effects)
		}
	}
}

// TestGangDone: when one task is done all are, so the job is, also while reports of the others are
// still to come; but their machines stay bound.
func TestGangDone(t *testing.T) {
	b := startedGang(t, 2, 2)
	i, _ := b.where("job-1/0")
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	b.end(i, "job-1/0", protocol.ReasonDone)
	b.report(i, b.tasks[i]...)
	var final bool
	for _, e := range b.effects {
		if w, ok := e.(WriteRecords); ok && w.Operations[0].Put == storage.FinalJobKey("job-1") {
			final = true
			b.step(WriteCompleted{ID: w.ID, OK: true, Version: 900})
		}
	}
	if !final {
		t.Fatalf("no final record: %+v", b.effects)
	}
	if b.scheduler.jobs.teams["red"].allocated.CPUs != 8 {
		t.Errorf("the other task counts no more: %+v", b.scheduler.jobs.teams["red"].allocated)
	}
	b.gang("job-2", 2, 8)
	if starts := commandsOf(b.effects, protocol.CommandStart); len(starts) != 0 {
		t.Errorf("its room was given away: %+v", starts)
	}
}

// TestGangIncomplete: a gang whose tasks gave up waiting is neither the machines' fault nor the
// job's, and starts again as a whole.
func TestGangIncomplete(t *testing.T) {
	b := startedGang(t, 3, 2) // with room for another in place of the one that gave up; but the rest will give up as well
	i, attempt := b.where("job-1/0")
	k, _ := b.where("job-1/1")
	b.all("job-1", protocol.TaskGathering)
	b.reportAll()
	b.end(i, "job-1/0", protocol.ReasonIncomplete)
	b.report(i, b.tasks[i]...)
	if stops := commandsOf(b.effects, protocol.CommandStop); len(stops) != 1 {
		t.Fatalf("the other task still waits: %+v", b.effects)
	}
	b.deliver(b.effects)
	b.end(k, "job-1/1", protocol.ReasonStopped)
	b.reportAll()
	b.reportAll()
	if at, again := b.where("job-1/0"); at < 0 || again <= attempt {
		t.Errorf("not started again: %d %x", at, again)
	}
	if b.scheduler.inventory.find(b.machine(i)).consecutiveFailures != 0 || len(b.scheduler.jobs.byID["job-1"].failedMachines) != 0 {
		t.Error("counted as a failure")
	}
}

// TestGangVictim: a gang that is stopped for somebody counts once, with the loss of all its tasks,
// and leaves room on all its machines.
func TestGangVictim(t *testing.T) {
	b := newGangFixture(t, 2)
	b.gang("job-1", 4, 4, func(s *protocol.Spec) { s.Priority, s.CheckpointS, s.SaveS = "low", 0, 0 })
	b.deliver(b.effects)
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	for range 3 {
		b.now += time.Second
		b.reportAll()
	}
	m := b.scheduler.inventory.find(b.machine(0))
	b.job("job-2", "red", "high", 1, 8, 0)
	options := b.scheduler.placement.preemptionOptions(b.scheduler.jobs.byID["job-2"], m, nil)
	one := b.scheduler.placement.taskPreemptionCost(b.scheduler.jobs.byID["job-1"].assignments[0])
	if len(options) != 1 || options[0].Resources.CPUs != 8 || options[0].Cost < 3.9*one {
		t.Fatalf("victims: %+v, a task's loss %v", options, one)
	}
	b.job("job-3", "red", "high", 2, 8, 12)
	if stops := commandsOf(b.effects, protocol.CommandStop); len(stops) != 4 {
		t.Errorf("stops: %+v", stops)
	}
	if bound := len(b.scheduler.jobs.byID["job-3"].assignments); bound != 2 {
		t.Errorf("%d of 2 tasks have got the room that the gang leaves", bound)
	}
}

// TestGangCancelled: a cancelled gang is ended in every state, at once and without saving.
func TestGangCancelled(t *testing.T) {
	for _, state := range []protocol.TaskState{protocol.TaskFetching, protocol.TaskGathering, protocol.TaskRunning} {
		b := startedGang(t, 2, 2)
		b.all("job-1", state)
		b.reportAll()
		b.version++
		b.step(JobChanged{JobID: "job-1", Version: 100 + b.version, Record: storage.OpenJob{Cancelled: true, Spec: b.scheduler.jobs.byID["job-1"].spec}})
		stops := commandsOf(b.effects, protocol.CommandStop)
		if len(stops) != 2 || *stops[0].GraceS != 0 {
			t.Errorf("%s: stops %+v", state, stops)
		}
	}
}

// TestGangRunnable: a gang must fit into its team's limit as a whole, an array with one task.
func TestGangRunnable(t *testing.T) {
	types := []protocol.MachineType{{Name: "s8", CPUs: 8, Accelerators: 2, MemoryGB: 32, Zones: []string{"a"}}}
	spec := protocol.Spec{Shape: protocol.ShapeGang, Tasks: 4, CPUs: 8, Accelerators: 1, MemoryGB: 1}
	for _, c := range []struct {
		cpus, gpus float64
		gang       bool
	}{{32, 4, true}, {31, 4, false}, {32, 3, false}} {
		if got := CanEverRun(&spec, types, c.cpus, c.gpus); got != c.gang {
			t.Errorf("%+v: %v", c, got)
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
	b := newSchedulerFixture(t, 2)
	b.gang("job-1", 2, 8)
	b.report(0, protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskGathering})
	b.report(1, protocol.TaskStatus{Task: "job-1/1", Attempt: 8, State: protocol.TaskGathering})
	if stops := commandsOf(b.effects, protocol.CommandStop); len(stops) != 2 {
		t.Errorf("stops: %+v", b.effects)
	}
}

// TestCommittedRoomIsKept: the start of a more urgent task, for which room was promised that is not
// free yet, does not take the room that a gang was committed to.
func TestCommittedRoomIsKept(t *testing.T) {
	b := newSchedulerFixture(t, 1)
	b.report(0)
	b.job("job-1", "red", "low", 1, 4, 0)
	b.job("job-2", "red", "high", 1, 64, 0) // fits no machine; bound by hand below
	s, m := b.scheduler, b.scheduler.inventory.find(b.machine(0))
	b.gang("job-3", 2, 8) // does not fit
	leaving := s.jobs.find("job-1").assignments[0]
	leaving.state = stateRunning
	s.assignments.stop(leaving, "for job-2")
	s.jobs.find("job-2").demand.CPUs = 4
	s.assignments.assign(s.jobs.find("job-2"), 0, m, 20, stateUnsent)
	gang := s.jobs.find("job-3")
	gang.demand.CPUs = 4
	s.assignments.assign(gang, 0, m, 21, stateUnsent).committed = true
	starts := commandsOf([]Effect{HeartbeatReply{Commands: s.assignments.buildCommands(m, inHeartbeatReply, nil)}}, protocol.CommandStart)
	if len(starts) != 1 || starts[0].Task != "job-3/0" {
		t.Errorf("starts: %+v", starts)
	}
}

// TestGangSavesBeforeItsMachineGoes: a machine that fails its tasks is returned only after gangs on
// it have had the time to save.
func TestGangSavesBeforeItsMachineGoes(t *testing.T) {
	b := startedGang(t, 2, 2)
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	m := b.scheduler.inventory.find(b.machine(0))
	m.consecutiveFailures, m.failedJobs = limits.FaultyFailures, map[string]bool{"job-9": true}
	b.step(Tick{Entitled: true})
	if stops := commandsOf(b.effects, protocol.CommandStop); len(stops) != 2 || m.deleting {
		t.Fatalf("stops: %+v, deleting %v", stops, m.deleting)
	}
	for range 12 {
		b.now += time.Second
		b.reportAll()
		b.step(Tick{Entitled: true})
	}
	if !m.deleting {
		t.Error("the machine is kept although the time to save is over")
	}
}

// TestGangRoom: where gangs should start sooner than a machine boots, independent tasks leave the
// room that gangs lately used, until they have waited for long.
func TestGangRoom(t *testing.T) {
	b := newGangFixture(t, 2)
	b.scheduler.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "g", WithinS: 2, Share: 0.9}}
	b.gang("job-1", 2, 2)
	b.deliver(b.effects)
	b.all("job-1", protocol.TaskRunning)
	b.reportAll()
	b.step(Tick{Entitled: true})
	b.now += limits.PlanInterval
	b.reportAll()
	b.step(Tick{Entitled: true})
	kept := 0
	for _, m := range b.scheduler.inventory.all() {
		if m.reservedForGangs {
			kept++
		}
	}
	if kept == 0 {
		t.Fatal("no machine is kept")
	}
	b.job("job-2", "red", "standard", 16, 1, 0)
	b.deliver(b.effects)
	free := 0.0
	for _, m := range b.scheduler.inventory.all() {
		if m.reservedForGangs {
			free += m.freeResources().CPUs
		}
	}
	if free < 4 {
		t.Fatalf("independent tasks have taken what is kept: %v CPUs left", free)
	}
	for end := b.now + limits.GangReservationYieldAge + 2*time.Second; b.now < end; b.now += time.Second {
		b.reportAll()
		b.step(Tick{Entitled: true})
		b.deliver(b.effects)
	}
	if n := len(b.scheduler.jobs.byID["job-2"].assignments); n < 12 {
		t.Errorf("still kept from who has waited for long: %d tasks bound", n)
	}
}

// TestOrphanOfAnOpenJob: finished tasks of a job that is open, but whose team the settings do not
// name, are no leftovers.
func TestOrphanOfAnOpenJob(t *testing.T) {
	b := newSchedulerFixture(t, 0)
	s := New(b.scheduler.cfg, 0)
	s.Step(JobChanged{JobID: "job-1", Version: 5, Record: storage.OpenJob{Spec: protocol.Spec{ID: "job-1", Team: "gone", Priority: "low", Tasks: 2}}}, 0)
	s.Step(FinishedTasksLoaded{JobID: "job-1", Version: 6, Record: storage.FinishedTasks{Bits: "AQ"}}, 0)
	for _, e := range s.Step(StateLoaded{}, 0) {
		if w, ok := e.(WriteRecords); ok && w.Operations[0].Delete != "" {
			if len(w.Conditions) != 1 || w.Conditions[0] != (protocol.Condition{Key: storage.OpenJobKey("job-1")}) {
				t.Errorf("removed without a guard: %+v", w)
			}
		}
	}
}

// TestGangThatCannotBeComplete: no machine is rented or kept for a gang that is spread over more
// zones than there are, nor for long for one that the cloud has not enough machines for.
func TestGangThatCannotBeComplete(t *testing.T) {
	b := newGangFixture(t, 1)
	b.gang("job-1", 4, 8, func(s *protocol.Spec) { s.SpreadZones = true })
	for range 3 {
		b.now += limits.PlanInterval
		b.step(Tick{Entitled: true})
		for _, e := range b.effects {
			if w, ok := e.(WriteRecords); ok && strings.HasPrefix(w.Operations[0].Put, storage.PrefixRental) {
				t.Fatalf("rented for a gang that no zones can hold: %+v", w)
			}
		}
	}
	for _, c := range []struct {
		age  time.Duration
		kept bool
	}{{0, true}, {limits.GangCapacityTimeout + time.Second, false}} {
		b = newGangFixture(t, 1)
		for _, spot := range []bool{true, false} {
			b.scheduler.rentals.pool(machinePool{"s8", "a", spot}).notBefore = never
		}
		b.version++
		b.step(JobChanged{JobID: "job-1", Version: 100 + b.version, SinceSubmission: c.age, Record: storage.OpenJob{Spec: protocol.Spec{ID: "job-1", Class: "g", Team: "red",
			Shape: protocol.ShapeGang, Priority: "standard", Tasks: 2, CPUs: 8, MemoryGB: 1, Spot: true, Image: "i", EstimateS: 10}}})
		b.now += limits.PlanInterval
		b.reportAll()
		b.step(Tick{Entitled: true})
		if m := b.scheduler.inventory.find(b.machine(0)); m.neededByPlan != c.kept {
			t.Errorf("after %v: its machine is kept: %v", c.age, m.neededByPlan)
		}
	}
}

// TestGangAttemptKnownToWorker: a machine that lists a task of the attempt as ended takes no start
// of it for a new one. A new leader, which does not remember where tasks were lost, sends the
// replacement elsewhere; and if such a start goes out, the task does not stay bound.
func TestGangAttemptKnownToWorker(t *testing.T) {
	ended := protocol.TaskStatus{Task: "job-1/0", Attempt: 7, State: protocol.TaskEnded, Reason: protocol.ReasonNoRoom}
	waits := protocol.TaskStatus{Task: "job-1/1", Attempt: 7, State: protocol.TaskGathering}
	b := newSchedulerFixture(t, 3)
	b.gang("job-1", 2, 8)
	b.report(0, ended)
	b.report(1, waits)
	b.report(2)
	if starts := commandsOf(b.effects, protocol.CommandStart); len(starts) != 1 || starts[0].Attempt != 7 {
		t.Fatalf("starts: %+v", b.effects)
	}
	if m := b.scheduler.jobs.byID["job-1"].assignments[0].machine; m.name != b.machine(2) {
		t.Errorf("replaced on %s", m.name)
	}
	b = newSchedulerFixture(t, 2)
	b.gang("job-1", 2, 8)
	b.report(0, ended)
	b.report(1, waits)
	if b.scheduler.jobs.byID["job-1"].assignments[0] == nil {
		b.scheduler.assignments.assign(b.scheduler.jobs.byID["job-1"], 0, b.scheduler.inventory.find(b.machine(0)), 7, stateSent)
	}
	b.report(0, ended)
	if bound := b.scheduler.jobs.byID["job-1"].assignments[0]; bound != nil {
		t.Errorf("still bound: %+v", bound)
	}
}
