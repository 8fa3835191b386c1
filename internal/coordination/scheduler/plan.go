package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
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

// capacity is room in time that the plan may use: of a machine that is up, is booting, or would be
// rented.
type capacity struct {
	machine        *machine
	pool           machinePool
	machineType    *protocol.MachineType
	readyInS       float64 // seconds until it can start a task
	usedCPUs       float64 // CPUs in use or promised, also by tasks that start one after the other
	busyCPUSeconds float64 // CPU seconds that these still take
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
	for _, h := range s.rentals.byName {
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
		if st := s.rentals.pools[p]; st != nil && st.backoff > 0 {
			most = 1
		}
		return max(most-asked[p], 0) * s.rentals.maxMachines
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
	s.placement.needed = s.placement.needed || len(s.gangs.demand) > 0 // who waits may use what is kept after a while, or what is kept no more
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
		for n = min(n, s.maxMachines()-total); n > 0 && calls > 0; n -= s.rentals.maxMachines {
			total += min(n, s.rentals.maxMachines)
			calls--
			s.rentMachines(p, n)
		}
	}
	s.updateDraining()
	for _, m := range s.inventory.all() {
		if !s.recovery.ended || m.deleting || !m.hasReported || m.neededByPlan || len(m.assignments) > 0 || m.rental == "" {
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

// maxMachines is how many machines may be rented at once.
func (s *Scheduler) maxMachines() int {
	if n := s.cfg.Options.Fleet.MaxMachines; n > 0 {
		return n
	}
	return math.MaxInt32
}

// updateDraining picks machines that are not needed to empty and be returned, the dearest and
// emptiest first: spread thin, the work would keep all of them. It is decided anew with every plan,
// so a burst brings them back at once.
func (s *Scheduler) updateDraining() {
	var total, used, waiting float64
	var ms []*machine
	for _, m := range s.inventory.all() {
		m.draining = false
		if !s.isSchedulable(m) || m.neededByGang || m.reservedForGangs { // what a gang waits for can't be made up for by room elsewhere
			continue
		}
		total += m.size().CPUs
		used += m.allocated.CPUs
		ms = append(ms, m)
	}
	for _, j := range s.jobs.oldestFirst() {
		if !j.cancelled {
			waiting += float64(j.waitingTasks()) * j.demand.CPUs
		}
	}
	surplus := total - (used+waiting)*(1+s.cfg.Options.Fleet.Headroom)
	sort.SliceStable(ms, func(a, b int) bool {
		x, y := ms[a], ms[b]
		if px, py := x.pricePerCPU(), y.pricePerCPU(); px != py {
			return px > py
		}
		return x.allocated.CPUs/max(x.size().CPUs, 1) < y.allocated.CPUs/max(y.size().CPUs, 1)
	})
	for _, m := range ms {
		if free := m.freeResources().CPUs; free > 0 && m.size().CPUs <= surplus && s.now > m.createdAt+limits.DrainAge {
			m.draining = true
			surplus -= m.size().CPUs
		}
	}
}

// pendingCapacity are the machines of rentals that are under way.
func (s *Scheduler) pendingCapacity() []*capacity {
	var out []*capacity
	for _, h := range s.sortedRentals() {
		t := s.catalog.find(h.record.MachineType)
		if t == nil || !h.isPending() {
			continue
		}
		for range h.record.Count {
			out = append(out, &capacity{pool: machinePool{h.record.MachineType, h.record.Zone, h.record.Spot}, machineType: t, readyInS: t.BootS * limits.BootEstimateFactor})
		}
	}
	return out
}

// maxPlannedWait is how long a job's tasks are planned to wait for room: a share of what it can wait.
func (s *Scheduler) maxPlannedWait(j *job) float64 {
	wait := time.Duration(s.cfg.Options.Fleet.MaxPlannedWait).Seconds()
	if slack, late := s.queue.slack(j); !late && slack != never {
		wait = min(wait, max(slack.Seconds(), 0)*s.cfg.Options.Fleet.PlannedWaitSlackRatio)
	}
	return wait
}

// quickestBoot is how long the quickest machine that the job may use takes until it is up.
func (s *Scheduler) quickestBoot(j *job) float64 {
	least := math.Inf(1)
	for _, t := range s.catalog.all() {
		if typeResources(t).Fits(j.demand) && typeAllowed(&j.spec, t.Name) {
			least = min(least, t.BootS*limits.BootEstimateFactor)
		}
	}
	return least
}

func (s *Scheduler) capacityAllowed(j *job, o *capacity) bool {
	if o.machine != nil && (j.avoids(o.machine) || (o.machine.reservedForGangs && !j.mayUseGangReservation)) {
		return false
	}
	return typeResources(o.machineType).Fits(j.demand) && s.placementAllowed(j, o.pool.typeName, o.pool.zone, o.pool.spot)
}

// planJob promises a job's waiting tasks to offers that can start them in time, and adds machines
// to rent for what is left. It returns how many tasks found neither.
func (s *Scheduler) planJob(j *job, fresh map[machinePool]float64, may func(machinePool) int, all *[]*capacity) (left int) {
	est, n := j.occupancy(), j.waitingTasks()
	// What the team's limit keeps out needs no machine now.
	if j.demand.CPUs > 0 {
		n = min(n, int((j.team.cfg.CPUsMax-j.team.allocated.CPUs)/j.demand.CPUs+limits.Epsilon))
	}
	if n <= 0 || n < j.gangTasksToPlace() {
		return 0
	}
	zones := j.newZonePlan()
	open := func(p machinePool) bool { return fresh[p] < float64(may(p)) && zones.remaining(p.zone) > 0 }
	// What starts before a new machine can be up needs none. What has waited as long already can't
	// wait as long again, or a queue that is always as long would never be worked off.
	within := max(max(s.maxPlannedWait(j), s.quickestBoot(j))-(s.now-j.submittedAt).Seconds(), 0)
	if j.gang != nil && j.spec.SameZone && !s.chooseGangZone(j, zones, n, within, open, *all) {
		return n
	}
	var p machinePool
	var t *protocol.MachineType
	carry := 0.0
	for _, o := range *all {
		if n == 0 {
			return 0
		}
		if !s.capacityAllowed(j, o) || zones.remaining(o.pool.zone) == 0 {
			continue
		}
		got := zones.addTasks(o.pool.zone, o.takeTasks(j, min(n, zones.remaining(o.pool.zone)), est, within, &carry))
		if got > 0 && j.gang != nil {
			if o.machine != nil {
				o.machine.neededByGang = true
			} else {
				roundUpMachines(fresh, o.pool)
			}
		}
		n -= got
	}
	for n > 0 {
		if t == nil || !open(p) {
			if p, t = s.cheapestPool(j, open); t == nil {
				return n
			}
		}
		o := &capacity{pool: p, machineType: t, readyInS: t.BootS * limits.BootEstimateFactor}
		got := zones.addTasks(p.zone, o.takeTasks(j, min(n, zones.remaining(p.zone)), est, 0, new(float64)))
		if got == 0 {
			return n
		}
		s.planner.machinesInZone[p.zone]++
		whole := typeResources(t).TasksThatFit(j.demand)
		fresh[p] += float64(got) / float64(whole)
		if j.gang != nil || s.now > max(j.submittedAt, j.lastAssignedAt)+limits.FractionalRentalDelay {
			roundUpMachines(fresh, p)
		}
		if got < whole {
			// The rest of this machine stays open for the jobs behind.
			*all = append(*all, o)
		}
		n -= got
		if fresh[p] > float64(s.maxMachines()) {
			return n
		}
	}
	return 0
}

// roundUpMachines rounds up how many machines of a pool are to be rented: a gang needs all of its
// machines, and who has waited for long for a part of one would else wait as long as other machines
// run.
func roundUpMachines(fresh map[machinePool]float64, p machinePool) {
	fresh[p] = math.Ceil(fresh[p] - limits.Epsilon)
}

// takeTasks promises up to n tasks to the offer and returns how many it takes: those that can start
// within a time, or as soon as it is ready. Of what is in use, a part will be free by then, as
// tasks end one after the other. The fraction of a task that is left over is carried to the next
// offer.
func (o *capacity) takeTasks(j *job, n int, est, within float64, carry *float64) int {
	per := typeResources(o.machineType).TasksThatFit(j.demand)
	if per == 0 {
		return 0
	}
	cpu := o.cpusPerTask(j, per)
	want := o.startableTasks(j, per, within) + *carry
	k := min(n, int(want+limits.Epsilon), per)
	*carry = min(want-float64(k), 1)
	if k <= 0 {
		return 0
	}
	o.usedCPUs += float64(k) * cpu
	o.busyCPUSeconds += float64(k) * cpu * est
	if o.machine != nil {
		o.machine.neededByPlan = true
	}
	return k
}

// gangTasksToPlace is how many tasks must be placed together: the missing ones of a gang, or none
// in particular.
func (j *job) gangTasksToPlace() int {
	if j.gang == nil {
		return 0
	}
	return j.waitingTasks()
}

// cpusPerTask is what a task is counted with where a machine holds so many of them.
func (o *capacity) cpusPerTask(j *job, per int) float64 {
	if j.demand.CPUs > 0 {
		return j.demand.CPUs
	}
	return typeResources(o.machineType).CPUs / float64(per)
}

// startableTasks is how many tasks of a job the offer can start within a time, of the number that
// it holds; a fraction where tasks in use will be over by then.
func (o *capacity) startableTasks(j *job, per int, within float64) float64 {
	free := typeResources(o.machineType).CPUs - o.usedCPUs
	if w := within - o.readyInS; w > 0 && o.busyCPUSeconds > 0 {
		free += o.usedCPUs * min(1, w*o.usedCPUs/(2*o.busyCPUSeconds))
	}
	return min(max(free/o.cpusPerTask(j, per), 0), float64(per))
}

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
				if !s.placementAllowed(j, k, y, spot) {
					continue
				}
				// Spread over zones where all else is equal.
				cost := priceOf(t, spot) / float64(per) * (1 + limits.ZoneSpreadPenalty*float64(s.planner.machinesInZone[y]))
				floor = min(floor, cost)
				st := s.rentals.pools[p]
				if st != nil && s.now < st.notBefore {
					continue
				}
				if !open(p) {
					if st == nil || st.backoff == 0 {
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
