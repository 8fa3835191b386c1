package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestNoPreemptionCycles: where one task may be preempted for another, the other may not be preempted
// for it. Without this, borrowed work of high priority and guaranteed work of another team stopped
// each other for ever.
func TestNoPreemptionCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []*team{
			{cfg: config.Team{GuaranteedCPUs: 1}, allocated: resource.Vector{CPUs: 5}},
			{cfg: config.Team{GuaranteedCPUs: 9}, allocated: resource.Vector{CPUs: 5}},
		}
		draw := func(name string) *assignment {
			return &assignment{state: stateRunning, job: &job{
				team:       teams[rapid.IntRange(0, 1).Draw(t, name+" team")],
				priority:   protocol.Priority(rapid.IntRange(0, 3).Draw(t, name+" priority")),
				guaranteed: rapid.Bool().Draw(t, name+" guaranteed"),
			}}
		}
		first, second := draw("first"), draw("second")
		if first.job.mayPreempt(second) && second.job.mayPreempt(first) {
			t.Fatal("each may preempt the other")
		}
	})
}

// TestPreemptionSearchInterval: a job whose deadline is near and that finds nobody to preempt uses
// free resources at once when there are some, and looks for tasks to preempt again soon.
func TestPreemptionSearchInterval(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	f.job("job-1", "red", "high", 1, 8, 0)
	sent := f.direct()[0]
	start := sent.Commands[0]
	running := protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
	f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: f.heartbeat(sent.Machine, running)})
	f.job("job-2", "red", "high", 1, 4, 13) // 3 s of slack
	assigned := len(f.scheduler.jobs.find("job-2").assignments)
	remembered := len(f.scheduler.placement.nextPreemptionSearch)
	if assigned != 0 || remembered == 0 {
		t.Fatalf("%d tasks assigned beside one that may not be preempted; %d searches remembered", assigned, remembered)
	}
	// Now the task on the machine may be preempted, but it is too soon to search.
	f.scheduler.jobs.find("job-1").priority = protocol.PriorityLow
	f.report(0, running)
	if f.scheduler.inventory.find(sent.Machine).assignments[running.Task].stopping {
		t.Error("preempted at once")
	}
	f.now += limits.PreemptionSearchInterval
	f.scheduler.placement.requestPass()
	f.report(0, running)
	if !f.scheduler.inventory.find(sent.Machine).assignments[running.Task].stopping {
		t.Error("not preempted after the interval")
	}
}

// TestFreeResourcesNeedNoSearch: a job that may not search for tasks to preempt yet uses free
// resources.
func TestFreeResourcesNeedNoSearch(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	request := placementRequest{
		demand: resource.Vector{CPUs: 4, MemoryGB: 1}, team: f.scheduler.jobs.team("red"),
		priority: protocol.PriorityHigh, guaranteed: true, preempting: true,
	}
	f.scheduler.placement.nextPreemptionSearch[request] = time.Hour
	f.job("job-2", "red", "high", 1, 4, 13)
	if len(f.scheduler.jobs.find("job-2").assignments) != 1 {
		t.Error("not placed although resources are free")
	}
}

// TestPreemptionCost: the cost is the work since the last checkpoint, or all of it without one, and rises
// with each earlier stop; of a gang it is that of all its tasks.
func TestPreemptionCost(t *testing.T) {
	cfg := Config{Options: config.DefaultOptions()}
	cfg.Options.Preemption.RestartWeight = 4
	p := newPlacer(&environment{now: 30 * time.Second, cfg: cfg}, nil, nil)
	for _, c := range []struct {
		name        string
		state       assignmentState
		checkpointS float64
		stops       int
		gangTasks   int
		want        float64
	}{
		{name: "not running yet", state: stateFetching, want: 2},
		{name: "no checkpoints", state: stateRunning, want: 2 * (30 + 1)},
		{name: "checkpoints", state: stateRunning, checkpointS: 7, want: 2 * (2 + 1)},
		{name: "stopped twice before", state: stateRunning, stops: 2, want: 2 * (30 + 1) * (1 + 4*2)},
		{name: "gang", state: stateRunning, gangTasks: 3, want: 3 * 2 * (30 + 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &job{
				id: "job-1", demand: resource.Vector{CPUs: 2}, stopCounts: map[int]int{0: c.stops},
				spec: protocol.Spec{Tasks: max(c.gangTasks, 1), CheckpointS: c.checkpointS},
			}
			if c.gangTasks > 0 {
				j.spec.Shape = protocol.ShapeGang
				j.gang = newGang(j)
			}
			m := newTestMachine("m-1", "a", 8)
			for i := range j.spec.Tasks {
				m.runTask(j, i).state = c.state
			}
			if got := p.preemptionCost(j.assignments[0]); got != c.want {
				t.Errorf("cost %v, want %v", got, c.want)
			}
		})
	}
}
