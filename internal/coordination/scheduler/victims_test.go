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

// TestNoPreemptionCycles: where one task may be stopped for another, the other may not be stopped
// for it. Without this, borrowed work of high priority and guaranteed work of another team stopped
// each other for ever.
func TestNoPreemptionCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []*team{{cfg: config.Team{CPUs: 1}, allocated: resource.Vector{CPUs: 5}}, {cfg: config.Team{CPUs: 9}, allocated: resource.Vector{CPUs: 5}}}
		draw := func(name string) *assignment {
			return &assignment{state: stateRunning, job: &job{team: teams[rapid.IntRange(0, 1).Draw(t, name+" team")],
				priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, name+" urgency")), guaranteed: rapid.Bool().Draw(t, name+" guaranteed")}}
		}
		x, y := draw("x"), draw("y")
		if x.job.mayPreempt(y) && y.job.mayPreempt(x) {
			t.Fatal("circle")
		}
	})
}

// TestPreemptionSearchInterval: a job whose time is short and that finds nobody to stop takes free
// room at once when there is some, and looks for tasks to stop again soon.
func TestPreemptionSearchInterval(t *testing.T) {
	b := newSchedulerFixture(t, 1)
	b.report(0)
	b.job("job-1", "red", "high", 1, 8, 0)
	d := b.direct()[0]
	first := protocol.TaskStatus{Task: d.Commands[0].Task, Attempt: d.Commands[0].Attempt, State: protocol.TaskRunning}
	b.sequence += 10
	b.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: &protocol.Heartbeat{Machine: d.Machine, Incarnation: 1, Sequence: b.sequence, FencingToken: 3, Tasks: []protocol.TaskStatus{first}}})
	b.job("job-2", "red", "high", 1, 4, 13) // 3 s of slack
	j := b.scheduler.jobs.byID["job-2"]
	if len(j.assignments) != 0 || len(b.scheduler.placement.nextPreemptionSearch) == 0 {
		t.Fatalf("%d tasks bound beside one that may not be stopped; %d requests remembered", len(j.assignments), len(b.scheduler.placement.nextPreemptionSearch))
	}
	// Now the task on the machine may be stopped, but it is too soon to look.
	b.scheduler.jobs.byID["job-1"].priority = protocol.PriorityLow
	b.report(0, first)
	if b.scheduler.inventory.find(d.Machine).assignments[first.Task].stopping {
		t.Error("stopped at once")
	}
	b.now += limits.PreemptionSearchInterval
	b.scheduler.placement.requestPass()
	b.report(0, first)
	if !b.scheduler.inventory.find(d.Machine).assignments[first.Task].stopping {
		t.Error("not stopped after the pause")
	}
	// Free room needs no look.
	b = newSchedulerFixture(t, 1)
	b.report(0)
	b.scheduler.placement.nextPreemptionSearch[placementRequest{demand: resource.Vector{CPUs: 4, MemoryGB: 1}, team: b.scheduler.jobs.teams["red"], priority: protocol.PriorityHigh, guaranteed: true, preempting: true}] = time.Hour
	b.job("job-2", "red", "high", 1, 4, 13)
	if len(b.scheduler.jobs.byID["job-2"].assignments) != 1 {
		t.Error("not placed where there is room")
	}
}
