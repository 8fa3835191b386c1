package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// capacityPlan is one run of the planner: the capacity that is there, what of it the jobs will use, and
// what is to be rented.
type capacityPlan struct {
	*capacityPlanner
	offers         []*capacity
	machines       int                     // that are known or asked for
	machinesInZone map[string]int          // without those that are being deleted
	toRent         map[machinePool]float64 // a fraction if a part of a machine is enough

	callsLeft       int                 // rental requests that the cloud accepts before the next plan
	pendingRequests map[machinePool]int // not answered yet
	requestsPerPool int                 // that may wait for their answers
}

// newPlan returns a plan with the capacity of all machines and of rentals that are under way.
func (p *capacityPlanner) newPlan() *capacityPlan {
	plan := &capacityPlan{
		capacityPlanner: p,
		machinesInZone:  map[string]int{},
		toRent:          map[machinePool]float64{},
		callsLeft:       max(1, int(p.cfg.CloudRPS*limits.PlanInterval.Seconds())),
		pendingRequests: map[machinePool]int{},
	}
	plan.addMachines()
	plan.addPendingRentals()
	// What is left of a pool is not known, and each refusal costs a call of the cloud's rate: pools of
	// similar price share the calls.
	plan.requestsPerPool = max(limits.MinPoolRequests, plan.callsLeft/max(p.countCheapPools(), 1))
	return plan
}

// addMachines adds the capacity of the machines that are known.
func (p *capacityPlan) addMachines() {
	for _, m := range p.inventory.all() {
		p.machines++
		m.neededByPlan, m.neededByGang = false, false
		if !m.deleting {
			p.machinesInZone[m.zone]++
		}
		if offer := p.capacityOf(m); offer != nil {
			p.offers = append(p.offers, offer)
		}
	}
}

// capacityOf returns the capacity of a machine, or nil if it must not be planned with.
func (p *capacityPlan) capacityOf(m *machine) *capacity {
	if m.machineType == nil || m.deleting || m.spotNotice || m.isFaulty() {
		return nil
	}
	readyInS, ok := p.readyIn(m)
	if !ok {
		return nil
	}
	offer := &capacity{machine: m, pool: m.pool(), machineType: m.machineType, readyInS: readyInS}
	for _, a := range m.assignments {
		offer.addAssignment(a, p.now)
	}
	return offer
}

// readyIn returns in how many seconds a machine is expected to start tasks, and false if it may be
// gone or never come up.
func (p *capacityPlan) readyIn(m *machine) (seconds float64, ok bool) {
	if m.hasReported {
		return 0, !p.isLongUnreachable(m)
	}
	age := (p.now - m.createdAt).Seconds()
	if left := m.machineType.BootS*limits.BootEstimateFactor - age; left >= 0 {
		return left, true
	}
	if age > limits.BootPlanFactor*m.machineType.BootS {
		return 0, false
	}
	return limits.OverdueBootS, true
}

// isLongUnreachable reports whether a machine has been unreachable or unverified for so long that it
// is not planned with.
func (p *capacityPlan) isLongUnreachable(m *machine) bool {
	grace := 2 * p.staleAfter()
	return p.now > m.lastHeartbeatAt+grace || (!m.verified && p.now > m.unverifiedSince+grace)
}

// addPendingRentals adds the capacity of rentals that are under way, and counts their requests.
func (p *capacityPlan) addPendingRentals() {
	for _, r := range p.rentals.all() {
		if !r.isPending() {
			continue
		}
		pool := r.pool()
		p.machines += r.record.Count
		p.callsLeft--
		p.pendingRequests[pool]++
		t := p.catalog.find(pool.typeName)
		if t == nil {
			continue
		}
		for range r.record.Count {
			p.offers = append(p.offers, newRentedCapacity(pool, t))
		}
	}
}

// planJobs plans the jobs in the order of the queue.
func (p *capacityPlan) planJobs() {
	for _, j := range p.queue.order() {
		switch {
		case p.now < j.retryAt:
		case j.gang != nil:
			p.planGang(j)
		default:
			p.planJob(j)
		}
	}
}

// jobPlan is what is left to plan of one job.
type jobPlan struct {
	job         *job
	tasksLeft   int
	taskSeconds float64 // that a task is expected to use its resources
	maxWaitS    float64 // seconds within which tasks should start on capacity that is there
	zones       *zonePlan
}

