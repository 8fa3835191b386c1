package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/limits"
)

// capacityPlanner decides which machines are rented and returned.
type capacityPlanner struct {
	*environment
	nextPlanAt      time.Duration
	nextLimitNoteAt time.Duration  // when to say again that the fleet is at its limit
	machinesInZone  map[string]int // at the last plan
}

// newCapacityPlanner returns a planner that has made no plan yet.
func newCapacityPlanner(env *environment) *capacityPlanner {
	return &capacityPlanner{environment: env, machinesInZone: map[string]int{}}
}

// planCapacity compares the backlog with what the fleet can work off in time, rents what is missing
// and returns what is idle.
func (s *Scheduler) planCapacity() {
	var offers []*capacity
	total := 0
	clear(s.planner.machinesInZone)
	for _, m := range s.inventory.all() {
		total++
		m.neededByPlan, m.neededByGang = false, false
		if !m.deleting {
			s.planner.machinesInZone[m.zone]++
		}
		if m.machineType == nil || m.deleting || m.spotNotice || m.isFaulty() {
			continue
		}
		o := &capacity{machine: m, pool: machinePool{m.typeName, m.zone, m.spot}, machineType: m.machineType}
		if !m.hasReported {
			age := (s.now - m.createdAt).Seconds()
			if o.readyInS = m.machineType.BootS*limits.BootEstimateFactor - age; o.readyInS < 0 {
				if age > limits.BootPlanFactor*m.machineType.BootS {
					continue // it may never come up; plan without it
				}
				o.readyInS = 2
			}
		} else if s.now > m.lastHeartbeatAt+2*s.staleAfter() || (!m.verified && s.now > m.unverifiedSince+2*s.staleAfter()) {
			continue
		}
		for _, b := range m.assignments {
			left := b.job.occupancy()
			if b.state == stateRunning {
				left = b.job.estimate()
				left = max(left-(s.now-b.runningSince).Seconds(), limits.MinRemainingShare*left)
			}
			o.usedCPUs += b.job.demand.CPUs
			o.busyCPUSeconds += left * b.job.demand.CPUs
		}
		offers = append(offers, o)
	}
	calls := max(1, int(s.cfg.CloudRPS*limits.PlanInterval.Seconds())) // rental requests that the cloud takes until the next plan
	asked := map[machinePool]int{}
	for _, h := range s.rentals.all() {
		if h.isPending() {
			total += h.record.Count
			calls--
			asked[machinePool{h.record.MachineType, h.record.Zone, h.record.Spot}]++
		}
	}
	// may is how many machines a pool may be asked for now. What is left of a pool is not known,
	// and each refusal costs a call of the cloud's rate: pools of like price share the calls, and
	// one that refused lately is tried with one.
	each := max(limits.MinPoolRequests, calls/max(s.countCheapPools(), 1))
	may := func(p machinePool) int {
		most := each
		if s.rentals.refusedLately(p) {
			most = 1
		}
		return max(most-asked[p], 0) * s.rentals.maxPerRental()
	}
	offers = append(offers, s.pendingCapacity()...)
	fresh := map[machinePool]float64{}
	for _, j := range s.queue.order() {
		if s.now < j.retryAt {
			continue
		}
		if j.gang != nil {
			s.planGang(j, fresh, may, &offers)
			continue
		}
		s.planJob(j, fresh, may, &offers)
	}
	s.reserveForGangs(fresh, may)
	if s.gangReservations.hasDemand() {
		s.placement.requestPass() // who waits may use what is kept after a while, or what is kept no more
	}
	pools := make([]machinePool, 0, len(fresh))
	for p := range fresh {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b machinePool) int { // the cheapest first, as the calls may not do for all
		return cmp.Or(cmp.Compare(s.pricePerCPU(a), s.pricePerCPU(b)), strings.Compare(a.typeName, b.typeName), strings.Compare(a.zone, b.zone))
	})
	for _, p := range pools {
		n := int(math.Floor(fresh[p] + 1 - limits.MinRentalFraction))
		if n == 0 && total == 0 {
			n = 1
		}
		if n > s.maxMachines()-total && s.now >= s.planner.nextLimitNoteAt {
			s.planner.nextLimitNoteAt = s.now + limits.SummaryInterval
			s.logWarn("fleet at its bound", "machines", total, "wanted", n)
		}
		for n = min(n, s.maxMachines()-total); n > 0 && calls > 0; n -= s.rentals.maxPerRental() {
			total += min(n, s.rentals.maxPerRental())
			calls--
			s.rentals.rent(p, n)
		}
	}
	s.updateDraining()
	for _, m := range s.inventory.all() {
		if !s.recovery.hasEnded() || m.deleting || !m.hasReported || m.neededByPlan || len(m.assignments) > 0 || m.rental == "" {
			continue
		}
		if !s.resultsDurable(m) {
			s.expediteResults(m)
			continue
		}
		if s.isStale(m) {
			continue // silent, not idle: when a cut leader hears its machines again, they are still good
		}
		idle := time.Duration(s.cfg.Options.Fleet.IdleTimeout)
		if m.draining {
			idle = limits.DrainedIdleTimeout
		}
		if s.now > m.idleSince+idle && s.now > m.createdAt+limits.MinChargedTime {
			s.returnMachine(m, "idle")
		}
	}
}

// maxMachines is how many machines may be rented at once.
func (s *Scheduler) maxMachines() int {
	if n := s.cfg.Options.Fleet.MaxMachines; n > 0 {
		return n
	}
	return math.MaxInt32
}
