package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
)

// TestGangPlacedAllOrNothing checks that all tasks of a gang are placed in one pass with the same attempt
// number, or none of them, and that a gang that does not fit does not block a smaller one behind it.
func TestGangPlacedAllOrNothing(t *testing.T) {
	f := newGangFixture(t, 2)
	f.submitGang("job-1", 5, 4)
	assigned := len(f.scheduler.jobs.find("job-1").assignments)
	if got := commandsWithVerb(f.effects, protocol.CommandStart); len(got) != 0 || assigned != 0 {
		t.Fatalf("%d tasks of a gang that does not fit are assigned; start commands: %+v", assigned, got)
	}
	f.submitGang("job-2", 4, 4)
	got := commandsWithVerb(f.effects, protocol.CommandStart)
	if len(got) != 4 {
		t.Fatalf("start commands %+v, want 4", got)
	}
	for _, start := range got {
		if start.Attempt != got[0].Attempt {
			t.Errorf("attempt numbers differ: %+v", got)
		}
	}
}

// TestGangWaitsForConfirmedResources checks that no start command of a gang is sent until all tasks that
// it preempts are reported ended. Otherwise the gang could hold some of its machines while another job
// holds the rest.
func TestGangWaitsForConfirmedResources(t *testing.T) {
	f := newGangFixture(t, 2)
	f.submitJob("job-1", "red", "low", 2, 6, 0)
	f.deliverDirectCommands(f.effects)
	f.setTaskStates("job-1", protocol.TaskRunning)
	f.reportAll()
	f.submitGang("job-2", 2, 8, func(s *protocol.Spec) { s.Priority, s.DeadlineS = "high", 12 })
	stops := commandsWithVerb(f.effects, protocol.CommandStop)
	if len(stops) != 2 {
		t.Fatalf("want 2 stop commands; effects: %+v", f.effects)
	}
	f.deliverDirectCommands(f.effects)
	f.endTask(0, "job-1/0", protocol.ReasonStopped)
	f.endTask(0, "job-1/1", protocol.ReasonStopped)
	f.sendHeartbeat(0, f.tasks[0]...)
	if got := commandsWithVerb(f.effects, protocol.CommandStart); len(got) != 0 {
		t.Fatalf("start commands while the second machine is not free: %+v", got)
	}
	f.endTask(1, "job-1/0", protocol.ReasonStopped)
	f.endTask(1, "job-1/1", protocol.ReasonStopped)
	f.sendHeartbeat(1, f.tasks[1]...)
	got := 0
	for _, start := range commandsWithVerb(f.effects, protocol.CommandStart) {
		if id, _, _ := protocol.ParseTaskName(start.Task); id == "job-2" {
			got++
		}
	}
	if got != 2 {
		t.Fatalf("%d start commands for job-2 with both machines free, want 2; effects: %+v", got, f.effects)
	}
}

// TestGangPreemptedAsAWhole checks that a gang is a single preemption option, with the cost of all its
// tasks, and that its preemption frees resources on all its machines.
func TestGangPreemptedAsAWhole(t *testing.T) {
	f := newGangFixture(t, 2)
	f.submitGang("job-1", 4, 4, func(s *protocol.Spec) { s.Priority, s.CheckpointS, s.SaveS = "low", 0, 0 })
	f.deliverDirectCommands(f.effects)
	f.setTaskStates("job-1", protocol.TaskRunning)
	f.reportAll()
	for range 3 {
		f.now += time.Second
		f.reportAll()
	}
	m := f.scheduler.inventory.find(f.machine(0))
	f.submitJob("job-2", "red", "high", 1, 8, 0)
	options := f.scheduler.placement.preemptionOptions(f.scheduler.jobs.find("job-2"), m, nil)
	oneTask := f.scheduler.placement.taskPreemptionCost(f.scheduler.jobs.find("job-1").assignments[0])
	if len(options) != 1 || options[0].Resources.CPUs != 8 || options[0].Cost < 3.9*oneTask {
		t.Fatalf("preemption options %+v, want one with 8 CPUs and the cost of 4 tasks; one task costs %v",
			options, oneTask)
	}
	f.submitJob("job-3", "red", "high", 2, 8, 12)
	if stops := commandsWithVerb(f.effects, protocol.CommandStop); len(stops) != 4 {
		t.Errorf("stop commands %+v, want 4", stops)
	}
	if assigned := len(f.scheduler.jobs.find("job-3").assignments); assigned != 2 {
		t.Errorf("%d of 2 tasks are assigned to the machines of the preempted gang", assigned)
	}
}

// TestGangMustFitTeamLimit checks that CanEverRun compares the team's limit with the demand of all tasks
// of a gang, but with that of a single task of an array.
func TestGangMustFitTeamLimit(t *testing.T) {
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
			t.Errorf("%s: CanEverRun of the gang is %v, want %v", c.name, got, c.want)
		}
	}
	spec.Shape = protocol.ShapeArray
	if !CanEverRun(&spec, types, 8, 1) {
		t.Error("CanEverRun of an array is false with a limit of one task, want true")
	}
}

// TestCommittedResourcesAreKept checks that resources committed to a gang's task are not used to start a
// task of higher priority that still waits for the resources of a stopping task.
func TestCommittedResourcesAreKept(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "low", 1, 4, 0)
	f.submitJob("job-2", "red", "high", 1, 64, 0) // fits on no machine; the test assigns it below
	s, m := f.scheduler, f.scheduler.inventory.find(f.machine(0))
	f.submitGang("job-3", 2, 8) // does not fit; the test assigns one task below
	stopping := s.jobs.find("job-1").assignments[0]
	stopping.state = stateRunning
	s.assignments.stop(stopping, "for job-2")
	s.jobs.find("job-2").demand.CPUs = 4
	s.assignments.assign(s.jobs.find("job-2"), 0, m, 20, stateUnsent)
	gang := s.jobs.find("job-3")
	gang.demand.CPUs = 4
	s.assignments.assign(gang, 0, m, 21, stateUnsent).committed = true
	reply := HeartbeatReply{Commands: s.assignments.buildCommands(m, inHeartbeatReply, nil)}
	starts := commandsWithVerb([]Effect{reply}, protocol.CommandStart)
	if len(starts) != 1 || starts[0].Task != "job-3/0" {
		t.Errorf("start commands %+v, want one, for job-3/0", starts)
	}
}
