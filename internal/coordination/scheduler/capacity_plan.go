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

// capacityPlan is one run of the planner: the capacity that is there, what of it the jobs will use, and
// what is to be rented.
type capacityPlan struct {
	*capacityPlanner
	offers         []*capacityOffer
	machineCount   int                     // that are known or asked for
	machinesInZone map[string]int          // without those that are being deleted
	toRent         map[machinePool]float64 // a fraction if a part of a machine is enough

	requestsLeft       int                 // rental requests that the cloud accepts before the next plan
	pendingRequests    map[machinePool]int // not answered yet
	maxRequestsPerPool int                 // that may wait for their answers
}

// newPlan returns a plan with the capacity of all machines and of rentals that are under way.
func (p *capacityPlanner) newPlan() *capacityPlan {
	plan := &capacityPlan{
		capacityPlanner: p,
		machinesInZone:  map[string]int{},
		toRent:          map[machinePool]float64{},
		requestsLeft:    max(1, int(p.cfg.CloudRPS*limits.PlanInterval.Seconds())),
		pendingRequests: map[machinePool]int{},
	}
	plan.addMachines()
	plan.addPendingRentals()
	// What is left of a pool is not known, and each refusal costs a call of the cloud's rate: pools of
	// similar price share the calls.
	plan.maxRequestsPerPool = max(limits.MinPoolRequests, plan.requestsLeft/max(p.countCheapPools(), 1))
	return plan
}

// addMachines adds the capacity of the machines that are known.
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

// capacityOf returns the capacity of a machine, or nil if it must not be planned with.
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

// readyIn returns in how many seconds a machine is expected to start tasks, and false if it may be
// gone or never come up.
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

// estimatedBootS is how many seconds a machine of a type is expected to take until it is up.
func estimatedBootS(t *protocol.MachineType) float64 { return t.BootS * limits.BootEstimateFactor }

// roundUp rounds up how many machines of a pool are to be rented: a gang needs all of its machines,
// and a job that has waited for long for a part of one would otherwise wait until other machines are
// free.
func (p *capacityPlan) rentWholeMachines(pool machinePool) {
	p.toRent[pool] = math.Ceil(p.toRent[pool] - limits.Epsilon)
}

// rentAtLeast makes a number of machines of a pool be rented; what is rented for jobs counts.
func (p *capacityPlan) rentAtLeast(pool machinePool, machines float64) {
	p.toRent[pool] = max(p.toRent[pool], machines)
}

// mayRent reports whether more machines of a pool may be asked for in this plan. A pool that has
// refused lately is tried with one request.
func (p *capacityPlan) mayRent(pool machinePool) bool {
	requests := p.maxRequestsPerPool
	if p.rentals.lastAnswerIncomplete(pool) {
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
	if count == 0 && p.machineCount == 0 {
		count = 1
	}
	allowed := p.maxMachines() - p.machineCount
	if count > allowed {
		p.logMachineLimit(p.machineCount, count)
	}
	return min(count, allowed)
}

// rent rents the missing machines, from the cheapest pools first, as the cloud may not accept requests
// for all.
func (p *capacityPlan) rent() {
	for _, pool := range p.poolsByPrice() {
		count := p.machinesToRent(pool)
		for count > 0 && p.requestsLeft > 0 {
			requested := min(count, p.rentals.maxPerRental())
			p.machineCount += requested
			p.requestsLeft--
			p.rentals.rent(pool, requested)
			count -= requested
		}
	}
}
