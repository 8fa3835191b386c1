package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// capacityOffer is the capacity of one machine in a plan, and how much of it is allocated. The machine is up,
// booting, requested from the cloud, or yet to be requested.
type capacityOffer struct {
	machine             *machine // nil if the cloud has not rented it out yet
	pool                machinePool
	machineType         *protocol.MachineType
	readyInS            float64 // seconds until it can start a task
	usedCPUs            float64 // of assigned and planned tasks; may exceed the machine's CPUs, as some tasks run later
	remainingCPUSeconds float64 // CPU seconds that these tasks still need
}

// newRentalOffer returns the capacity of a machine that is to be rented or is part of a pending rental.
func newRentalOffer(pool machinePool, t *protocol.MachineType) *capacityOffer {
	return &capacityOffer{pool: pool, machineType: t, readyInS: estimatedBootS(t)}
}

// addAssignment adds the CPUs of a task that is assigned to the machine, and the CPU seconds that the task is
// expected to need from now on.
func (c *capacityOffer) addAssignment(a *assignment, now time.Duration) {
	remainingS := a.job.expectedOccupancySeconds()
	if a.state == stateRunning {
		remainingS = a.job.estimatedRunSeconds()
		remainingS = max(remainingS-a.runTime(now).Seconds(), limits.MinRemainingShare*remainingS)
	}
	c.usedCPUs += a.job.demand.CPUs
	c.remainingCPUSeconds += remainingS * a.job.demand.CPUs
}

// mayRunTask reports whether a task of the job fits on the machine and may be placed on it.
func (c *capacityOffer) mayRunTask(j *job) bool {
	if c.machine != nil && (j.excludesMachine(c.machine) || (c.machine.reservedForGangs && !j.mayUseGangReservation)) {
		return false
	}
	return typeResources(c.machineType).Covers(j.demand) && j.mayUsePool(c.pool)
}

// allocateTasks allocates capacity to tasks of a job, as many as can start within startWithinS seconds or as
// soon as the machine is ready, and returns their number. The estimate of that number may contain a fraction
// of a task, which is carried from machine to machine: carry is added to the estimate, and is then set to
// the part of the estimate that was not allocated, at most 1.
func (c *capacityOffer) allocateTasks(jp *jobPlan, startWithinS float64, carry *float64) int {
	j := jp.job
	tasksPerMachine := typeResources(c.machineType).TasksThatFit(j.demand)
	if tasksPerMachine == 0 {
		return 0
	}
	startable := c.startableTasks(j, tasksPerMachine, startWithinS) + *carry
	mostTasks := min(jp.tasksLeft, jp.zones.remaining(c.pool.zone), tasksPerMachine)
	tasks := limits.Whole(startable+limits.Epsilon, mostTasks)
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

// startableTasks estimates how many tasks of a job can start within startWithinS seconds, at most
// tasksPerMachine. It assumes that the tasks that use the machine now end at a constant rate, the last one
// after twice their mean remaining time. The result may be a fraction.
func (c *capacityOffer) startableTasks(j *job, tasksPerMachine int, startWithinS float64) float64 {
	free := typeResources(c.machineType).CPUs - c.usedCPUs
	if wait := startWithinS - c.readyInS; wait > 0 && c.remainingCPUSeconds > 0 {
		free += c.usedCPUs * min(1, wait*c.usedCPUs/(2*c.remainingCPUSeconds))
	}
	cpusPerTask := c.cpusPerTask(j, tasksPerMachine)
	if cpusPerTask == 0 { // neither the task nor the machine type has CPUs
		return float64(tasksPerMachine)
	}
	return min(max(free/cpusPerTask, 0), float64(tasksPerMachine))
}

// cpusPerTask returns the CPUs that are allocated to a task. A task that requests none, but accelerators
// or memory, gets an equal share of the machine's CPUs.
func (c *capacityOffer) cpusPerTask(j *job, tasksPerMachine int) float64 {
	if j.demand.CPUs > 0 {
		return j.demand.CPUs
	}
	return typeResources(c.machineType).CPUs / float64(tasksPerMachine)
}

// offerState is the part of an offer that planning a job changes.
type offerState struct {
	usedCPUs, remainingCPUSeconds float64
	neededByPlan, neededByGang    bool
}

// snapshot returns the state of the offer, so that restore can undo the planning of a job.
func (c *capacityOffer) snapshot() offerState {
	state := offerState{usedCPUs: c.usedCPUs, remainingCPUSeconds: c.remainingCPUSeconds}
	if c.machine != nil {
		state.neededByPlan, state.neededByGang = c.machine.neededByPlan, c.machine.neededByGang
	}
	return state
}

// restore resets the offer to an earlier state.
func (c *capacityOffer) restore(state offerState) {
	c.usedCPUs, c.remainingCPUSeconds = state.usedCPUs, state.remainingCPUSeconds
	if c.machine != nil {
		c.machine.neededByPlan, c.machine.neededByGang = state.neededByPlan, state.neededByGang
	}
}
