package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// cheapestPool returns the pool in which a machine for a job costs least for each task that fits on it,
// among those that are not known to be empty, and its machine type; nil if nothing should be rented
// for the job now. A pool that may not be asked for more in this plan is left for a more expensive one
// only at a similar price; otherwise it is asked again with the next plan.
func (p *capacityPlan) cheapestPool(
	j *job, zoneAllowed func(zone string) bool,
) (machinePool, *protocol.MachineType) {
	search := poolSearch{cost: math.Inf(1), deferredCost: math.Inf(1), lowestCost: math.Inf(1)}
	for _, t := range p.catalog.all() {
		tasksPerMachine := typeResources(t).TasksThatFit(j.demand)
		if tasksPerMachine == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				pool := machinePool{t.Name, zone, spot}
				if !j.mayUsePool(pool) {
					continue
				}
				cost := priceOf(t, spot) / float64(tasksPerMachine) * p.zoneSpreadFactor(zone)
				search.consider(pool, t, cost, p.availability(pool, zoneAllowed))
			}
		}
	}
	if search.machineType == nil || search.cost > limits.SimilarPriceRatio*search.deferredCost ||
		p.shouldWaitForCheaperPool(j, search.cost, search.lowestCost) {
		return machinePool{}, nil
	}
	return search.pool, search.machineType
}

// poolSearch is the search for the cheapest pool. Costs are those of a task.
type poolSearch struct {
	pool         machinePool           // the cheapest that is available
	machineType  *protocol.MachineType // of that pool; nil if there is none
	cost         float64               // of that pool
	deferredCost float64               // of the cheapest busy pool
	lowestCost   float64               // of the cheapest pool, whether it is available or not
}

// consider adds a pool to the search.
func (s *poolSearch) consider(
	pool machinePool, t *protocol.MachineType, cost float64, availability poolAvailability,
) {
	s.lowestCost = min(s.lowestCost, cost)
	switch {
	case availability == poolDeferred:
		s.deferredCost = min(s.deferredCost, cost)
	case availability == poolAvailable && cost < s.cost:
		s.pool, s.machineType, s.cost = pool, t, cost
	}
}

// poolAvailability is whether a pool may be asked for machines in this plan.
type poolAvailability uint8

const (
	poolAvailable     poolAvailability = iota
	poolDeferred                       // asked for enough in this plan, or in a zone that is not allowed
	poolLacksCapacity                  // has refused machines lately
)

// availability returns whether a pool may be asked for machines for a job.
func (p *capacityPlan) availability(pool machinePool, zoneAllowed func(zone string) bool) poolAvailability {
	if p.rentals.isBackedOff(pool) {
		return poolLacksCapacity
	}
	if p.mayRent(pool) && zoneAllowed(pool.zone) {
		return poolAvailable
	}
	if p.rentals.lastAnswerIncomplete(pool) {
		return poolLacksCapacity
	}
	return poolDeferred
}

// zoneSpreadFactor makes machines spread over zones where all else is equal.
func (p *capacityPlan) zoneSpreadFactor(zone string) float64 {
	return 1 + limits.ZoneSpreadPenalty*float64(p.machinesInZone[zone])
}

// waitsForCheaperPool reports whether a job is not urgent enough for a pool that costs far more than
// another, which has nothing now.
func (p *capacityPlan) shouldWaitForCheaperPool(j *job, cost, cheapest float64) bool {
	fleet := &p.cfg.Options.Fleet
	if cost <= fleet.ExpensivePoolRatio*cheapest {
		return false
	}
	slack, late := p.queue.slack(j)
	return late || slack > time.Duration(fleet.ExpensivePoolSlack)
}

// countCheapPools is how many pools cost about as little as the cheapest.
func (p *capacityPlanner) countCheapPools() int {
	var costs []float64
	cheapest := math.Inf(1)
	for _, t := range p.catalog.all() {
		for range t.Zones {
			for _, spot := range []bool{true, false} {
				cost := p.pricePerCPU(machinePool{typeName: t.Name, spot: spot})
				costs = append(costs, cost)
				cheapest = min(cheapest, cost)
			}
		}
	}
	count := 0
	for _, cost := range costs {
		if cost <= limits.SimilarPriceRatio*cheapest {
			count++
		}
	}
	return count
}

// pricePerCPU is what a CPU of a pool costs an hour.
func (p *capacityPlanner) pricePerCPU(pool machinePool) float64 {
	t := p.catalog.find(pool.typeName)
	return priceOf(t, pool.spot) / max(t.CPUs, 1)
}
