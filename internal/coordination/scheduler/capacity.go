package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// capacity is what a machine can run over time: one that is up or boots, or one that is rented or to
// be rented.
type capacity struct {
	machine        *machine // nil for a rental
	pool           machinePool
	machineType    *protocol.MachineType
	readyInS       float64 // seconds until it can start a task
	usedCPUs       float64 // CPUs in use or allocated, also to tasks that start one after the other
	busyCPUSeconds float64 // CPU seconds that these still take
}

// newRentedCapacity returns the capacity of a machine that is rented now.
func newRentedCapacity(pool machinePool, t *protocol.MachineType) *capacity {
	return &capacity{pool: pool, machineType: t, readyInS: estimatedBootS(t)}
}

// addAssignment counts what an assignment of the machine uses.
func (c *capacity) addAssignment(a *assignment, now time.Duration) {
	left := a.job.expectedOccupancySeconds()
	if a.state == stateRunning {
		left = a.job.estimatedRunSeconds()
		left = max(left-(now-a.runningSince).Seconds(), limits.MinRemainingShare*left)
	}
	c.usedCPUs += a.job.demand.CPUs
	c.busyCPUSeconds += left * a.job.demand.CPUs
}

// allows reports whether tasks of a job may be placed there.
func (c *capacity) allows(j *job) bool {
	if c.machine != nil && (j.excludesMachine(c.machine) || (c.machine.reservedForGangs && !j.mayUseGangReservation)) {
		return false
	}
	return typeResources(c.machineType).Covers(j.demand) && j.mayUsePool(c.pool)
}

// allocateTasks allocates the capacity to tasks of a job and returns how many: those that can start
// within some seconds, or as soon as it is ready. A part of what is in use will be free by then, as
// tasks end one after the other. The carry is the fraction of a task that other machines had left, and
// then what is left with this one.
func (c *capacity) allocateTasks(jp *jobPlan, withinS float64, carry *float64) int {
	j := jp.job
	perMachine := typeResources(c.machineType).TasksThatFit(j.demand)
	if perMachine == 0 {
		return 0
	}
	startable := c.startableTasks(j, perMachine, withinS) + *carry
	tasks := min(jp.tasksLeft, jp.zones.remaining(c.pool.zone), int(startable+limits.Epsilon), perMachine)
	*carry = min(startable-float64(tasks), 1)
	if tasks <= 0 {
		return 0
	}
	cpus := float64(tasks) * c.cpusPerTask(j, perMachine)
	c.usedCPUs += cpus
	c.busyCPUSeconds += cpus * jp.taskSeconds
	if c.machine != nil {
		c.machine.neededByPlan = true
	}
	jp.planned(c.pool.zone, tasks)
	return tasks
}

// startableTasks is how many tasks of a job can start within some seconds, at most as many as fit; a
// fraction where running tasks are expected to end by then.
func (c *capacity) startableTasks(j *job, perMachine int, withinS float64) float64 {
	free := typeResources(c.machineType).CPUs - c.usedCPUs
	if wait := withinS - c.readyInS; wait > 0 && c.busyCPUSeconds > 0 {
		free += c.usedCPUs * min(1, wait*c.usedCPUs/(2*c.busyCPUSeconds))
	}
	return min(max(free/c.cpusPerTask(j, perMachine), 0), float64(perMachine))
}

// cpusPerTask is how many CPUs a task counts for on a machine that a number of them fit on.
func (c *capacity) cpusPerTask(j *job, perMachine int) float64 {
	if j.demand.CPUs > 0 {
		return j.demand.CPUs
	}
	return typeResources(c.machineType).CPUs / float64(perMachine)
}

// capacityState is what planning a job changes of a capacity.
type capacityState struct {
	usedCPUs, busyCPUSeconds   float64
	neededByPlan, neededByGang bool
}

// state returns what restore needs to undo the planning of a job.
func (c *capacity) state() capacityState {
	state := capacityState{usedCPUs: c.usedCPUs, busyCPUSeconds: c.busyCPUSeconds}
	if c.machine != nil {
		state.neededByPlan, state.neededByGang = c.machine.neededByPlan, c.machine.neededByGang
	}
	return state
}

// restore returns the capacity to an earlier state.
func (c *capacity) restore(state capacityState) {
	c.usedCPUs, c.busyCPUSeconds = state.usedCPUs, state.busyCPUSeconds
	if c.machine != nil {
		c.machine.neededByPlan, c.machine.neededByGang = state.neededByPlan, state.neededByGang
	}
}
