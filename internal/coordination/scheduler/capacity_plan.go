package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// capacityPlan is one run of the planner: it allocates the capacity of the machines to the jobs in queue
// order and determines which machines to rent.
type capacityPlan struct {
	*capacityPlanner
	offers         []*capacityOffer
	machineCount   int                     // known and requested machines, including those being deleted
	machinesInZone map[string]int          // known machines and those to rent, except those being deleted
	toRent         map[machinePool]float64 // machines to rent; not a whole number if a part of a machine suffices

	requestsLeft       int                 // further requests that the cloud's rate limit allows before the next plan
	pendingRequests    map[machinePool]int // number of pending rentals
	maxRequestsPerPool int                 // limit on the pending rentals of one pool
}

// newPlan returns a plan with the capacity of all usable machines and of pending rentals, none of it
// allocated to waiting tasks yet.
func (p *capacityPlanner) newPlan() *capacityPlan {
	plan := &capacityPlan{
		capacityPlanner: p,
		machinesInZone:  map[string]int{},
		toRent:          map[machinePool]float64{},
		requestsLeft:    max(1, limits.Whole(p.cfg.CloudRPS*limits.PlanInterval.Seconds(), limits.MaxPlannedRequests)),
		pendingRequests: map[machinePool]int{},
	}
	plan.addMachines()
	plan.addPendingRentals()
	// It is unknown how many machines a pool has left, and a refused request counts against the cloud's
	// rate limit like any other. The requests are therefore divided among the pools of similar price.
	plan.maxRequestsPerPool = max(limits.MinPoolRequests, plan.requestsLeft/max(p.countCheapPools(), 1))
	return plan
}

// addMachines adds the capacity of the machines in the inventory.
func (p *capacityPlan) addMachines() {
	for _, m := range p.inventory.all() {
		p.machineCount++
		m.neededByPlan, m.neededByGang = false, false
		if !m.deleting {
			p.machinesInZone[m.zone]++
		}
		if offer := p.offerOf(m); offer != nil {
			p.offers = append(p.offers, offer)
		}
	}
}

// offerOf returns the capacity of a machine, or nil if no tasks should be planned on it.
func (p *capacityPlan) offerOf(m *machine) *capacityOffer {
	if m.machineType == nil || m.deleting || m.spotNotice || m.isFaulty() {
		return nil
	}
	readyInS, ok := p.secondsUntilReady(m)
	if !ok {
		return nil
	}
	offer := &capacityOffer{machine: m, pool: m.pool(), machineType: m.machineType, readyInS: readyInS}
	for _, a := range m.assignments {
		offer.addAssignment(a, p.now)
	}
	return offer
}

// secondsUntilReady returns in how many seconds a machine is expected to start tasks. It returns false if
// the machine has been unreachable for too long, or may never finish booting.
func (p *capacityPlan) secondsUntilReady(m *machine) (seconds float64, ok bool) {
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
	return limits.OverdueBootRemainingS, true
}

// isLongUnreachable reports whether a machine has been unreachable or unverified for so long that no
// tasks should be planned on it.
func (p *capacityPlan) isLongUnreachable(m *machine) bool {
	grace := 2 * p.staleThreshold()
	return p.now > m.lastHeartbeatAt+grace || (!m.verified && p.now > m.unverifiedSince+grace)
}

// addPendingRentals adds the capacity of pending rentals, and counts their requests.
func (p *capacityPlan) addPendingRentals() {
	for _, r := range p.rentals.all() {
		if !r.isPending() {
			continue
		}
		pool := r.pool()
		p.machineCount += r.record.Count
		p.requestsLeft--
		p.pendingRequests[pool]++
		t := p.catalog.find(pool.typeName)
		if t == nil {
			continue
		}
		for range r.record.Count {
			p.offers = append(p.offers, newRentalOffer(pool, t))
		}
	}
}

// planJobs plans the jobs in queue order. It skips jobs whose backoff after failures has not ended.
func (p *capacityPlan) planJobs() {
	for _, j := range p.queue.jobsInOrder() {
		switch {
		case p.now < j.retryAt:
		case j.gang != nil:
			p.planGang(j)
		default:
			p.planJob(j)
		}
	}
}

// estimatedBootS returns how many seconds a machine of the type is expected to need to boot.
func estimatedBootS(t *protocol.MachineType) float64 { return t.BootS * limits.BootEstimateFactor }

// rentWholeMachines rounds up the number of machines to rent from a pool. A fraction may be too small to
// rent a machine (see machinesToRent), but a gang needs all its machines, and a job that has waited for
// long should not have to wait for other machines to become free.
func (p *capacityPlan) rentWholeMachines(pool machinePool) {
	p.toRent[pool] = math.Ceil(p.toRent[pool] - limits.Epsilon)
}

// rentAtLeast raises the number of machines to rent from a pool to at least the given one. Machines that
// are already to be rented for jobs count towards it.
func (p *capacityPlan) rentAtLeast(pool machinePool, machines float64) {
	p.toRent[pool] = max(p.toRent[pool], machines)
}

// mayRent reports whether this plan may request more machines from a pool. A pool whose last reply was
// incomplete may have only one pending rental.
func (p *capacityPlan) mayRent(pool machinePool) bool {
	requests := p.maxRequestsPerPool
	if p.rentals.wasLastReplyIncomplete(pool) {
		requests = 1
	}
	limit := max(requests-p.pendingRequests[pool], 0) * p.rentals.maxPerRental()
	return p.toRent[pool] < float64(limit)
}

// poolsByPrice returns the pools to rent from, sorted by price per CPU, the cheapest first.
func (p *capacityPlan) poolsByPrice() []machinePool {
	return slices.SortedFunc(maps.Keys(p.toRent), func(a, b machinePool) int {
		return cmp.Or(
			cmp.Compare(p.pricePerCPU(a), p.pricePerCPU(b)),
			strings.Compare(a.typeName, b.typeName),
			strings.Compare(a.zone, b.zone),
		)
	})
}

// machinesToRent returns how many machines to rent from a pool without exceeding maxMachines. A fraction
// below MinRentalFraction is dropped, unless there is no machine at all.
func (p *capacityPlan) machinesToRent(pool machinePool) int {
	count := limits.Whole(p.toRent[pool]+1-limits.MinRentalFraction, math.MaxInt32)
	if count == 0 && p.machineCount == 0 {
		count = 1
	}
	allowed := p.maxMachines() - p.machineCount
	if count > allowed {
		p.logMachineLimit(p.machineCount, count)
	}
	return min(count, allowed)
}

// startRentals starts the rentals of the plan, those from the cheapest pools first, because the limits on requests
// and machines may not allow all of them.
func (p *capacityPlan) startRentals() {
	for _, pool := range p.poolsByPrice() {
		count := p.machinesToRent(pool)
		for count > 0 && p.requestsLeft > 0 {
			requested := min(count, p.rentals.maxPerRental())
			p.machineCount += requested
			p.requestsLeft--
			p.rentals.startRental(pool, requested)
			count -= requested
		}
	}
}
