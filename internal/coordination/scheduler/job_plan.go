package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// jobPlan is the part of a job that is not planned yet.
type jobPlan struct {
	job            *job
	tasksLeft      int
	taskOccupancyS float64 // seconds for which a task is expected to occupy its resources
	maxWaitS       float64 // tasks should start on existing machines within this time
	zones          *zonePlan
}

// addPlannedTasks records that tasks are planned in a zone.
func (jp *jobPlan) addPlannedTasks(zone string, tasks int) {
	jp.tasksLeft -= tasks
	jp.zones.addTasks(zone, tasks)
}

// planJob allocates existing and pending machines to those of a job's waiting tasks that can start on them
// in time, and adds machines to rent for the others. It returns the number of tasks for which it found no
// capacity. A gang that its team's limit does not allow as a whole is not planned.
func (p *capacityPlan) planJob(j *job) (unplanned int) {
	tasks := j.tasksWithinTeamLimit()
	if tasks <= 0 || tasks < j.gangTasksToPlace() {
		return 0
	}
	jp := jobPlan{
		job:            j,
		tasksLeft:      tasks,
		taskOccupancyS: j.expectedOccupancySeconds(),
		maxWaitS:       p.maxWaitS(j),
		zones:          j.newZonePlan(),
	}
	if j.gang != nil && j.spec.SameZone && !p.chooseGangZone(&jp) {
		return jp.tasksLeft
	}
	p.planOnOffers(&jp)
	p.planOnNewMachines(&jp)
	return jp.tasksLeft
}

// tasksWithinTeamLimit returns how many of the job's waiting tasks its team's CPU limit allows to start now.
// The others need no machine yet.
func (j *job) tasksWithinTeamLimit() int {
	tasks := j.waitingTasks()
	if j.demand.CPUs > 0 {
		tasks = limits.Whole((j.team.cfg.MaxCPUs-j.team.allocated.CPUs)/j.demand.CPUs+limits.Epsilon, tasks)
	}
	return tasks
}

// maxWaitS returns within how many seconds tasks of a job should start on existing machines. For a new job
// it is at least the boot time, because a new machine would not start the tasks earlier. It decreases with
// the age of the job: otherwise no machines would be rented for a queue of constant length, however long its
// jobs had waited.
func (p *capacityPlan) maxWaitS(j *job) float64 {
	wait := max(p.maxPlannedWaitS(j), p.catalog.minBootS(j))
	return max(wait-(p.now-j.submittedAt).Seconds(), 0)
}

// maxPlannedWaitS returns how many seconds a job's tasks may be planned to wait for existing machines:
// MaxPlannedWait, or a share of the job's slack if that is less.
func (p *capacityPlan) maxPlannedWaitS(j *job) float64 {
	fleet := &p.cfg.Options.Fleet
	wait := time.Duration(fleet.MaxPlannedWait).Seconds()
	if slack, late := p.queue.slack(j); !late && slack != never {
		wait = min(wait, max(slack.Seconds(), 0)*fleet.PlannedWaitSlackRatio)
	}
	return wait
}

// planOnOffers allocates the capacity of existing and pending machines to the tasks of a job. The fraction
// of a task that one machine leaves over is added to the next one.
func (p *capacityPlan) planOnOffers(jp *jobPlan) {
	j := jp.job
	carry := 0.0
	for _, offer := range p.offers {
		if jp.tasksLeft == 0 {
			return
		}
		if !offer.mayRunTask(j) || jp.zones.remaining(offer.pool.zone) == 0 {
			continue
		}
		tasks := offer.allocateTasks(jp, jp.maxWaitS, &carry)
		if tasks > 0 && j.gang != nil {
			p.keepForGang(offer)
		}
	}
}

// keepForGang ensures that the machine of an offer will be available to a gang: an existing machine is not
// drained, and one to be rented is rented even if only a part of it is needed.
func (p *capacityPlan) keepForGang(offer *capacityOffer) {
	if offer.machine != nil {
		offer.machine.neededByGang = true
		return
	}
	p.rentWholeMachines(offer.pool)
}

// planOnNewMachines adds machines to rent for the remaining tasks, as long as a pool is available and
// maxMachines is not exceeded.
func (p *capacityPlan) planOnNewMachines(jp *jobPlan) {
	zoneAllowed := func(zone string) bool { return jp.zones.remaining(zone) > 0 }
	var pool machinePool
	var t *protocol.MachineType
	for jp.tasksLeft > 0 {
		if t == nil || !p.mayRent(pool) || !zoneAllowed(pool.zone) {
			if pool, t = p.cheapestPool(jp.job, zoneAllowed); t == nil {
				return
			}
		}
		if p.planNewMachine(jp, pool, t) == 0 || p.toRent[pool] > float64(p.maxMachines()) {
			return
		}
	}
}

// planNewMachine adds a machine to rent, or the fraction of one that the remaining tasks need, and returns
// the number of tasks that are planned on it.
func (p *capacityPlan) planNewMachine(jp *jobPlan, pool machinePool, t *protocol.MachineType) int {
	j := jp.job
	offer := newRentalOffer(pool, t)
	tasks := offer.allocateTasks(jp, 0, new(float64))
	if tasks == 0 {
		return 0
	}
	p.machinesInZone[pool.zone]++
	tasksPerMachine := typeResources(t).TasksThatFit(j.demand)
	p.toRent[pool] += float64(tasks) / float64(tasksPerMachine)
	if j.gang != nil || p.now > max(j.submittedAt, j.lastAssignedAt)+limits.FractionalRentalDelay {
		p.rentWholeMachines(pool)
	}
	if tasks < tasksPerMachine {
		p.offers = append(p.offers, offer) // later jobs may use the rest of this machine
	}
	return tasks
}
