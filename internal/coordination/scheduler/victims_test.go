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

// TestNoPreemptionCycles checks that no two tasks may preempt each other. Without this rule, work of high
// priority beyond a team's guarantee and guaranteed work of another team kept preempting each other
// without end.
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
			t.Fatal("two tasks may preempt each other")
		}
	})
}

// TestPreemptionSearchInterval checks that a job with little slack that found no task to preempt searches
// again only after PreemptionSearchInterval.
func TestPreemptionSearchInterval(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "high", 1, 8, 0)
	sent := f.directCommands()[0]
	start := sent.Commands[0]
	running := protocol.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: protocol.TaskRunning}
	f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: f.heartbeat(sent.Machine, running)})
	f.submitJob("job-2", "red", "high", 1, 4, 13) // 13 s to its deadline leave 3 s of slack
	assigned := len(f.scheduler.jobs.find("job-2").assignments)
	recorded := len(f.scheduler.placement.nextPreemptionSearchAt)
	if assigned != 0 || recorded == 0 {
		t.Fatalf("%d tasks assigned although nothing may be preempted, %d failed searches recorded; want 0 and some",
			assigned, recorded)
	}
	// The running task may be preempted now, but the interval has not passed.
	f.scheduler.jobs.find("job-1").priority = protocol.PriorityLow
	f.sendHeartbeat(0, running)
	if f.scheduler.inventory.find(sent.Machine).assignments[running.Task].stopping {
		t.Error("task preempted before the interval had passed")
	}
	f.now += limits.PreemptionSearchInterval
	f.scheduler.placement.requestPass()
	f.sendHeartbeat(0, running)
	if !f.scheduler.inventory.find(sent.Machine).assignments[running.Task].stopping {
		t.Error("task not preempted after the interval had passed")
	}
}

// TestThrottledJobUsesFreeResources checks that a job that may not search for tasks to preempt yet still
// uses free resources.
func TestThrottledJobUsesFreeResources(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	request := placementRequest{
		demand: resource.Vector{CPUs: 4, MemoryGB: 1}, team: f.scheduler.jobs.team("red"),
		priority: protocol.PriorityHigh, guaranteed: true, preempting: true,
	}
	f.scheduler.placement.nextPreemptionSearchAt[request] = time.Hour
	f.submitJob("job-2", "red", "high", 1, 4, 13)
	if len(f.scheduler.jobs.find("job-2").assignments) != 1 {
		t.Error("task not placed although resources are free")
	}
}

// TestPreemptionCost checks that the cost of preempting a task is its work since the last checkpoint, or
// since its start without checkpoints, that it grows with each earlier stop, and that the cost of a gang
// is the sum for all its tasks.
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
				t.Errorf("preemption cost %v, want %v", got, c.want)
			}
		})
	}
}
