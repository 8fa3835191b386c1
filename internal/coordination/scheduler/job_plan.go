package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// jobPlan is what is left to plan of one job.
type jobPlan struct {
	job            *job
	tasksLeft      int
	taskOccupancyS float64 // that a task is expected to use its resources
	maxWaitS       float64 // seconds within which tasks should start on capacity that is there
	zones          *zonePlan
}

// planned notes that some tasks are planned in a zone.
func (jp *jobPlan) addPlannedTasks(zone string, tasks int) {
	jp.tasksLeft -= tasks
	jp.zones.addTasks(zone, tasks)
}

// planJob allocates capacity that can start them in time to a job's waiting tasks, and adds machines
// to rent for the others. It returns how many tasks found neither.
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

// tasksWithinTeamLimit is how many of the waiting tasks the team's limit lets start now; the others
// need no machine yet.
func (j *job) tasksWithinTeamLimit() int {
	tasks := j.waitingTasks()
	if j.demand.CPUs > 0 {
		tasks = min(tasks, int((j.team.cfg.CPUsMax-j.team.allocated.CPUs)/j.demand.CPUs+limits.Epsilon))
	}
	return tasks
}

// maxWaitS is within how many seconds tasks of a job should start on capacity that is there. What
// starts before a new machine can be up needs none. What has waited as long already can't wait as
// long again, or a queue that is always as long would never be worked off.
func (p *capacityPlan) maxWaitS(j *job) float64 {
	wait := max(p.maxPlannedWaitS(j), p.catalog.minBootS(j))
	return max(wait-(p.now-j.submittedAt).Seconds(), 0)
}

// maxPlannedWait is how many seconds a job's tasks are planned to wait for capacity: a share of the
// time that they have.
func (p *capacityPlan) maxPlannedWaitS(j *job) float64 {
	fleet := &p.cfg.Options.Fleet
	wait := time.Duration(fleet.MaxPlannedWait).Seconds()
	if slack, late := p.queue.slack(j); !late && slack != never {
		wait = min(wait, max(slack.Seconds(), 0)*fleet.PlannedWaitSlackRatio)
	}
	return wait
}

// planOnOffers allocates the capacity that is there. The fraction of a task that one machine has left
// is carried to the next.
func (p *capacityPlan) planOnOffers(jp *jobPlan) {
	j := jp.job
	carry := 0.0
	for _, offer := range p.offers {
		if jp.tasksLeft == 0 {
			return
		}
		if !offer.allows(j) || jp.zones.remaining(offer.pool.zone) == 0 {
			continue
		}
		tasks := offer.allocateTasks(jp, jp.maxWaitS, &carry)
		if tasks > 0 && j.gang != nil {
			p.keepForGang(offer)
		}
	}
}

// keepForGang makes sure that a machine with tasks of a gang is there: it is not drained, or it is
// rented as a whole.
func (p *capacityPlan) keepForGang(offer *capacityOffer) {
	if offer.machine != nil {
		offer.machine.neededByGang = true
		return
	}
	p.rentWholeMachines(offer.pool)
}

// planOnNewMachines adds machines to rent for the tasks that are left, as long as there are pools to
// rent from.
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

// planNewMachine adds a machine to rent, or the part of one that the tasks left need, and returns how
// many tasks that is.
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
		p.offers = append(p.offers, offer) // the jobs behind may use the rest of this machine
	}
	return tasks
}
