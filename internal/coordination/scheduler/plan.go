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

// offer is room in time that the plan may use: of a machine that is up, is booting, or would be rented.
type offer struct {
	m     *machine
	p     pool
	typ   *protocol.MachineType
	ready float64 // seconds until it can start a task
	used  float64 // CPUs in use or promised, also by tasks that start one after the other
	load  float64 // CPU seconds that these still take
}

// plan compares the backlog with what the fleet can work off in time, rents what is missing and returns what is idle.
func (s *Scheduler) plan() {
	var offers []*offer
	total := 0
	clear(s.inZone)
	for _, m := range s.fleet {
		total++
		m.wanted, m.gangWanted = false, false
		if !m.deleting {
			s.inZone[m.zone]++
		}
		if m.machineType == nil || m.deleting || m.notice || m.sick() {
			continue
		}
		o := &offer{m: m, p: pool{m.kind, m.zone, m.spot}, typ: m.machineType}
		if !m.seen {
			age := (s.now - m.created).Seconds()
			if o.ready = m.machineType.BootS*limits.BootReckon - age; o.ready < 0 {
				if age > limits.BootHope*m.machineType.BootS {
					continue // it may never come up; plan without it
				}
				o.ready = 2
			}
		} else if s.now > m.heard+2*s.stale() || (!m.verified && s.now > m.unverifiedSince+2*s.stale()) {
			continue
		}
		for _, b := range m.bindings {
			left := b.job.occupies()
			if b.phase == running {
				left = b.job.estimate()
				left = max(left-(s.now-b.runAt).Seconds(), limits.LeastLeft*left)
			}
			o.used += b.job.need.cpu
			o.load += left * b.job.need.cpu
		}
		offers = append(offers, o)
	}
	calls := max(1, int(s.cfg.CloudRPS*limits.PlanEvery.Seconds())) // rental requests that the cloud takes until the next plan
	asked := map[pool]int{}
	for _, h := range s.rentals {
		if h.pending() {
			total += h.record.Count
			calls--
			asked[pool{h.record.MachineType, h.record.Zone, h.record.Spot}]++
		}
	}
	// may is how many machines a pool may be asked for now. What is left of a pool is not known, and each refusal costs a call of the
	// cloud's rate: pools of like
	// price share the calls, and one that refused lately is tried with one.
	each := max(limits.PoolRequests, calls/max(s.cheapPools(), 1))
	may := func(p pool) int {
		most := each
		if st := s.pools[p]; st != nil && st.backoff > 0 {
			most = 1
		}
		return max(most-asked[p], 0) * s.rentalMost
	}
	offers = append(offers, s.pendingOffers()...)
	fresh := map[pool]float64{}
	for _, j := range s.claims() {
		if s.now < j.resume {
			continue
		}
		if j.gang != nil {
			s.planGang(j, fresh, may, &offers)
			continue
		}
		s.planJob(j, fresh, may, &offers)
	}
	s.keepGangRoom(fresh, may)
	s.dirty = s.dirty || len(s.gangRoom) > 0 // who waits may use what is kept after a while, or what is kept no more
	pools := make([]pool, 0, len(fresh))
	for p := range fresh {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b pool) int { // the cheapest first, as the calls may not do for all
		return cmp.Or(cmp.Compare(s.perCPU(a), s.perCPU(b)), strings.Compare(a.kind, b.kind), strings.Compare(a.zone, b.zone))
	})
	for _, p := range pools {
		n := int(math.Floor(fresh[p] + 1 - limits.RentalFraction))
		if n == 0 && total == 0 {
			n = 1
		}
		if n > s.fleetMax()-total && s.now >= s.boundAt {
			s.boundAt = s.now + limits.SummaryEvery
			s.note(true, "fleet at its bound", "machines", total, "wanted", n)
		}
		for n = min(n, s.fleetMax()-total); n > 0 && calls > 0; n -= s.rentalMost {
			total += min(n, s.rentalMost)
			calls--
			s.rentMachines(p, n)
		}
	}
	s.drain()
	for _, m := range s.fleet {
		if !s.recovered || m.deleting || !m.seen || m.wanted || len(m.bindings) > 0 || m.rental == "" {
			continue
		}
		if !s.durable(m) {
			s.hurry(m)
			continue
		}
		if s.now > m.heard+s.stale() {
			continue // silent, not idle: when a cut leader hears its machines again, they are still good
		}
		idle := time.Duration(s.cfg.Options.Fleet.IdleReturn)
		if m.drain {
			idle = limits.DrainReturn
		}
		if s.now > m.idleSince+idle && s.now > m.created+limits.LeastCharge {
			s.remove(m, "idle")
		}
	}
}

// perCPU is what a CPU of a pool costs an hour.
func (s *Scheduler) perCPU(p pool) float64 {
	t := s.types[p.kind]
	return priceOf(t, p.spot) / max(t.CPUs, 1)
}

