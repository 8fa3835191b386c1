package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestProbesArePaced: after a take-over a small controller asks its machines one after the other, not all at once, and those that never answer do not keep
// it from asking the others. Seen on controllers that spent their processor on probes while reports and the lease waited.
func TestProbesArePaced(t *testing.T) {
	const machines, coreShare = 400, 0.05
	rate := limits.ProbeRate(coreShare)
	if rate >= machines/2 {
		t.Fatalf("%v probes a second: no test of the pace", rate)
	}
	s := New(Config{Term: 3, Teams: []config.Team{{Name: "red", CPUs: 8, CPUsMax: 100}}, Workers: config.Workers{ReportS: 60, LeaseS: 600, CancelS: 900},
		State: config.State{WriteRPS: 20, ValueKB: 4, TxnOps: 8}, CoreShare: coreShare, Options: config.DefaultOptions()}, 0)
	s.Step(TypesDone{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}}, 0)
	loadUp(s, "h-1-1", upHire("s8", machines, longName), 0)
	asked := map[string]int{}
	now := time.Duration(0)
	count := func(effects []Effect) (probes int) {
		for _, e := range effects {
			if p, ok := e.(ProbeOut); ok {
				probes++
				if asked[p.Machine]++; asked[p.Machine] > 1 && len(asked) < machines {
					t.Errorf("%s is asked again while others have not been asked", p.Machine)
				}
				s.Step(ProbeDone{Machine: p.Machine}, now)
			}
		}
		return probes
	}
	sent := count(s.Step(Loaded{}, now))
	for len(asked) < machines {
		now += limits.TickEvery
		sent += count(s.Step(Tick{Entitled: true}, now))
		if most := rate * (now + limits.TickEvery).Seconds(); float64(sent) > most+1 {
			t.Fatalf("%d probes within %v, at most %v are allowed", sent, now, most)
		}
		if late := machines/rate + 2*limits.TickEvery.Seconds(); now.Seconds() > late {
			t.Fatalf("after %v only %d of %d machines were asked", now, len(asked), machines)
		}
	}
}

// TestLastUnheardAskedAgain: all placement waits for the last machine that a new leader has not heard of, so a probe that it did not answer is followed
// by the next at once. Where many are unheard, as behind a cut, their probes keep to their pace.
func TestLastUnheardAskedAgain(t *testing.T) {
	for _, c := range []struct{ silent, again int }{{1, 1}, {20, 0}} {
		b := newBed(t, 40)
		for i := c.silent; i < 40; i++ {
			b.report(i)
		}
		b.step(Tick{Entitled: true})
		again := 0
		for _, e := range b.step(ProbeDone{Machine: b.rig(0)}) {
			if p, ok := e.(ProbeOut); ok && p.Machine == b.rig(0) {
				again++
			}
		}
		if again != c.again {
			t.Errorf("%d silent: asked %d times right after a probe without an answer, want %d", c.silent, again, c.again)
		}
	}
}
