package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestUnreachableIsNotIdle: machines that all become unreachable, as when the leader itself is
// isolated, are not returned as idle.
func TestUnreachableIsNotIdle(t *testing.T) {
	f := newSchedulerFixture(t, 8)
	for i := range 8 {
		f.report(i)
	}
	for range 100 {
		f.now += time.Second
		for _, effect := range f.step(Tick{Entitled: true}) {
			if deletion, ok := effect.(DeleteMachines); ok && f.now < 50*time.Second {
				t.Fatalf("at %v: returned %v", f.now, deletion.Machines)
			}
		}
	}
}

// TestRemovalReason: each reason to return a machine holds from its limit on, and not before.
func TestRemovalReason(t *testing.T) {
	const now = 10 * time.Minute
	workerLease := 14 * time.Second
	timeout := time.Duration(float64(workerLease) * limits.UnreachableLeaseShare)
	correlatedTimeout := limits.CorrelatedUnreachableLeases * limits.LeaseExpiredAfter(workerLease)
	few := fleetSurvey{reported: 40, unreachable: 1, unreported: 1}
	many := fleetSurvey{reported: 40, unreachable: 20, unreported: 20}
	lastHeartbeat := func(age time.Duration) func(*machine) {
		return func(m *machine) { m.lastHeartbeatAt = now - age }
	}
	for _, c := range []struct {
		name   string
		survey fleetSurvey
		change func(*machine)
		want   string
	}{
		{"up", few, func(*machine) {}, ""},
		{"late", few, lastHeartbeat(timeout), ""},
		{"unreachable", few, lastHeartbeat(timeout + 1), "unreachable"},
		{"unreachable with many others", many, lastHeartbeat(correlatedTimeout), ""},
		{"unreachable with many others for long", many, lastHeartbeat(correlatedTimeout + 1), "unreachable"},
		{"unverified", few, func(m *machine) {
			m.verified, m.unverifiedSince = false, now-timeout-1
		}, "unreachable"},
		{"boots", few, func(m *machine) {
			m.hasReported, m.registration, m.createdAt = false, unregistered, now-limits.MinBootTimeout
		}, ""},
		{"did not boot", few, func(m *machine) {
			m.hasReported, m.registration, m.createdAt = false, unregistered, now-limits.MinBootTimeout-1
		}, "never came up"},
		{"known to an earlier leader only", few, func(m *machine) {
			m.hasReported = false
		}, "no heartbeat since the failover"},
		{"faulty", few, func(m *machine) {
			m.consecutiveFailures, m.failedJobs["job-1"] = limits.FaultyFailures, true
		}, "fails its tasks"},
		{"slow", few, func(m *machine) {
			m.speedCount, m.speedSum = limits.SlowMachineTasks, 1e6
		}, "slow"},
		{"faulty and slow", few, func(m *machine) {
			m.consecutiveFailures, m.failedJobs["job-1"] = limits.FaultyFailures, true
			m.speedCount, m.speedSum = limits.SlowMachineTasks, 1e6
		}, "fails its tasks"},
		{"spot notice", few, func(m *machine) { m.spotNotice = true }, "spot notice"},
		{"spot notice with a task", few, func(m *machine) {
			m.spotNotice = true
			m.assignments["job-1/0"] = &assignment{job: &job{}, machine: m, state: stateRunning}
		}, ""},
		{"cancelled task", few, func(m *machine) {
			m.assignments["job-1/0"] = &assignment{job: &job{cancelled: true}, machine: m, state: stateRunning}
		}, "cancelled task does not stop"},
		{"cancelled task that was not sent", few, func(m *machine) {
			m.assignments["job-1/0"] = &assignment{job: &job{cancelled: true}, machine: m, state: stateUnsent}
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSchedulerFixture(t, 1)
			f.report(0)
			m := f.findMachine(0)
			f.scheduler.now, m.lastHeartbeatAt = now, now
			c.change(m)
			if got := f.scheduler.removalReason(m, c.survey); got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
}
