package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// cheapestPool returns the available pool with the lowest cost per task of a job, and its machine type. The
// type is nil if no machine should be rented for the job now. If a cheaper pool is deferred in this plan, a
// more expensive one replaces it only at a similar price; otherwise the job waits for the next plan.
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
				search.addPool(pool, t, cost, p.availability(pool, zoneAllowed))
			}
		}
	}
	if search.machineType == nil || search.cost > limits.SimilarPriceRatio*search.deferredCost ||
		p.shouldWaitForCheaperPool(j, search.cost, search.lowestCost) {
		return machinePool{}, nil
	}
	return search.pool, search.machineType
}

// poolSearch is the state of the search for the cheapest pool. Costs are per task.
type poolSearch struct {
	pool         machinePool           // the cheapest available pool
	machineType  *protocol.MachineType // type of that pool; nil if no pool is available
	cost         float64               // cost in that pool
	deferredCost float64               // cost in the cheapest deferred pool
	lowestCost   float64               // cost in the cheapest pool, available or not
}

// addPool adds a pool to the search.
func (s *poolSearch) addPool(
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

// poolAvailability is whether machines may be requested from a pool in this plan, and if not, why.
type poolAvailability uint8

const (
	poolAvailable     poolAvailability = iota
	poolDeferred                       // the limit on its requests is reached, or its zone is not allowed
	poolLacksCapacity                  // the last reply was incomplete, and no further request is allowed yet
)

// availability returns whether machines may be requested from a pool for a job whose tasks may run in the
// zones that zoneAllowed accepts.
func (p *capacityPlan) availability(pool machinePool, zoneAllowed func(zone string) bool) poolAvailability {
	if p.rentals.isBackedOff(pool) {
		return poolLacksCapacity
	}
	if p.mayRent(pool) && zoneAllowed(pool.zone) {
		return poolAvailable
	}
	if p.rentals.wasLastReplyIncomplete(pool) {
		return poolLacksCapacity
	}
	return poolDeferred
}

// zoneSpreadFactor returns a factor for the cost of pools in a zone. It grows slightly with the number of
// machines there, so that machines are spread over zones of equal price.
func (p *capacityPlan) zoneSpreadFactor(zone string) float64 {
	return 1 + limits.ZoneSpreadPenalty*float64(p.machinesInZone[zone])
}

// shouldWaitForCheaperPool reports whether a job should wait until a cheaper pool is available, because the
// available one costs far more than the cheapest. Jobs with little slack do not wait, unless they can no
// longer meet any of their deadlines.
func (p *capacityPlan) shouldWaitForCheaperPool(j *job, cost, cheapest float64) bool {
	fleet := &p.cfg.Options.Fleet
	if cost <= fleet.ExpensivePoolRatio*cheapest {
		return false
	}
	slack, late := p.queue.slack(j)
	return late || slack > time.Duration(fleet.ExpensivePoolSlack)
}

// countCheapPools returns the number of pools whose price is similar to that of the cheapest pool, including
// the cheapest.
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

// pricePerCPU returns the price of a pool per CPU and hour.
func (p *capacityPlanner) pricePerCPU(pool machinePool) float64 {
	t := p.catalog.find(pool.typeName)
	return priceOf(t, pool.spot) / max(t.CPUs, 1)
}
