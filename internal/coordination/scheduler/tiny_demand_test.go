package scheduler

import "testing"

// TestTinyTasksNeedRoom guards against tasks that need less than the tolerance for rounding errors: placed on a full
// machine, whose worker refuses them, they would be placed there again and again, although another machine has room;
// and beyond their team's limit they would break it.
func TestTinyTasksNeedRoom(t *testing.T) {
	const tinyCPUs = 1e-7
	newFullMachine := func(machines int) *schedulerFixture {
		f := newSchedulerFixture(t, machines)
		for i := range machines {
			f.sendHeartbeat(i)
		}
		f.submitJob("job-1", "red", "low", 1, 8, 0)
		if a := f.scheduler.jobs.find("job-1").assignments[0]; a == nil || a.machine.name != f.machine(0) {
			t.Fatalf("job-1 is not on the first machine: %+v", a)
		}
		return f
	}

	f := newFullMachine(2)
	f.submitJob("job-2", "red", "low", 1, tinyCPUs, 0)
	if a := f.scheduler.jobs.find("job-2").assignments[0]; a == nil || a.machine.name != f.machine(1) {
		t.Errorf("with room on the second machine only, the assignment is %+v", a)
	}

	f = newFullMachine(2)
	f.scheduler.jobs.team("red").cfg.MaxCPUs = 8
	f.submitJob("job-2", "red", "low", 1, tinyCPUs, 0)
	if assigned := len(f.scheduler.jobs.find("job-2").assignments); assigned != 0 {
		t.Error("a task is placed beyond its team's limit")
	}

	f = newFullMachine(1)
	start := f.directCommands()[0].Commands[0]
	f.sendHeartbeat(0, runningStatus(start))
	f.submitJob("job-2", "blue", "high", 1, tinyCPUs, 12)
	if a := f.scheduler.jobs.find("job-1").assignments[0]; a == nil || !a.stopping {
		t.Errorf("a task of lower priority is not preempted for a tiny one on a full machine: %+v", a)
	}
}
