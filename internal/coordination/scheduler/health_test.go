package scheduler

import (
	"testing"

	"quillshunt/internal/limits"
)

// TestFaultyMachines: a machine that fails what others do is returned, and so is one that is far
// slower; a job that fails everywhere condemns no machine, and waits longer each time.
func TestFaultyMachines(t *testing.T) {
	b := newSchedulerFixture(t, 5)
	for i := range 5 {
		b.report(i)
	}
	b.job("job-1", "red", "standard", 1, 1, 0)
	b.job("job-2", "red", "standard", 1, 1, 0)
	j := b.scheduler.jobs.byID["job-1"]
	m := b.scheduler.inventory.find(b.machine(0))
	b.scheduler.recordFailure(j, m)
	b.scheduler.recordFailure(b.scheduler.jobs.byID["job-2"], m)
	if !m.isFaulty() {
		t.Error("not sick after failing two jobs")
	}
	for i := 1; i < 5; i++ {
		b.scheduler.recordFailure(j, b.scheduler.inventory.find(b.machine(i)))
	}
	for i := 1; i < 5; i++ {
		if b.scheduler.inventory.find(b.machine(i)).isFaulty() {
			t.Errorf("machine %d condemned by a job that fails everywhere", i)
		}
	}
	first := j.backoff
	b.scheduler.recordFailure(j, b.scheduler.inventory.find(b.machine(1)))
	if first < limits.JobBackoffMin || j.backoff <= first || j.retryAt <= b.scheduler.now {
		t.Errorf("delays %v, then %v", first, j.backoff)
	}
	slow := b.scheduler.inventory.find(b.machine(2))
	other := b.scheduler.jobs.byID["job-2"]
	for range 6 {
		b.scheduler.learnRunTime(other, b.scheduler.inventory.find(b.machine(3)), 10)
	}
	for range limits.SlowMachineTasks {
		b.scheduler.learnRunTime(other, slow, 60)
	}
	if !slow.isSlow() || b.scheduler.inventory.find(b.machine(3)).isSlow() {
		t.Error("slow machine not told from the others")
	}
}
