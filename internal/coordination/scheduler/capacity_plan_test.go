package scheduler

import (
	"reflect"
	"testing"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestGangPlannedAllOrNothing checks that once a gang has waited for GangCapacityTimeout, capacity is planned
// for all its tasks, or the plan stays as it was.
func TestGangPlannedAllOrNothing(t *testing.T) {
	for _, c := range []struct {
		name          string
		tasks         int
		lacksCapacity bool
	}{
		{"gang fits on the fleet", 2, false},
		{"gang exceeds the fleet", 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSchedulerFixture(t, 2)
			for _, spot := range []bool{true, false} { // nothing can be rented
				f.scheduler.rentals.poolState(machinePool{"s8", "a", spot}).backoffUntil = never
			}
			f.sendHeartbeat(0) // machine 1 has not reported, so recovery has not ended and nothing is placed
			f.submitGang("job-1", c.tasks, 8)
			f.now += limits.GangCapacityTimeout
			f.sendHeartbeat(0)
			f.scheduler.inventory.find(f.machine(1)).createdAt = f.now // so the plan counts it as booting
			plan := f.scheduler.planner.newPlan()
			before := plan.snapshot()
			j := f.scheduler.jobs.find("job-1")
			plan.planGang(j)
			if j.gang.lacksCapacity != c.lacksCapacity {
				t.Errorf("lacks capacity: %v, want %v", j.gang.lacksCapacity, c.lacksCapacity)
			}
			if unchanged := reflect.DeepEqual(plan.snapshot(), before); unchanged != c.lacksCapacity {
				t.Errorf("plan unchanged: %v, want %v", unchanged, c.lacksCapacity)
			}
		})
	}
}

// TestAllocateTasksOnOffer checks how many tasks that can start in time are planned on a machine, and which
// fraction of a task is carried over to the next machine.
func TestAllocateTasksOnOffer(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.submitJob("job-1", "red", "standard", 100, 2, 0) // tasks of 2 CPUs and 10 s
	j := f.scheduler.jobs.find("job-1")
	for _, c := range []struct {
		name           string
		usedCPUs       float64 // by tasks of 10 s that have just started
		readyInS       float64
		withinS        float64
		carry          float64
		tasks          int
		remainingCarry float64
	}{
		{"free", 0, 0, 0, 0, 4, 0},
		{"booting", 0, 5, 0, 0, 4, 0},
		{"half used", 4, 0, 0, 0, 2, 0},
		{"full, tasks end within the wait", 8, 0, 20, 0, 4, 0},
		{"full, some tasks end within the wait", 8, 0, 5, 0, 1, 0},
		{"full, boots during the whole wait", 8, 5, 5, 0, 0, 0},
		{"fraction of a task left over", 7, 0, 0, 0, 0, 0.5},
		{"fraction carried over makes a whole task", 7, 0, 0, 0.5, 1, 0},
		{"no more tasks than fit on the machine", 0, 0, 0, 1, 4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			offer := &capacityOffer{
				machineType:         f.scheduler.catalog.find("s8"),
				readyInS:            c.readyInS,
				usedCPUs:            c.usedCPUs,
				remainingCPUSeconds: 10 * c.usedCPUs,
			}
			jp := &jobPlan{job: j, tasksLeft: 100, taskOccupancyS: 10, zones: j.newZonePlan()}
			carry := c.carry
			if tasks := offer.allocateTasks(jp, c.withinS, &carry); tasks != c.tasks || carry != c.remainingCarry {
				t.Errorf("%d tasks planned and carry of %v, want %d and %v", tasks, carry, c.tasks, c.remainingCarry)
			}
			if want := c.usedCPUs + float64(2*c.tasks); offer.usedCPUs != want {
				t.Errorf("%v CPUs used, want %v", offer.usedCPUs, want)
			}
			if left := 100 - c.tasks; jp.tasksLeft != left {
				t.Errorf("%d tasks left to plan, want %d", jp.tasksLeft, left)
			}
		})
	}
}

// TestTinyTasksGetMachines guards against jobs whose tasks need so little that the team's limit allows more of them
// than an integer can hold: machines must be rented for them as for any other job, on every processor.
func TestTinyTasksGetMachines(t *testing.T) {
	for _, cpus := range []float64{5e-324, 1e-300, 1e-18, 0} {
		f := newSchedulerFixture(t, 0)
		rentals := f.scheduler.rentals.count()
		f.submitJob("job-1", "red", "standard", 3, cpus, 0)
		f.tick()
		if f.scheduler.rentals.count() == rentals {
			t.Errorf("no machine is rented for tasks of %v CPUs", cpus)
		}
	}
}

// TestMachineTypeWithoutCPUs guards against a plan that divides by the CPUs of a machine type that has none: the tasks
// that need only memory are planned there, and the plan of the next machine is not affected.
func TestMachineTypeWithoutCPUs(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.submitJob("job-1", "red", "standard", 100, 0, 0) // tasks of 1 GB
	jp := jobPlan{job: f.scheduler.jobs.find("job-1"), tasksLeft: 100, zones: &zonePlan{maxPerZone: 100}}
	offer := newRentalOffer(machinePool{}, &protocol.MachineType{MemoryGB: 8})
	carry := 0.5
	if tasks := offer.allocateTasks(&jp, 0, &carry); tasks != 8 || carry != 0.5 {
		t.Errorf("%d tasks of 1 GB planned on 8 GB, %v carried over; want 8 and 0.5", tasks, carry)
	}
}
