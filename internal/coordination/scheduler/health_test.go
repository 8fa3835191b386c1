package scheduler

import (
	"testing"

	"quillshunt/internal/limits"
)

// newFailureFixture returns a fixture with two jobs and five machines that have reported.
func newFailureFixture(t *testing.T) (f *schedulerFixture, one, other *job) {
	f = newSchedulerFixture(t, 5)
	for i := range 5 {
		f.sendHeartbeat(i)
	}
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	f.submitJob("job-2", "red", "standard", 1, 1, 0)
	return f, f.scheduler.jobs.find("job-1"), f.scheduler.jobs.find("job-2")
}

// findMachine returns the scheduler's state of machine i.
func (f *schedulerFixture) findMachine(i int) *machine {
	return f.scheduler.inventory.find(f.machine(i))
}

// TestFaultyMachines checks that a machine on which several jobs fail is faulty. A job that fails on every
// machine makes none of them faulty; it is retried with an increasing delay.
func TestFaultyMachines(t *testing.T) {
	f, failing, other := newFailureFixture(t)
	f.scheduler.inventory.recordFailure(failing, f.findMachine(0))
	f.scheduler.inventory.recordFailure(other, f.findMachine(0))
	if !f.findMachine(0).isFaulty() {
		t.Error("machine 0 is not faulty after failures of two jobs")
	}
	for i := 1; i < 5; i++ {
		f.scheduler.inventory.recordFailure(failing, f.findMachine(i))
	}
	for i := 1; i < 5; i++ {
		if f.findMachine(i).isFaulty() {
			t.Errorf("machine %d is faulty because of a job that fails on every machine", i)
		}
	}
	first := failing.backoff
	f.scheduler.inventory.recordFailure(failing, f.findMachine(1))
	if first < limits.JobBackoffMin || failing.backoff <= first || failing.retryAt <= f.scheduler.now {
		t.Errorf("retry delay of the job does not increase: %v, then %v", first, failing.backoff)
	}
}

// TestSlowMachines checks that a machine is slow if tasks run far longer on it than tasks of the same job on
// others.
func TestSlowMachines(t *testing.T) {
	f, _, j := newFailureFixture(t)
	slow, usual := f.findMachine(2), f.findMachine(3)
	for range 6 {
		j.recordRunTime(usual, 10)
	}
	for range limits.SlowMachineTasks {
		j.recordRunTime(slow, 60)
	}
	if !slow.isSlow() {
		t.Error("machine with long run times is not slow")
	}
	if usual.isSlow() {
		t.Error("machine with usual run times is slow")
	}
}
