package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestUnreachableMachinesNotReturnedAsIdle checks that machines are not returned as idle when all of them
// become unreachable at once, for example because the leader is isolated from the network.
func TestUnreachableMachinesNotReturnedAsIdle(t *testing.T) {
	f := newSchedulerFixture(t, 8)
	for i := range 8 {
		f.sendHeartbeat(i)
	}
	for range 100 {
		f.now += time.Second
		for _, effect := range f.step(Tick{Entitled: true}) {
			if deletion, ok := effect.(DeleteMachines); ok && f.now < 50*time.Second {
				t.Fatalf("at %v: unreachable machines %v are returned", f.now, deletion.Machines)
			}
		}
	}
}

// returnCase is a state of a machine and of the fleet, and the expected reason to return the machine.
type returnCase struct {
	name   string
	counts reachabilityCounts
	change func(*machine)
	reason string
}

// returnTestTime is late enough in the term that all timeouts that run from its start have passed.
const returnTestTime = 10 * time.Minute

// run checks the return reason of a reachable machine after c.change has modified it.
func (c returnCase) run(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	m := f.findMachine(0)
	f.scheduler.now, m.lastHeartbeatAt = returnTestTime, returnTestTime
	c.change(m)
	if got := f.scheduler.returnReason(m, c.counts); got != c.reason {
		t.Errorf("return reason %q, want %q", got, c.reason)
	}
}

// TestReturnOfUnreachableMachines checks that a machine is returned once it has been unreachable for too
// long, and that the timeout is longer if many machines are unreachable at once.
func TestReturnOfUnreachableMachines(t *testing.T) {
	workerLease := 14 * time.Second
	timeout := time.Duration(float64(workerLease) * limits.UnreachableLeaseShare)
	correlatedTimeout := limits.CorrelatedUnreachableLeases * limits.LeaseExpiredAfter(workerLease)
	few := reachabilityCounts{reported: 40, unreachable: 1, unreported: 1}
	many := reachabilityCounts{reported: 40, unreachable: 20, unreported: 20}
	lastHeartbeat := func(age time.Duration) func(*machine) {
		return func(m *machine) { m.lastHeartbeatAt = returnTestTime - age }
	}
	for _, c := range []returnCase{
		{"reachable", few, func(*machine) {}, ""},
		{"last heartbeat at the timeout", few, lastHeartbeat(timeout), ""},
		{"last heartbeat past the timeout", few, lastHeartbeat(timeout + 1), "unreachable"},
		{"at the correlated timeout", many, lastHeartbeat(correlatedTimeout), ""},
		{"past the correlated timeout", many, lastHeartbeat(correlatedTimeout + 1), "unreachable"},
		{"unverified past the timeout", few, func(m *machine) {
			m.verified, m.unverifiedSince = false, returnTestTime-timeout-1
		}, "unreachable"},
		{"booting", few, func(m *machine) {
			m.hasReported, m.registration = false, unregistered
			m.createdAt = returnTestTime - limits.MinBootTimeout
		}, ""},
		{"boot timed out", few, func(m *machine) {
			m.hasReported, m.registration = false, unregistered
			m.createdAt = returnTestTime - limits.MinBootTimeout - 1
		}, "never came up"},
		{"reported to an earlier leader only", few, func(m *machine) {
			m.hasReported = false
		}, "no heartbeat since the failover"},
	} {
		t.Run(c.name, c.run)
	}
}

// TestReturnOfReachableMachines checks that a reachable machine is returned if it fails its tasks, is slow,
// will be reclaimed or holds a cancelled task that does not stop.
func TestReturnOfReachableMachines(t *testing.T) {
	counts := reachabilityCounts{reported: 40}
	fault := func(m *machine) {
		m.consecutiveFailures, m.failedJobs["job-1"] = limits.FaultyMachineFailures, true
	}
	slow := func(m *machine) { m.runTimeRatioCount, m.runTimeRatioSum = limits.SlowMachineTasks, 1e6 }
	assign := func(m *machine, j *job, state assignmentState) {
		m.assignments["job-1/0"] = &assignment{job: j, machine: m, state: state}
	}
	for _, c := range []returnCase{
		{"faulty", counts, fault, "fails its tasks"},
		{"slow", counts, slow, "slow"},
		{"faulty and slow", counts, func(m *machine) { fault(m); slow(m) }, "fails its tasks"},
		{"spot notice", counts, func(m *machine) { m.spotNotice = true }, "spot notice"},
		{"spot notice with a task", counts, func(m *machine) {
			m.spotNotice = true
			assign(m, &job{}, stateRunning)
		}, ""},
		{"cancelled task", counts, func(m *machine) {
			assign(m, &job{cancelled: true}, stateRunning)
		}, "cancelled task does not stop"},
		{"cancelled task with an unsent start", counts, func(m *machine) {
			assign(m, &job{cancelled: true}, stateUnsent)
		}, ""},
	} {
		t.Run(c.name, c.run)
	}
}
