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

// TestCheapestVictims compares the chosen set with every set: up to the cutoff it is the cheapest;
// beyond, it covers what is short and has no task that is not needed.
func TestCheapestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, limits.MaxExhaustiveVictims+4).Draw(t, "n")
		options := make([]preemptionOption, n)
		for i := range options {
			options[i].resources = resource.Vector{
				CPUs:     float64(rapid.IntRange(0, 4).Draw(t, "cpus")),
				MemoryGB: float64(rapid.IntRange(0, 4).Draw(t, "memory")),
			}
			options[i].cost = float64(rapid.IntRange(0, 50).Draw(t, "loss"))
		}
		short := resource.Vector{
			CPUs:     float64(rapid.IntRange(-1, 8).Draw(t, "short CPUs")),
			MemoryGB: float64(rapid.IntRange(1, 8).Draw(t, "short memory")),
		}
		sum := func(set []int) (resource.Vector, float64) {
			var r resource.Vector
			loss := 0.0
			for _, i := range set {
				r, loss = r.Plus(options[i].resources), loss+options[i].cost
			}
			return r, loss
		}
		best := -1.0
		for mask := range 1 << n {
			var set []int
			for i := range n {
				if mask>>i&1 != 0 {
					set = append(set, i)
				}
			}
			if r, loss := sum(set); r.Fits(short) && (best < 0 || loss < best) {
				best = loss
			}
		}
		got := cheapestVictims(options, short)
		if (got == nil) != (best < 0) {
			t.Fatalf("got %v, best %v", got, best)
		}
		if got == nil {
			return
		}
		r, loss := sum(got)
		if !r.Fits(short) || (n <= limits.MaxExhaustiveVictims && loss > best) {
			t.Fatalf("got %v: %+v loss %v, best %v, short %+v", got, r, loss, best, short)
		}
		for k := range got {
			rest := append(append([]int(nil), got[:k]...), got[k+1:]...)
			if r, _ := sum(rest); n > limits.MaxExhaustiveVictims && r.Fits(short) {
				t.Fatalf("task %d of %v is not needed", got[k], got)
			}
		}
	})
}

func TestRank(t *testing.T) {
	free, dearer, stops := candidate{machine: &machine{name: "a"}}, candidate{machine: &machine{name: "b"}}, candidate{machine: &machine{name: "c"}}
	free.scores[weightPrice] = -5 // free room comes first, however dear
	dearer.scores[weightOvercommit], dearer.scores[weightCost], dearer.scores[weightPrice] = -1, -20, -1
	stops.scores[weightOvercommit], stops.scores[weightCost], stops.scores[weightPrice] = -1, -3, -4
	if got := bestCandidate([]candidate{dearer, stops, free}); got != 2 {
		t.Errorf("free room: %d", got)
	}
	if got := bestCandidate([]candidate{dearer, stops}); got != 1 {
		t.Errorf("least loss: %d", got)
	}
	if got := bestCandidate([]candidate{stops, stops}); got != 0 {
		t.Errorf("all equal: %d", got)
	}
	if got := bestCandidate(nil); got != -1 {
		t.Errorf("none: %d", got)
	}
}

// TestNoPreemptionCycles: where one task may be stopped for another, the other may not be stopped
// for it. Without this, borrowed work of high priority and guaranteed work of another team stopped
// each other for ever.
func TestNoPreemptionCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler{environment: &environment{}}
		teams := []*team{{cfg: config.Team{CPUs: 1}, allocated: resource.Vector{CPUs: 5}}, {cfg: config.Team{CPUs: 9}, allocated: resource.Vector{CPUs: 5}}}
		draw := func(name string) *assignment {
			return &assignment{state: stateRunning, job: &job{team: teams[rapid.IntRange(0, 1).Draw(t, name+" team")],
				priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, name+" urgency")), guaranteed: rapid.Bool().Draw(t, name+" guaranteed")}}
		}
		x, y := draw("x"), draw("y")
		if s.mayPreempt(x.job, y) && s.mayPreempt(y.job, x) {
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
	first := protocol.TaskStatus{Task: d.Commands[0].Task, Attempt: d.Commands[0].Attempt, State: protocol.Running}
	b.sequence += 10
	b.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: &protocol.Heartbeat{Machine: d.Machine, Incarnation: 1, Sequence: b.sequence, FencingToken: 3, Tasks: []protocol.TaskStatus{first}}})
	b.job("job-2", "red", "high", 1, 4, 13) // 3 s of slack
	j := b.scheduler.jobs.byID["job-2"]
	if len(j.assignments) != 0 || len(b.scheduler.placement.nextPreemptionSearch) == 0 {
		t.Fatalf("%d tasks bound beside one that may not be stopped; %d requests remembered", len(j.assignments), len(b.scheduler.placement.nextPreemptionSearch))
	}
	// Now the task on the machine may be stopped, but it is too soon to look.
	b.scheduler.jobs.byID["job-1"].priority = protocol.Low
	b.report(0, first)
	if b.scheduler.inventory.find(d.Machine).assignments[first.Task].stopping {
		t.Error("stopped at once")
	}
	b.now += limits.PreemptionSearchInterval
	b.scheduler.placement.needed = true
	b.report(0, first)
	if !b.scheduler.inventory.find(d.Machine).assignments[first.Task].stopping {
		t.Error("not stopped after the pause")
	}
	// Free room needs no look.
	b = newSchedulerFixture(t, 1)
	b.report(0)
	b.scheduler.placement.nextPreemptionSearch[placementRequest{demand: resource.Vector{CPUs: 4, MemoryGB: 1}, team: b.scheduler.jobs.teams["red"], priority: protocol.High, guaranteed: true, preempting: true}] = time.Hour
	b.job("job-2", "red", "high", 1, 4, 13)
	if len(b.scheduler.jobs.byID["job-2"].assignments) != 1 {
		t.Error("not placed where there is room")
	}
}
