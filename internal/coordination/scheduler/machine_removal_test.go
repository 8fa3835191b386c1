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

// removalCase is a state of a machine and of the fleet, and why the machine is returned.
type removalCase struct {
	name   string
	survey fleetSurvey
	change func(*machine)
	reason string
}

// removalTestTime is late enough in the term that no timeout counts from its start.
const removalTestTime = 10 * time.Minute

// run checks the reason for a machine that was up until it was changed.
func (c removalCase) run(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.report(0)
	m := f.findMachine(0)
	f.scheduler.now, m.lastHeartbeatAt = removalTestTime, removalTestTime
	c.change(m)
	if got := f.scheduler.removalReason(m, c.survey); got != c.reason {
		t.Errorf("reason %q, want %q", got, c.reason)
	}
}

// TestRemovalOfUnreachableMachines: a machine is returned once it has been unreachable for too long;
// that is longer where many are unreachable at once.
func TestRemovalOfUnreachableMachines(t *testing.T) {
	workerLease := 14 * time.Second
	timeout := time.Duration(float64(workerLease) * limits.UnreachableLeaseShare)
	correlatedTimeout := limits.CorrelatedUnreachableLeases * limits.LeaseExpiredAfter(workerLease)
	few := fleetSurvey{reported: 40, unreachable: 1, unreported: 1}
	many := fleetSurvey{reported: 40, unreachable: 20, unreported: 20}
	lastHeartbeat := func(age time.Duration) func(*machine) {
		return func(m *machine) { m.lastHeartbeatAt = removalTestTime - age }
	}
	for _, c := range []removalCase{
		{"up", few, func(*machine) {}, ""},
		{"late", few, lastHeartbeat(timeout), ""},
		{"unreachable", few, lastHeartbeat(timeout + 1), "unreachable"},
		{"with many others", many, lastHeartbeat(correlatedTimeout), ""},
		{"with many others for long", many, lastHeartbeat(correlatedTimeout + 1), "unreachable"},
		{"unverified", few, func(m *machine) {
			m.verified, m.unverifiedSince = false, removalTestTime-timeout-1
		}, "unreachable"},
		{"boots", few, func(m *machine) {
			m.hasReported, m.registration = false, unregistered
			m.createdAt = removalTestTime - limits.MinBootTimeout
		}, ""},
		{"did not boot", few, func(m *machine) {
			m.hasReported, m.registration = false, unregistered
			m.createdAt = removalTestTime - limits.MinBootTimeout - 1
		}, "never came up"},
		{"known to an earlier leader only", few, func(m *machine) {
			m.hasReported = false
		}, "no heartbeat since the failover"},
	} {
		t.Run(c.name, c.run)
	}
}

// TestRemovalOfReachableMachines: a machine that is up is returned if it is of no use.
func TestRemovalOfReachableMachines(t *testing.T) {
	survey := fleetSurvey{reported: 40}
	fault := func(m *machine) {
		m.consecutiveFailures, m.failedJobs["job-1"] = limits.FaultyMachineFailures, true
	}
	slow := func(m *machine) { m.speedCount, m.speedSum = limits.SlowMachineTasks, 1e6 }
	assign := func(m *machine, j *job, state assignmentState) {
		m.assignments["job-1/0"] = &assignment{job: j, machine: m, state: state}
	}
	for _, c := range []removalCase{
		{"faulty", survey, fault, "fails its tasks"},
		{"slow", survey, slow, "slow"},
		{"faulty and slow", survey, func(m *machine) { fault(m); slow(m) }, "fails its tasks"},
		{"spot notice", survey, func(m *machine) { m.spotNotice = true }, "spot notice"},
		{"spot notice with a task", survey, func(m *machine) {
			m.spotNotice = true
			assign(m, &job{}, stateRunning)
		}, ""},
		{"cancelled task", survey, func(m *machine) {
			assign(m, &job{cancelled: true}, stateRunning)
		}, "cancelled task does not stop"},
		{"cancelled task that was not sent", survey, func(m *machine) {
			assign(m, &job{cancelled: true}, stateUnsent)
		}, ""},
	} {
		t.Run(c.name, c.run)
	}
}
