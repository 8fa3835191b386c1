package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestCheapestVictims compares the chosen set with every set: up to the cutoff it is the cheapest; beyond, it covers what is
// short and has no task that is not needed.
func TestCheapestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, limits.VictimCutoff+4).Draw(t, "n")
		options := make([]victim, n)
		for i := range options {
			options[i].need = room{float64(rapid.IntRange(0, 4).Draw(t, "cpu")), 0, float64(rapid.IntRange(0, 4).Draw(t, "ram"))}
			options[i].loss = float64(rapid.IntRange(0, 50).Draw(t, "loss"))
		}
		short := room{float64(rapid.IntRange(-1, 8).Draw(t, "short")), 0, float64(rapid.IntRange(1, 8).Draw(t, "shortRam"))}
		sum := func(set []int) (room, float64) {
			var r room
			loss := 0.0
			for _, i := range set {
				r, loss = r.plus(options[i].need), loss+options[i].loss
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
			if r, loss := sum(set); r.holds(short) && (best < 0 || loss < best) {
				best = loss
			}
		}
		got := cheapest(options, short)
		if (got == nil) != (best < 0) {
			t.Fatalf("got %v, best %v", got, best)
		}
		if got == nil {
			return
		}
		r, loss := sum(got)
		if !r.holds(short) || (n <= limits.VictimCutoff && loss > best) {
			t.Fatalf("got %v: %+v loss %v, best %v, short %+v", got, r, loss, best, short)
		}
		for k := range got {
			rest := append(append([]int(nil), got[:k]...), got[k+1:]...)
			if r, _ := sum(rest); n > limits.VictimCutoff && r.holds(short) {
				t.Fatalf("task %d of %v is not needed", got[k], got)
			}
		}
	})
}

func TestRank(t *testing.T) {
	free, dearer, stops := candidate{m: &machine{name: "a"}}, candidate{m: &machine{name: "b"}}, candidate{m: &machine{name: "c"}}
	free.scores[weighPrice] = -5 // free room comes first, however dear
	dearer.scores[weighOvercommit], dearer.scores[weighCost], dearer.scores[weighPrice] = -1, -20, -1
	stops.scores[weighOvercommit], stops.scores[weighCost], stops.scores[weighPrice] = -1, -3, -4
	if got := rank([]candidate{dearer, stops, free}); got != 2 {
		t.Errorf("free room: %d", got)
	}
	if got := rank([]candidate{dearer, stops}); got != 1 {
		t.Errorf("least loss: %d", got)
	}
	if got := rank([]candidate{stops, stops}); got != 0 {
		t.Errorf("all equal: %d", got)
	}
	if got := rank(nil); got != -1 {
		t.Errorf("none: %d", got)
	}
}

// TestNoCircles: where one task may be stopped for another, the other may not be stopped for it. Without this, borrowed work of high
// priority
// and guaranteed work of another team stopped each other for ever.
func TestNoCircles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Scheduler{}
		teams := []*team{{cfg: config.Team{CPUs: 1}, used: room{cpu: 5}}, {cfg: config.Team{CPUs: 9}, used: room{cpu: 5}}}
		draw := func(name string) *binding {
			return &binding{phase: running, job: &job{team: teams[rapid.IntRange(0, 1).Draw(t, name+" team")],
				priority: protocol.Priority(rapid.IntRange(0, 3).Draw(t, name+" urgency")), guaranteed: rapid.Bool().Draw(t, name+" guaranteed")}}
		}
		x, y := draw("x"), draw("y")
		if s.mayStop(x.job, y) && s.mayStop(y.job, x) {
			t.Fatal("circle")
		}
	})
}

// TestPressAgain: a job whose time is short and that finds nobody to stop takes free room at once when there is some, and looks for
// tasks to stop again soon.
func TestPressAgain(t *testing.T) {
	b := newBed(t, 1)
	b.report(0)
	b.job("job-1", "red", "high", 1, 8, 0)
	d := b.direct()[0]
	first := protocol.TaskReport{Task: d.Commands[0].Task, Attempt: d.Commands[0].Attempt, State: protocol.Running}
	b.tally += 10
	b.step(DirectDone{ID: d.ID, Machine: d.Machine, Report: &protocol.Report{Machine: d.Machine, Session: 1, Sequence: b.tally, Token: 3, Tasks: []protocol.TaskReport{first}}})
	b.job("job-2", "red", "high", 1, 4, 13) // 3 s of slack
	j := b.s.jobs["job-2"]
	if len(j.bound) != 0 || len(b.s.pressAgain) == 0 {
		t.Fatalf("%d tasks bound beside one that may not be stopped; %d requests remembered", len(j.bound), len(b.s.pressAgain))
	}
	// Now the task on the machine may be stopped, but it is too soon to look.
	b.s.jobs["job-1"].priority = protocol.Low
	b.report(0, first)
	if b.s.machines[d.Machine].bindings[first.Task].stop {
		t.Error("stopped at once")
	}
	b.now += limits.PressAgain
	b.s.dirty = true
	b.report(0, first)
	if !b.s.machines[d.Machine].bindings[first.Task].stop {
		t.Error("not stopped after the pause")
	}
	// Free room needs no look.
	b = newBed(t, 1)
	b.report(0)
	b.s.pressAgain[request{need: room{cpu: 4, ram: 1}, team: b.s.teams["red"], urgency: protocol.High, guar: true, pressing: true}] = time.Hour
	b.job("job-2", "red", "high", 1, 4, 13)
	if len(b.s.jobs["job-2"].bound) != 1 {
		t.Error("not placed where there is room")
	}
}
