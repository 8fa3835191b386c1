package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
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
	f.submitJob("job-1", "red", "low", 2, 6, 0)
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
	f.sendHeartbeat(0, f.tasks[0]...)
	if got := commandsOf(f.effects, protocol.CommandStart); len(got) != 0 {
		t.Fatalf("started while the other machine is not free: %+v", got)
	}
	f.endTask(1, "job-1/0", protocol.ReasonStopped)
	f.endTask(1, "job-1/1", protocol.ReasonStopped)
	f.sendHeartbeat(1, f.tasks[1]...)
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
	f.submitJob("job-2", "red", "high", 1, 8, 0)
	options := f.scheduler.placement.preemptionOptions(f.scheduler.jobs.find("job-2"), m, nil)
	oneTask := f.scheduler.placement.taskPreemptionCost(f.scheduler.jobs.find("job-1").assignments[0])
	if len(options) != 1 || options[0].Resources.CPUs != 8 || options[0].Cost < 3.9*oneTask {
		t.Fatalf("victims: %+v, cost of a task %v", options, oneTask)
	}
	f.submitJob("job-3", "red", "high", 2, 8, 12)
	if stops := commandsOf(f.effects, protocol.CommandStop); len(stops) != 4 {
		t.Errorf("stops: %+v", stops)
	}
	if assigned := len(f.scheduler.jobs.find("job-3").assignments); assigned != 2 {
		t.Errorf("%d of 2 tasks are assigned to the machines that the gang leaves", assigned)
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

// TestCommittedResourcesAreKept: the start of a more urgent task, which was promised resources that
// are not free yet, does not use those that a gang was committed to.
func TestCommittedResourcesAreKept(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "low", 1, 4, 0)
	f.submitJob("job-2", "red", "high", 1, 64, 0) // fits no machine; assigned by hand below
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
