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
) (pool machinePool, machineType *protocol.MachineType) {
	cheapest := math.Inf(1)     // of the pools that may be asked
	cheapestBusy := math.Inf(1) // of those that have been asked for enough
	cheapestOfAll := math.Inf(1)
	for _, t := range p.catalog.all() {
		tasksPerMachine := typeResources(t).TasksThatFit(j.demand)
		if tasksPerMachine == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				candidate := machinePool{t.Name, zone, spot}
				if !j.mayUsePool(candidate) {
					continue
				}
				cost := priceOf(t, spot) / float64(tasksPerMachine) * p.zoneSpreadFactor(zone)
				cheapestOfAll = min(cheapestOfAll, cost)
				switch p.availability(candidate, zoneAllowed) {
				case poolBusy:
					cheapestBusy = min(cheapestBusy, cost)
				case poolAvailable:
					if cost < cheapest {
						cheapest, pool, machineType = cost, candidate, t
					}
				}
			}
		}
	}
	if machineType == nil || cheapest > limits.SimilarPriceRatio*cheapestBusy {
		return pool, nil
	}
	if p.waitsForCheaperPool(j, cheapest, cheapestOfAll) {
		return pool, nil
	}
	return pool, machineType
}

// poolAvailability is whether a pool may be asked for machines in this plan.
type poolAvailability uint8

const (
	poolAvailable poolAvailability = iota
	poolBusy                       // it has been asked for enough, or has no zone for the job's tasks
	poolRefused                    // it has refused lately
)

// availability returns whether a pool may be asked for machines for a job.
func (p *capacityPlan) availability(pool machinePool, zoneAllowed func(zone string) bool) poolAvailability {
	if p.rentals.isBackedOff(pool) {
		return poolRefused
	}
	if p.mayRent(pool) && zoneAllowed(pool.zone) {
		return poolAvailable
	}
	if p.rentals.refusedLately(pool) {
		return poolRefused
	}
	return poolBusy
}

// zoneSpreadFactor makes machines spread over zones where all else is equal.
func (p *capacityPlan) zoneSpreadFactor(zone string) float64 {
	return 1 + limits.ZoneSpreadPenalty*float64(p.machinesInZone[zone])
}

// waitsForCheaperPool reports whether a job is not urgent enough for a pool that costs far more than
// another, which has nothing now.
func (p *capacityPlan) waitsForCheaperPool(j *job, cost, cheapest float64) bool {
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
