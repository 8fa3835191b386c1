package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// newSchedulerAfterFailover returns the scheduler of a new leader that has loaded the records of the given
// number of machines. Heartbeats are a minute apart, so they do not replace probes.
func newSchedulerAfterFailover(machines int, coreShare float64) *Scheduler {
	s := New(Config{
		Term:      3,
		Teams:     []config.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 100}},
		Workers:   config.WorkerTimes{HeartbeatIntervalS: 60, LeaseS: 600, CancelWithinS: 900},
		State:     config.StateLimits{WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		CoreShare: coreShare,
		Options:   config.DefaultOptions(),
	}, 0)
	s.Step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}}, 0)
	loadRegistryPage(s, "h-1-1", answeredRental("s8", machines, paddedMachineName), 0)
	return s
}

// probeResponder answers the probes of a scheduler and counts them.
type probeResponder struct {
	t         *testing.T
	scheduler *Scheduler
	machines  int
	elapsed   time.Duration // duration of each probe; 0 if probes are not answered
	probed    map[string]int
	sent      int
}

// answerProbes answers the probes among the effects. The test fails if a machine is probed again before every
// machine was probed once.
func (r *probeResponder) answerProbes(effects []Effect, now time.Duration) {
	r.t.Helper()
	for _, probe := range effectsOf[ProbeMachine](effects) {
		r.sent++
		if r.probed[probe.Machine]++; r.probed[probe.Machine] > 1 && len(r.probed) < r.machines {
			r.t.Errorf("%s is probed again while others have not been probed", probe.Machine)
		}
		done := ProbeDone{Machine: probe.Machine}
		if r.elapsed > 0 {
			done.Elapsed, done.Heartbeat = r.elapsed, &protocol.Heartbeat{} // invalid, so it is ignored
		}
		r.scheduler.Step(done, now)
	}
}

// TestProbeRateLimit checks that a controller with a small share of a CPU core does not probe all machines at
// once after a failover, and that it slows down when probes take long. Machines that never answer must not
// delay the probes of the others. Without the limit, controllers spent their CPU time on probes while
// heartbeats and the renewal of the leader lease were delayed.
func TestProbeRateLimit(t *testing.T) {
	const machines, coreShare = 1000, 0.05
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		share   float64 // expected share of the full probe rate
	}{
		{"answered at once", time.Millisecond, 1},
		{"answered late", time.Second, limits.ProbeSlowdownRatio},
		{"not answered", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			rate := limits.ProbeRate(coreShare)
			s := newSchedulerAfterFailover(machines, coreShare)
			responder := &probeResponder{
				t: t, scheduler: s, machines: machines, elapsed: c.elapsed, probed: map[string]int{},
			}
			now := time.Duration(0)
			responder.answerProbes(s.Step(StateLoaded{}, now), now)
			for len(responder.probed) < machines {
				now += limits.TickInterval
				responder.answerProbes(s.Step(Tick{Entitled: true}, now), now)
				most := rate*limits.TickInterval.Seconds() + rate*c.share*now.Seconds()
				if float64(responder.sent) > most+1 {
					t.Fatalf("%d probes within %v, want at most %v", responder.sent, now, most)
				}
				latest := machines/(rate*c.share) + 2*limits.TickInterval.Seconds()
				if now.Seconds() > latest {
					t.Fatalf("after %v only %d of %d machines were probed", now, len(responder.probed), machines)
				}
			}
		})
	}
}

// TestLastUnreportedProbedAgain checks that a missed probe is followed by another at once if only a few
// machines are unreported, because all placement waits for them after a failover. If many are unreported, as
// during a network partition, probes keep to their interval.
func TestLastUnreportedProbedAgain(t *testing.T) {
	for _, c := range []struct{ unreported, again int }{{1, 1}, {20, 0}} {
		t.Run(fmt.Sprintf("%d unreported", c.unreported), func(t *testing.T) {
			f := newSchedulerFixture(t, 40)
			for i := c.unreported; i < 40; i++ {
				f.sendHeartbeat(i)
			}
			f.tick()
			again := 0
			for _, probe := range effectsOf[ProbeMachine](f.step(ProbeDone{Machine: f.machine(0)})) {
				if probe.Machine == f.machine(0) {
					again++
				}
			}
			if again != c.again {
				t.Errorf("%d probes right after a missed probe, want %d", again, c.again)
			}
		})
	}
}

// TestCorrelatedUnverifiedMachinesNotProbedAtOnce checks that a single unverified machine is probed at once,
// but not many machines that become unverified together because their workers reconnect. The next heartbeats
// verify most of them, and those that stay unverified are probed then. Without the delay, the probes kept a
// controller with a small share of a CPU core from answering heartbeats for minutes.
func TestCorrelatedUnverifiedMachinesNotProbedAtOnce(t *testing.T) {
	for _, n := range []int{1, 40} {
		t.Run(fmt.Sprintf("%d unverified", n), func(t *testing.T) {
			f := newSchedulerFixture(t, 40)
			for range 2 {
				for i := range 40 {
					f.sendHeartbeat(i)
				}
				f.now += 2 * time.Second // after all probes of the failover
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
				t.Errorf("single unverified machine is probed %d times at once, want 1", early)
			}
			if n > 1 && early > n/4 {
				t.Errorf("%d of %d machines that became unverified together are probed at once", early, n)
			}
			// All but one are verified by heartbeats. The last one stays unverified and must be probed.
			for i := range n - 1 {
				f.sendHeartbeat(i)
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