// cheapPools is how many pools cost about as little as the cheapest.
func (s *Scheduler) cheapPools() int {
	low, n := math.Inf(1), 0
	var costs []float64
	for _, t := range s.types {
		for range t.Zones {
			costs = append(costs, s.perCPU(pool{kind: t.Name, spot: true}), s.perCPU(pool{kind: t.Name}))
		}
	}
	for _, c := range costs {
		low = min(low, c)
	}
	for _, c := range costs {
		if c <= limits.LikePrice*low {
			n++
		}
	}
	return n
}

// fleetMax is how many machines may be rented at once.
func (s *Scheduler) fleetMax() int {
	if n := s.cfg.Options.Fleet.MaxMachines; n > 0 {
		return n
	}
	return math.MaxInt32
}

// drain picks machines that are not needed to empty and be returned, the dearest and emptiest first: spread thin, the work would keep
// all of
// them. It is decided anew with every plan, so a burst brings them back at once.
func (s *Scheduler) drain() {
	var total, used, waiting float64
	var ms []*machine
	for _, m := range s.fleet {
		m.drain = false
		if !s.usable(m) || m.gangWanted || m.gangRoom { // what a gang waits for can't be made up for by room elsewhere
			continue
		}
		total += m.size().cpu
		used += m.used.cpu
		ms = append(ms, m)
	}
	for _, j := range s.queue {
		if !j.cancelled {
			waiting += float64(j.free()) * j.need.cpu
		}
	}
	surplus := total - (used+waiting)*(1+s.cfg.Options.Fleet.Headroom)
	sort.SliceStable(ms, func(a, b int) bool {
		x, y := ms[a], ms[b]
		if px, py := x.perCPU(), y.perCPU(); px != py {
			return px > py
		}
		return x.used.cpu/max(x.size().cpu, 1) < y.used.cpu/max(y.size().cpu, 1)
	})
	for _, m := range ms {
		if free := m.freeRoom().cpu; free > 0 && m.size().cpu <= surplus && s.now > m.created+limits.DrainAge {
			m.drain = true
			surplus -= m.size().cpu
		}
	}
}

// pendingOffers are the machines of rentals that are under way.
func (s *Scheduler) pendingOffers() []*offer {
	var out []*offer
	for _, h := range s.sortedRentals() {
		t := s.types[h.record.MachineType]
		if t == nil || !h.pending() {
			continue
		}
		for range h.record.Count {
			out = append(out, &offer{p: pool{h.record.MachineType, h.record.Zone, h.record.Spot}, typ: t, ready: t.BootS * limits.BootReckon})
		}
	}
	return out
}

// patience is how long a job's tasks are planned to wait for room: a share of what it can wait.
func (s *Scheduler) patience(j *job) float64 {
	wait := time.Duration(s.cfg.Options.Fleet.LongestWait).Seconds()
	if slack, late := s.slack(j); !late && slack != never {
		wait = min(wait, max(slack.Seconds(), 0)*s.cfg.Options.Fleet.SlackShare)
	}
	return wait
}

// soonest is how long the quickest machine that the job may use takes until it is up.
func (s *Scheduler) soonest(j *job) float64 {
	least := math.Inf(1)
	for _, t := range s.types {
		if sizeOf(t).holds(j.need) && kindAllowed(&j.spec, t.Name) {
			least = min(least, t.BootS*limits.BootReckon)
		}
	}
	return least
}

func (s *Scheduler) offerAllowed(j *job, o *offer) bool {
	if o.m != nil && (j.avoids(o.m) || (o.m.gangRoom && !j.usesGangRoom)) {
		return false
	}
	return sizeOf(o.typ).holds(j.need) && s.allows(j, o.p.kind, o.p.zone, o.p.spot)
}

