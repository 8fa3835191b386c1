package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// capacity is what a machine can run over time: one that is up or boots, or one that is rented or to
// be rented.
type capacityOffer struct {
	machine             *machine // nil for a rental
	pool                machinePool
	machineType         *protocol.MachineType
	readyInS            float64 // seconds until it can start a task
	usedCPUs            float64 // CPUs in use or allocated, also to tasks that start one after the other
	remainingCPUSeconds float64 // CPU seconds that these still take
}

// newRentedCapacity returns the capacity of a machine that is rented now.
func newRentalOffer(pool machinePool, t *protocol.MachineType) *capacityOffer {
	return &capacityOffer{pool: pool, machineType: t, readyInS: estimatedBootS(t)}
}

// addAssignment counts what an assignment of the machine uses.
func (c *capacityOffer) addAssignment(a *assignment, now time.Duration) {
	remainingS := a.job.expectedOccupancySeconds()
	if a.state == stateRunning {
		remainingS = a.job.estimatedRunSeconds()
		remainingS = max(remainingS-(now-a.runningSince).Seconds(), limits.MinRemainingShare*remainingS)
	}
	c.usedCPUs += a.job.demand.CPUs
	c.remainingCPUSeconds += remainingS * a.job.demand.CPUs
}

// allows reports whether tasks of a job may be placed there.
func (c *capacityOffer) allows(j *job) bool {
	if c.machine != nil && (j.excludesMachine(c.machine) || (c.machine.reservedForGangs && !j.mayUseGangReservation)) {
		return false
	}
	return typeResources(c.machineType).Fits(j.demand) && j.mayUsePool(c.pool)
}

// allocateTasks allocates the capacity to tasks of a job and returns how many: those that can start
// within some seconds, or as soon as it is ready. A part of what is in use will be free by then, as
// tasks end one after the other. The carry is the fraction of a task that other machines had left, and
// then what is left with this one.
func (c *capacityOffer) allocateTasks(jp *jobPlan, startWithinS float64, carry *float64) int {
	j := jp.job
	tasksPerMachine := typeResources(c.machineType).TasksThatFit(j.demand)
	if tasksPerMachine == 0 {
		return 0
	}
	startable := c.startableTasks(j, tasksPerMachine, startWithinS) + *carry
	tasks := min(jp.tasksLeft, jp.zones.remaining(c.pool.zone), int(startable+limits.Epsilon), tasksPerMachine)
	*carry = min(startable-float64(tasks), 1)
	if tasks <= 0 {
		return 0
	}
	cpus := float64(tasks) * c.cpusPerTask(j, tasksPerMachine)
	c.usedCPUs += cpus
	c.remainingCPUSeconds += cpus * jp.taskOccupancyS
	if c.machine != nil {
		c.machine.neededByPlan = true
	}
	jp.addPlannedTasks(c.pool.zone, tasks)
	return tasks
}

// startableTasks is how many tasks of a job can start within some seconds, at most as many as fit; a
// fraction where running tasks are expected to end by then.
func (c *capacityOffer) startableTasks(j *job, tasksPerMachine int, startWithinS float64) float64 {
	free := typeResources(c.machineType).CPUs - c.usedCPUs
	if wait := startWithinS - c.readyInS; wait > 0 && c.remainingCPUSeconds > 0 {
		free += c.usedCPUs * min(1, wait*c.usedCPUs/(2*c.remainingCPUSeconds))
	}
	return min(max(free/c.cpusPerTask(j, tasksPerMachine), 0), float64(tasksPerMachine))
}

// cpusPerTask is how many CPUs a task counts for on a machine that a number of them fit on.
func (c *capacityOffer) cpusPerTask(j *job, tasksPerMachine int) float64 {
	if j.demand.CPUs > 0 {
		return j.demand.CPUs
	}
	return typeResources(c.machineType).CPUs / float64(tasksPerMachine)
}

// capacityState is what planning a job changes of a capacity.
type offerState struct {
	usedCPUs, remainingCPUSeconds float64
	neededByPlan, neededByGang    bool
}

// state returns what restore needs to undo the planning of a job.
func (c *capacityOffer) state() offerState {
	state := offerState{usedCPUs: c.usedCPUs, remainingCPUSeconds: c.remainingCPUSeconds}
	if c.machine != nil {
		state.neededByPlan, state.neededByGang = c.machine.neededByPlan, c.machine.neededByGang
	}
	return state
}

// restore returns the capacity to an earlier state.
func (c *capacityOffer) restore(state offerState) {
	c.usedCPUs, c.remainingCPUSeconds = state.usedCPUs, state.remainingCPUSeconds
	if c.machine != nil {
		c.machine.neededByPlan, c.machine.neededByGang = state.neededByPlan, state.neededByGang
	}
}
