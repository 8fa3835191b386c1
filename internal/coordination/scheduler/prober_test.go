package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// newFailover returns the scheduler of a leader that has just replaced another, with machines whose
// heartbeats are rare.
func newFailover(machines int, coreShare float64) *Scheduler {
	s := New(Config{
		Term:      3,
		Teams:     []config.Team{{Name: "red", CPUs: 8, CPUsMax: 100}},
		Workers:   config.Workers{ReportS: 60, LeaseS: 600, CancelS: 900},
		State:     config.State{WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		CoreShare: coreShare,
		Options:   config.DefaultOptions(),
	}, 0)
	s.Step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}}, 0)
	loadRegistryPage(s, "h-1-1", answeredRental("s8", machines, longName), 0)
	return s
}

// probeAnswerer answers the probes of a scheduler and counts them.
type probeAnswerer struct {
	t         *testing.T
	scheduler *Scheduler
	machines  int
	took      time.Duration // 0: probes are not answered
	probed    map[string]int
	sent      int
}

// answer answers the probes among the effects. It fails if a machine is probed again before all were.
func (a *probeAnswerer) answer(effects []Effect, now time.Duration) {
	a.t.Helper()
	for _, probe := range effectsOf[ProbeMachine](effects) {
		a.sent++
		if a.probed[probe.Machine]++; a.probed[probe.Machine] > 1 && len(a.probed) < a.machines {
			a.t.Errorf("%s is probed again while others have not been probed", probe.Machine)
		}
		done := ProbeDone{Machine: probe.Machine}
		if a.took > 0 {
			done.Took, done.Heartbeat = a.took, &protocol.Heartbeat{} // proves nothing
		}
		a.scheduler.Step(done, now)
	}
}

// TestProbesArePaced: after a failover a small controller probes its machines one after the other, not
// all at once, and slower once that takes it long; those that never answer do not keep it from probing
// the others. Seen on controllers that spent their processor on probes while heartbeats and the lease
// waited.
func TestProbesArePaced(t *testing.T) {
	const machines, coreShare = 1000, 0.05
	for _, c := range []struct {
		name  string
		took  time.Duration
		share float64 // of the full rate
	}{
		{"answered at once", time.Millisecond, 1},
		{"answered late", time.Second, limits.ProbeSlowdownRatio},
		{"not answered", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			rate := limits.ProbeRate(coreShare)
			s := newFailover(machines, coreShare)
			answerer := &probeAnswerer{t: t, scheduler: s, machines: machines, took: c.took, probed: map[string]int{}}
			now := time.Duration(0)
			answerer.answer(s.Step(StateLoaded{}, now), now)
			for len(answerer.probed) < machines {
				now += limits.TickInterval
				answerer.answer(s.Step(Tick{Entitled: true}, now), now)
				most := rate*limits.TickInterval.Seconds() + rate*c.share*now.Seconds()
				if float64(answerer.sent) > most+1 {
					t.Fatalf("%d probes within %v, at most %v are allowed", answerer.sent, now, most)
				}
				latest := machines/(rate*c.share) + 2*limits.TickInterval.Seconds()
				if now.Seconds() > latest {
					t.Fatalf("after %v only %d of %d machines were probed", now, len(answerer.probed), machines)
				}
			}
		})
	}
}

// TestLastUnreportedProbedAgain: all placement waits for the last machine that a new leader has not
// heard of, so a probe that it did not answer is followed by the next at once. Where many have not
// reported, as during a network partition, their probes keep to their pace.
func TestLastUnreportedProbedAgain(t *testing.T) {
	for _, c := range []struct{ unreported, again int }{{1, 1}, {20, 0}} {
		t.Run(fmt.Sprintf("%d unreported", c.unreported), func(t *testing.T) {
			f := newSchedulerFixture(t, 40)
			for i := c.unreported; i < 40; i++ {
				f.report(i)
			}
			f.tick()
			again := 0
			for _, probe := range effectsOf[ProbeMachine](f.step(ProbeDone{Machine: f.machine(0)})) {
				if probe.Machine == f.machine(0) {
					again++
				}
			}
			if again != c.again {
				t.Errorf("probed %d times right after a probe without an answer, not %d times", again, c.again)
			}
		})
	}
}

// TestUnverifiedTogether: a machine whose answers may not arrive is probed at once, but not hundreds
// that come on new connections together: their next heartbeats verify them, and who stays unverified
// is probed then. Probes of all kept a small controller from answering heartbeats, for minutes.
func TestUnverifiedTogether(t *testing.T) {
	for _, n := range []int{1, 40} {
		t.Run(fmt.Sprintf("%d unverified", n), func(t *testing.T) {
			f := newSchedulerFixture(t, 40)
			for range 2 {
				for i := range 40 {
					f.report(i)
				}
				f.now += 2 * time.Second // the probes of the failover are long over
			}
			probes := func(e Event) int { return len(effectsOf[ProbeMachine](f.step(e))) }
			early := 0
			for i := range n {
				onOtherConnection := HeartbeatReceived{Entitled: true, Heartbeat: f.heartbeat(f.machine(i))}
				early += probes(onOtherConnection)
				if i%10 == 9 {
					f.now += 100 * time.Millisecond
					early += probes(Tick{Entitled: true})
				}
			}
			if n == 1 && early != 1 {
				t.Errorf("one unverified machine is probed %d times at once", early)
			}
			if n > 1 && early > n/4 {
				t.Errorf("%d of %d machines that are unverified together are probed at once", early, n)
			}
			// The others are verified by heartbeats; one stays unverified and is probed.
			for i := range n - 1 {
				f.report(i)
			}
			late := 0
			for range 4 {
				f.now += time.Second
				late += probes(Tick{Entitled: true})
			}
			if late == 0 {
				t.Error("the machine that stays unverified is not probed")
			}
		})
	}
}
