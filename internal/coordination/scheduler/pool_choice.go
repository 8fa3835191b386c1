package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// cheapestPool is where a machine for the job costs least for each task it holds, among the pools
// that are not known to be empty. A pool that has only been asked for as much as may be now is left
// for a dearer one of like price, else it is asked again with the next plan.
func (s *Scheduler) cheapestPool(j *job, open func(machinePool) bool) (machinePool, *protocol.MachineType) {
	var best machinePool
	var typ *protocol.MachineType
	low, floor, busy := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, t := range s.catalog.all() {
		k := t.Name
		size := typeResources(t)
		per := size.TasksThatFit(j.demand)
		if per == 0 {
			continue
		}
		for _, y := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := machinePool{k, y, spot}
				if !j.mayUsePool(p) {
					continue
				}
				// Spread over zones where all else is equal.
				cost := priceOf(t, spot) / float64(per) * (1 + limits.ZoneSpreadPenalty*float64(s.planner.machinesInZone[y]))
				floor = min(floor, cost)
				if s.rentals.isBackedOff(p) {
					continue
				}
				if !open(p) {
					if !s.rentals.refusedLately(p) {
						busy = min(busy, cost)
					}
					continue
				}
				if cost < low {
					low, best, typ = cost, p, t
				}
			}
		}
	}
	if typ == nil || low > limits.SimilarPriceRatio*busy {
		return best, nil
	}
	if slack, late := s.queue.slack(j); low > s.cfg.Options.Fleet.ExpensivePoolRatio*floor && (late || slack > time.Duration(s.cfg.Options.Fleet.ExpensivePoolSlack)) {
		return best, nil // it can wait for cheaper ones
	}
	return best, typ
}

// pricePerCPU is what a CPU of a pool costs an hour.
func (s *Scheduler) pricePerCPU(p machinePool) float64 {
	t := s.catalog.find(p.typeName)
	return priceOf(t, p.spot) / max(t.CPUs, 1)
}

// countCheapPools is how many pools cost about as little as the cheapest.
func (s *Scheduler) countCheapPools() int {
	low, n := math.Inf(1), 0
	var costs []float64
	for _, t := range s.catalog.all() {
		for range t.Zones {
			costs = append(costs, s.pricePerCPU(machinePool{typeName: t.Name, spot: true}), s.pricePerCPU(machinePool{typeName: t.Name}))
		}
	}
	for _, c := range costs {
		low = min(low, c)
	}
	for _, c := range costs {
		if c <= limits.SimilarPriceRatio*low {
			n++
		}
	}
	return n
}