// planJob promises a job's waiting tasks to offers that can start them in time, and adds machines to rent for what is left. It returns
// how many tasks found neither.
func (s *Scheduler) planJob(j *job, fresh map[pool]float64, may func(pool) int, all *[]*offer) (left int) {
	est, n := j.occupies(), j.free()
	// What the team's limit keeps out needs no machine now.
	if j.need.cpu > 0 {
		n = min(n, int((j.team.cfg.CPUsMax-j.team.used.cpu)/j.need.cpu+limits.Epsilon))
	}
	if n <= 0 || n < j.gangTasks() {
		return 0
	}
	zones := j.planZones()
	open := func(p pool) bool { return fresh[p] < float64(may(p)) && zones.left(p.zone) > 0 }
	// What starts before a new machine can be up needs none. What has waited as long already can't wait as long again, or a queue that
	// is always as long would never be worked off.
	within := max(max(s.patience(j), s.soonest(j))-(s.now-j.at).Seconds(), 0)
	if j.gang != nil && j.spec.SameZone && !s.chooseZone(j, zones, n, within, open, *all) {
		return n
	}
	var p pool
	var t *protocol.MachineType
	carry := 0.0
	for _, o := range *all {
		if n == 0 {
			return 0
		}
		if !s.offerAllowed(j, o) || zones.left(o.p.zone) == 0 {
			continue
		}
		got := zones.count(o.p.zone, o.take(j, min(n, zones.left(o.p.zone)), est, within, &carry))
		if got > 0 && j.gang != nil {
			if o.m != nil {
				o.m.gangWanted = true
			} else {
				wholeMachines(fresh, o.p)
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
		o := &offer{p: p, typ: t, ready: t.BootS * limits.BootReckon}
		got := zones.count(p.zone, o.take(j, min(n, zones.left(p.zone)), est, 0, new(float64)))
		if got == 0 {
			return n
		}
		s.inZone[p.zone]++
		whole := slots(sizeOf(t), j.need)
		fresh[p] += float64(got) / float64(whole)
		if j.gang != nil || s.now > max(j.at, j.startedAt)+limits.FractionPatience {
			wholeMachines(fresh, p)
		}
		if got < whole {
			// The rest of this machine stays open for the jobs behind.
			*all = append(*all, o)
		}
		n -= got
		if fresh[p] > float64(s.fleetMax()) {
			return n
		}
	}
	return 0
}

// wholeMachines rounds up how many machines of a pool are to be rented: a gang needs all of its machines, and who has waited for
// long for a part of one would else wait as long as other machines run.
func wholeMachines(fresh map[pool]float64, p pool) {
	fresh[p] = math.Ceil(fresh[p] - limits.Epsilon)
}

// take promises up to n tasks to the offer and returns how many it takes: those that can start within a time, or as soon as it is ready.
// Of what is in
// use, a part will be free by then, as tasks end one after the other. The fraction of a task that is left over is carried to the next
// offer.
func (o *offer) take(j *job, n int, est, within float64, carry *float64) int {
	per := slots(sizeOf(o.typ), j.need)
	if per == 0 {
		return 0
	}
	cpu := o.cpuOf(j, per)
	want := o.startable(j, per, within) + *carry
	k := min(n, int(want+limits.Epsilon), per)
	*carry = min(want-float64(k), 1)
	if k <= 0 {
		return 0
	}
	o.used += float64(k) * cpu
	o.load += float64(k) * cpu * est
	if o.m != nil {
		o.m.wanted = true
	}
	return k
}

// gangTasks is how many tasks must be placed together: the missing ones of a gang, or none in particular.
func (j *job) gangTasks() int {
	if j.gang == nil {
		return 0
	}
	return j.free()
}

// cpuOf is what a task is counted with where a machine holds so many of them.
func (o *offer) cpuOf(j *job, per int) float64 {
	if j.need.cpu > 0 {
		return j.need.cpu
	}
	return sizeOf(o.typ).cpu / float64(per)
}

// startable is how many tasks of a job the offer can start within a time, of the number that it holds; a fraction where tasks in use
// will be over by then.
func (o *offer) startable(j *job, per int, within float64) float64 {
	free := sizeOf(o.typ).cpu - o.used
	if w := within - o.ready; w > 0 && o.load > 0 {
		free += o.used * min(1, w*o.used/(2*o.load))
	}
	return min(max(free/o.cpuOf(j, per), 0), float64(per))
}

// slots is how many tasks fit at once.
func slots(size, need room) int {
	n := math.Inf(1)
	if need.cpu > 0 {
		n = min(n, size.cpu/need.cpu)
	}
	if need.gpu > 0 {
		n = min(n, size.gpu/need.gpu)
	}
	if need.ram > 0 {
		n = min(n, size.ram/need.ram)
	}
	return int(min(n+limits.Epsilon, limits.MaxTasks))
}

// cheapestPool is where a machine for the job costs least for each task it holds, among the pools that are not known to be empty. A pool
// that has only been
// asked for as much as may be now is left for a dearer one of like price, else it is asked again with the next plan.
func (s *Scheduler) cheapestPool(j *job, open func(pool) bool) (pool, *protocol.MachineType) {
	var best pool
	var typ *protocol.MachineType
	low, floor, busy := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, k := range s.kinds {
		t := s.types[k]
		size := sizeOf(t)
		per := slots(size, j.need)
		if per == 0 {
			continue
		}
		for _, y := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{k, y, spot}
				if !s.allows(j, k, y, spot) {
					continue
				}
				// Spread over zones where all else is equal.
				cost := priceOf(t, spot) / float64(per) * (1 + limits.ZoneSpread*float64(s.inZone[y]))
				floor = min(floor, cost)
				st := s.pools[p]
				if st != nil && s.now < st.until {
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
	if typ == nil || low > limits.LikePrice*busy {
		return best, nil
	}
	if slack, late := s.slack(j); low > s.cfg.Options.Fleet.DearRatio*floor && (late || slack > time.Duration(s.cfg.Options.Fleet.DearSlack)) {
		return best, nil // it can wait for cheaper ones
	}
	return best, typ
}