// planned notes that some tasks are planned in a zone.
func (jp *jobPlan) planned(zone string, tasks int) {
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
		job:         j,
		tasksLeft:   tasks,
		taskSeconds: j.occupancy(),
		maxWaitS:    p.maxWaitS(j),
		zones:       j.newZonePlan(),
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
	wait := max(p.maxPlannedWait(j), p.catalog.quickestBoot(j))
	return max(wait-(p.now-j.submittedAt).Seconds(), 0)
}

// maxPlannedWait is how many seconds a job's tasks are planned to wait for capacity: a share of the
// time that they have.
func (p *capacityPlan) maxPlannedWait(j *job) float64 {
	fleet := &p.cfg.Options.Fleet
	wait := time.Duration(fleet.MaxPlannedWait).Seconds()
	if slack, late := p.queue.slack(j); !late && slack != never {
		wait = min(wait, max(slack.Seconds(), 0)*fleet.PlannedWaitSlackRatio)
	}
	return wait
}

// estimatedBootS is how many seconds a machine of a type is expected to take until it is up.
func estimatedBootS(t *protocol.MachineType) float64 { return t.BootS * limits.BootEstimateFactor }

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
func (p *capacityPlan) keepForGang(offer *capacity) {
	if offer.machine != nil {
		offer.machine.neededByGang = true
		return
	}
	p.roundUp(offer.pool)
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
	offer := newRentedCapacity(pool, t)
	tasks := offer.allocateTasks(jp, 0, new(float64))
	if tasks == 0 {
		return 0
	}
	p.machinesInZone[pool.zone]++
	tasksPerMachine := typeResources(t).TasksThatFit(j.demand)
	p.toRent[pool] += float64(tasks) / float64(tasksPerMachine)
	if j.gang != nil || p.now > max(j.submittedAt, j.lastAssignedAt)+limits.FractionalRentalDelay {
		p.roundUp(pool)
	}
	if tasks < tasksPerMachine {
		p.offers = append(p.offers, offer) // the jobs behind may use the rest of this machine
	}
	return tasks
}

// roundUp rounds up how many machines of a pool are to be rented: a gang needs all of its machines,
// and a job that has waited for long for a part of one would otherwise wait until other machines are
// free.
func (p *capacityPlan) roundUp(pool machinePool) {
	p.toRent[pool] = math.Ceil(p.toRent[pool] - limits.Epsilon)
}

// rentAtLeast makes a number of machines of a pool be rented; what is rented for jobs counts.
func (p *capacityPlan) rentAtLeast(pool machinePool, machines float64) {
	p.toRent[pool] = max(p.toRent[pool], machines)
}

// mayRent reports whether more machines of a pool may be asked for in this plan. A pool that has
// refused lately is tried with one request.
func (p *capacityPlan) mayRent(pool machinePool) bool {
	requests := p.requestsPerPool
	if p.rentals.refusedLately(pool) {
		requests = 1
	}
	limit := max(requests-p.pendingRequests[pool], 0) * p.rentals.maxPerRental()
	return p.toRent[pool] < float64(limit)
}

// poolsByPrice returns the pools to rent from, the cheapest first.
func (p *capacityPlan) poolsByPrice() []machinePool {
	return slices.SortedFunc(maps.Keys(p.toRent), func(a, b machinePool) int {
		return cmp.Or(
			cmp.Compare(p.pricePerCPU(a), p.pricePerCPU(b)),
			strings.Compare(a.typeName, b.typeName),
			strings.Compare(a.zone, b.zone),
		)
	})
}

// machinesToRent is how many machines of a pool are to be rented within the limit of the fleet. A
// small part of a machine is not enough to rent it, unless there is no machine at all.
func (p *capacityPlan) machinesToRent(pool machinePool) int {
	count := int(math.Floor(p.toRent[pool] + 1 - limits.MinRentalFraction))
	if count == 0 && p.machines == 0 {
		count = 1
	}
	allowed := p.maxMachines() - p.machines
	if count > allowed {
		p.logLimit(p.machines, count)
	}
	return min(count, allowed)
}

// rent rents the missing machines, from the cheapest pools first, as the cloud may not accept requests
// for all.
func (p *capacityPlan) rent() {
	for _, pool := range p.poolsByPrice() {
		count := p.machinesToRent(pool)
		for count > 0 && p.callsLeft > 0 {
			requested := min(count, p.rentals.maxPerRental())
			p.machines += requested
			p.callsLeft--
			p.rentals.rent(pool, requested)
			count -= requested
		}
	}
}
