package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// takeOver is a scheduler that has just taken over machines that report rarely.
func takeOver(machines int, coreShare float64) *Scheduler {
	s := New(Config{Term: 3, Teams: []config.Team{{Name: "red", CPUs: 8, CPUsMax: 100}}, Workers: config.Workers{ReportS: 60, LeaseS: 600, CancelS: 900},
		State: config.State{WriteRPS: 20, ValueKB: 4, TxnOps: 8}, CoreShare: coreShare, Options: config.DefaultOptions()}, 0)
	s.Step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}}, 0)
	loadRegistryPage(s, "h-1-1", answeredRental("s8", machines, longName), 0)
	return s
}

// TestProbesArePaced: after a take-over a small controller asks its machines one after the other,
// not all at once, and slower once that takes it long; those that never answer do not keep it from
// asking the others. Seen on controllers that spent their processor on probes while reports and the
// lease waited.
func TestProbesArePaced(t *testing.T) {
	const machines, coreShare = 1000, 0.05
	for _, c := range []struct {
		name  string
		took  time.Duration
		share float64 // of the full rate
	}{
		{"answered at once", time.Millisecond, 1},
		{"answered late", time.Second, limits.ProbeSlowdown},
		{"not answered", 0, 1},
	} {
		rate := limits.ProbeRate(coreShare)
		s := takeOver(machines, coreShare)
		asked := map[string]int{}
		now := time.Duration(0)
		count := func(effects []Effect) (probes int) {
			for _, e := range effects {
				p, ok := e.(ProbeMachine)
				if !ok {
					continue
				}
				probes++
				if asked[p.Machine]++; asked[p.Machine] > 1 && len(asked) < machines {
					t.Errorf("%s: %s is asked again while others have not been asked", c.name, p.Machine)
				}
				done := ProbeDone{Machine: p.Machine}
				if c.took > 0 {
					done.Took, done.Heartbeat = c.took, &protocol.Heartbeat{} // a worker's report that proves nothing
				}
				s.Step(done, now)
			}
			return probes
		}
		sent := count(s.Step(StateLoaded{}, now))
		for len(asked) < machines {
			now += limits.TickInterval
			sent += count(s.Step(Tick{Entitled: true}, now))
			if most := rate*limits.TickInterval.Seconds() + rate*c.share*now.Seconds(); float64(sent) > most+1 {
				t.Fatalf("%s: %d probes within %v, at most %v are allowed", c.name, sent, now, most)
			}
			if late := machines/(rate*c.share) + 2*limits.TickInterval.Seconds(); now.Seconds() > late {
				t.Fatalf("%s: after %v only %d of %d machines were asked", c.name, now, len(asked), machines)
			}
		}
	}
}

// TestLastUnreportedProbedAgain: all placement waits for the last machine that a new leader has not
// heard of, so a probe that it did not answer is followed by the next at once. Where many are
// unheard, as behind a cut, their probes keep to their pace.
func TestLastUnreportedProbedAgain(t *testing.T) {
	for _, c := range []struct{ silent, again int }{{1, 1}, {20, 0}} {
		f := newSchedulerFixture(t, 40)
		for i := c.silent; i < 40; i++ {
			f.report(i)
		}
		f.step(Tick{Entitled: true})
		again := 0
		for _, e := range f.step(ProbeDone{Machine: f.machine(0)}) {
			if p, ok := e.(ProbeMachine); ok && p.Machine == f.machine(0) {
				again++
			}
		}
		if again != c.again {
			t.Errorf("%d silent: asked %d times right after a probe without an answer, want %d", c.silent, again, c.again)
		}
	}
}
