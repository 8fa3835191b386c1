package scheduler

import (
	"testing"

	"quillshunt/internal/limits"
)

// newFailureFixture returns a fixture with five machines that have reported and two jobs.
func newFailureFixture(t *testing.T) (f *schedulerFixture, one, other *job) {
	f = newSchedulerFixture(t, 5)
	for i := range 5 {
		f.sendHeartbeat(i)
	}
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	f.submitJob("job-2", "red", "standard", 1, 1, 0)
	return f, f.scheduler.jobs.find("job-1"), f.scheduler.jobs.find("job-2")
}

// findMachine returns what the scheduler knows of a machine.
func (f *schedulerFixture) findMachine(i int) *machine {
	return f.scheduler.inventory.find(f.machine(i))
}

// TestFaultyMachines: a machine that fails what others do is faulty; a job that fails everywhere makes
// no machine faulty, and waits longer each time.
func TestFaultyMachines(t *testing.T) {
	f, failing, other := newFailureFixture(t)
	f.scheduler.inventory.recordFailure(failing, f.findMachine(0))
	f.scheduler.inventory.recordFailure(other, f.findMachine(0))
	if !f.findMachine(0).isFaulty() {
		t.Error("not faulty after failing two jobs")
	}
	for i := 1; i < 5; i++ {
		f.scheduler.inventory.recordFailure(failing, f.findMachine(i))
	}
	for i := 1; i < 5; i++ {
		if f.findMachine(i).isFaulty() {
			t.Errorf("machine %d is faulty because of a job that fails everywhere", i)
		}
	}
	first := failing.backoff
	f.scheduler.inventory.recordFailure(failing, f.findMachine(1))
	if first < limits.JobBackoffMin || failing.backoff <= first || failing.retryAt <= f.scheduler.now {
		t.Errorf("delays %v, then %v", first, failing.backoff)
	}
}

// TestSlowMachines: a machine that takes far longer than others for tasks of the same job is slow.
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
		t.Error("a slow machine is not found")
	}
	if usual.isSlow() {
		t.Error("a machine that runs tasks in the usual time counts as slow")
	}
}
