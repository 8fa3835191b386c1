package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

func (h *hire) request() protocol.HireRequest {
	return protocol.HireRequest{Hire: h.name, Rigkind: h.rec.Rigkind, Yard: h.rec.Yard, Lendable: h.rec.Lendable, Number: h.rec.Number}
}

func (s *Scheduler) hireLoaded(e HireLoaded) {
	h := &hire{name: e.Name, rec: e.Rec, stamp: e.Stamp, at: s.now, state: hireAsking, known: e.Rec.Answered}
	s.hires[e.Name] = h
	if e.Rec.Answered {
		h.state = hireAnswered
	} else {
		s.emit(HireOut{Req: h.request()}) // repeated: the same answer, or the machines for the first time
	}
	for _, name := range e.Rec.Rigs {
		s.machine(name, e.Rec.Rigkind, e.Rec.Yard, e.Rec.Lendable).hire = h.name
	}
}

// hireMachines starts a rental: its name is durable before the request leaves, so that a successor can ask for the answer.
func (s *Scheduler) hireMachines(p pool, n int) {
	s.hireSeq++
	h := &hire{name: fmt.Sprintf("h-%d-%d", s.cfg.Term, s.hireSeq), state: hireWriting, at: s.now,
		rec: storage.Hire{Rigkind: p.kind, Yard: p.yard, Lendable: p.spot, Number: min(n, limits.HireMax)}}
	s.hires[h.name] = h
	s.note(false, "renting", "request", h.name, "type", p.kind, "zone", p.yard, "spot", p.spot, "count", h.rec.Number)
	s.writeHire(h)
}

// writeHire writes a rental's record; one write of a record is under way at a time.
func (s *Scheduler) writeHire(h *hire) {
	if h.writing {
		h.dirty = true
		return
	}
	h.writing, h.dirty = true, false
	key := storage.HireKey(h.name)
	s.write(pendingWrite{kind: writeHire, hire: h.name, known: h.rec.Answered}, []protocol.Guard{{Path: key, Stamp: h.stamp}},
		[]protocol.Op{{Write: key, Data: protocol.Encode(h.rec)}})
}

func (s *Scheduler) hireWritten(p pendingWrite, ok bool, rev uint64) {
	h := s.hires[p.hire]
	if h == nil {
		return
	}
	h.writing = false
	if !ok {
		// Only we write rentals, so this cannot be; without a record the machines get no tasks.
		s.note(true, "rental record refused", "request", h.name)
		return
	}
	h.stamp = rev
	if p.known && !h.known {
		h.known = true
		for _, name := range h.rec.Rigs {
			if m := s.machines[name]; m != nil && m.seen {
				s.markUp(m) // it was up before its rental's record was written
			}
		}
	}
	if h.state == hireWriting {
		h.state = hireAsking
		s.emit(HireOut{Req: h.request()})
	}
	s.keepHire(h)
}

// keepHire brings a rental's record in line with what is known: it goes once all its machines are gone.
func (s *Scheduler) keepHire(h *hire) {
	switch {
	case h.writing || h.stamp == 0:
	case h.state == hireAnswered && len(h.rec.Rigs) == 0:
		s.removeHire(h)
	case h.dirty && h.state != hireRemoving:
		s.writeHire(h)
	}
}

func (s *Scheduler) removeHire(h *hire) {
	h.state = hireRemoving
	key := storage.HireKey(h.name)
	s.write(pendingWrite{kind: writeHireRemove, hire: h.name}, []protocol.Guard{{Path: key, Stamp: h.stamp}},
		[]protocol.Op{{Remove: key}})
}

// cover makes a record for a machine that no rental of ours accounts for.
func (s *Scheduler) cover(m *machine) {
	h := &hire{name: "found-" + m.name, state: hireAnswered, at: s.now,
		rec: storage.Hire{Rigkind: m.kind, Yard: m.yard, Lendable: m.spot, Answered: true, Rigs: []string{m.name}}}
	if s.hires[h.name] != nil {
		return // its last record is just being removed; the next report tries again
	}
	s.note(true, "unexpected machine", "machine", m.name, "type", m.kind, "zone", m.yard, "spot", m.spot)
	m.hire = h.name
	s.hires[h.name] = h
	s.writeHire(h)
}

func (s *Scheduler) hireDone(e HireDone) {
	h := s.hires[e.Name]
	if h == nil || h.state != hireAsking {
		return
	}
	p := pool{h.rec.Rigkind, h.rec.Yard, h.rec.Lendable}
	switch {
	case e.NoCapacity:
		s.refuse(p)
		s.planAt = 0
		s.note(false, "no capacity", "request", h.name, "type", p.kind, "zone", p.yard, "spot", p.spot)
		s.removeHire(h)
		return
	case !e.OK:
		s.emit(HireOut{Req: h.request()})
		return
	}
	if len(e.Rigs) < h.rec.Number {
		s.refuse(p)
		s.planAt = 0 // the rest is asked for elsewhere at once
	} else if st := s.pools[p]; st != nil {
		st.backoff = 0
	}
	s.note(false, "rented", "request", h.name, "machines", len(e.Rigs))
	h.state, h.dirty = hireAnswered, true
	h.rec.Answered = true
	for _, name := range e.Rigs {
		if s.gone[name] || slices.Contains(h.rec.Rigs, name) {
			continue
		}
		known := s.machines[name]
		m := s.machine(name, p.kind, p.yard, p.spot)
		if known == nil {
			m.created = h.at
		}
		if m.hire == "" {
			m.hire = h.name
			h.rec.Rigs = append(h.rec.Rigs, name)
		}
	}
	s.dirty = true
	s.keepHire(h)
}

// refuse makes a pool wait before it is asked again.
func (s *Scheduler) refuse(p pool) {
	st := s.pool(p)
	st.backoff = min(max(2*st.backoff, limits.CapacityBackoffMin), limits.CapacityBackoffMax)
	st.until = s.now + st.backoff
}

func (s *Scheduler) pool(p pool) *poolState {
	st := s.pools[p]
	if st == nil {
		st = &poolState{}
		s.pools[p] = st
	}
	return st
}

func (s *Scheduler) typesDone(e TypesDone) {
	if !e.OK {
		s.typesAt = s.now + limits.AskAgain
		return
	}
	s.typesAt = s.now + limits.TypesEvery
	clear(s.types)
	s.kinds = s.kinds[:0]
	for i := range e.Types {
		t := e.Types[i]
		s.types[t.Sku] = &t
		s.kinds = append(s.kinds, t.Sku)
	}
	sort.Strings(s.kinds)
	for _, m := range s.fleet {
		m.typ = s.types[m.kind]
	}
	s.dirty = true
}

func (s *Scheduler) listDone(e ListDone) {
	s.listing = false
	if !e.OK {
		s.listAt = s.now + limits.AskAgain
		return
	}
	s.listAt = s.now + limits.ListEvery
	in := make(map[string]bool, len(e.Rigs))
	for i := range e.Rigs {
		r := &e.Rigs[i]
		in[r.NameId] = true
		if s.gone[r.NameId] {
			continue
		}
		m := s.machines[r.NameId]
		if m == nil {
			if r.AgeS < (3 * s.cfg.ListLag).Seconds() {
				continue // perhaps the answer to a rental of ours is on its way
			}
			if s.now >= s.took+limits.WaitOut(s.lease) && r.Standing != protocol.RigRunning {
				continue
			}
			m = s.machine(r.NameId, r.Rigkind, r.Yard, r.Lendable)
			m.created = s.now - limits.Seconds(r.AgeS)
			s.cover(m)
		}
		if !m.listed {
			m.created = min(m.created, s.now-limits.Seconds(r.AgeS))
		}
		m.listed = true
		if m.addr == "" {
			m.addr = r.Address
		}
		if r.Standing == protocol.RigFailed {
			s.remove(m, "failed")
		}
	}
	for _, m := range s.fleet {
		if !s.settled && !m.seen && m.mark != unmarked && !in[m.name] {
			// It reported to an earlier leader, so it was listed once or is very new. Its deletion is the quickest
			// evidence that nothing runs there.
			s.remove(m, "not listed after the take-over")
			continue
		}
		if in[m.name] || !m.listed {
			m.missing = 0
			continue
		}
		// It was listed and is no more: gone, unless this list is an old one. Deleting it makes sure.
		if m.missing++; m.missing >= limits.MissingLists && s.now > m.heard+s.stale() {
			s.remove(m, "no longer listed")
		}
	}
}

// remove returns a machine to the cloud. Once asked, there is no way back, as the request may be carried out at any time.
func (s *Scheduler) remove(m *machine, why string) {
	if m.deleting {
		return
	}
	m.deleting, m.deleteWhy, m.askedAt = true, why, -never/2
	s.note(false, "returning", "machine", m.name, "reason", why, "tasks", len(m.binds))
	s.withdraw(m)
}

func (s *Scheduler) deleteDone(e DeleteDone) {
	for _, name := range e.Rigs {
		m := s.machines[name]
		if m == nil {
			continue
		}
		if !e.OK {
			m.askedAt = s.now
			continue
		}
		// The machine and everything on it are gone.
		s.gone[name] = true
		for _, b := range m.sortedBinds() {
			s.unbind(b)
		}
		s.dropMachine(m)
	}
	s.dirty = true
	for _, h := range s.sortedHires() {
		s.keepHire(h)
	}
}

func (s *Scheduler) sortedHires() []*hire {
	out := make([]*hire, 0, len(s.hires))
	for _, h := range s.hires {
		out = append(out, h)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].name < out[b].name })
	return out
}

// manageFleet keeps the fleet in step with the work.
func (s *Scheduler) manageFleet() {
	if s.now >= s.typesAt {
		s.typesAt = s.now + limits.CloudTimeout
		s.emit(TypesOut{})
	}
	if s.now >= s.listAt && !s.listing {
		s.listing = true
		s.emit(ListOut{})
	}
	if s.now >= s.sumAt {
		s.sumAt = s.now + limits.SummaryEvery
		s.summary()
	}
	s.writeMarks()
	s.probe()
	s.dropBroken()
	if s.now >= s.planAt && (s.settled || s.now > s.took+s.stale()) && len(s.types) > 0 {
		s.planAt = s.now + limits.PlanEvery
		s.plan()
	}
	var names []string
	for _, m := range s.fleet {
		if m.deleting && s.now >= m.askedAt+limits.AskAgain && len(names) < limits.DeleteMax {
			m.askedAt = never / 2
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		s.emit(DeleteOut{Rigs: names})
	}
}

// MsgSummary marks the line that shows how the term stands.
const MsgSummary = "summary"

// summary writes that line.
func (s *Scheduler) summary() {
	up, booting, doubted, total, used, waiting, bound := 0, 0, 0, 0.0, 0.0, 0, 0
	for _, m := range s.fleet {
		if !m.seen {
			booting++
			continue
		}
		up++
		if !m.proven {
			doubted++
		}
		total += m.size().cpu
		used += m.used.cpu
	}
	for _, j := range s.queue {
		if !j.cancelled {
			waiting += j.free()
		}
		bound += len(j.bound)
	}
	s.note(false, MsgSummary, "up", up, "booting", booting, "doubted", doubted, "cpus", total, "used", used, "jobs", len(s.queue), "waiting", waiting, "bound", bound, "settled", s.settled)
}

// crowded tells whether so many of all machines at once must have a common cause.
func crowded(n, all int) bool {
	return n > limits.CrowdLeast && float64(n) > limits.SilentCrowd*float64(all)
}

// dropBroken returns machines that do not serve: never up, silent, sick.
func (s *Scheduler) dropBroken() {
	silent, up, unheard := 0, 0, 0
	limit := time.Duration(float64(s.lease) * limits.SilentShare)
	since := func(m *machine) time.Duration { // when it last showed that it hears us
		if !m.proven {
			return max(min(m.heard, m.doubt), s.took)
		}
		return max(m.heard, s.took)
	}
	quiet := func(m *machine) bool { return m.seen && s.now > since(m)+limit }
	for _, m := range s.fleet {
		switch {
		case m.deleting:
		case m.seen:
			up++
			if s.now > since(m)+s.stale() {
				silent++
			}
		case m.mark != unmarked:
			unheard++
		}
	}
	lost := crowded(unheard, unheard+up)
	few := float64(unheard) <= max(limits.CrowdLeast, limits.FewUnheard*float64(unheard+up))
	// Many machines falling silent together is a cut, not a series of deaths: they may come back, sooner than others would boot. Counted are
	// those that have only just begun to be silent, as otherwise the first of a crowd would go one by one.
	crowd := crowded(silent, up)
	for _, m := range s.fleet {
		if m.deleting {
			continue
		}
		if m.notice {
			s.hurry(m)
		}
		switch {
		case !m.seen && m.mark != unmarked:
			// It had reported to an earlier leader, and neither reports to us nor answers.
			patience := max(limits.RebuildPatience, time.Duration(limits.RebuildReports*float64(s.report)))
			if lost {
				patience = max(patience, limit) // so many at once may be a cut that ends soon
			}
			// While it may hold tasks nothing is placed anywhere. One of a few that does not answer either costs less than the wait.
			if s.now > s.took+patience || (few && m.misses >= limits.FewMisses && !s.settled) {
				s.remove(m, "not heard of since the take-over")
			}
		case !m.seen:
			patience := limits.BootPatienceMin
			if m.typ != nil {
				patience = max(patience, time.Duration(limits.BootPatience*float64(limits.Seconds(m.typ.StartupS))))
			}
			if s.now > max(m.created, s.took)+patience {
				s.remove(m, "never came up")
			}
		case quiet(m) && (!crowd || s.now > since(m)+limits.CrowdLeases*limits.WaitOut(s.lease)):
			s.remove(m, "silent")
		case m.sick():
			s.remove(m, "fails its tasks")
		case m.slow():
			s.remove(m, "slow")
		case m.notice && len(m.binds) == 0 && s.durable(m):
			s.remove(m, "spot notice")
		default:
			for _, b := range m.binds {
				if b.j.cancelled && s.now > b.j.cancelAt+time.Duration(limits.CancelShare*float64(limits.Seconds(s.cfg.Workers.CancelS))) {
					s.remove(m, "cancelled task does not stop")
					break
				}
			}
		}
	}
}

// probe asks machines that may hold tasks of earlier terms, rather than wait for their reports, and those that may not hear our answers.
func (s *Scheduler) probe() {
	for _, m := range s.fleet {
		if (!s.settled && !m.fenced && m.mark != unmarked) || (m.seen && !m.proven) {
			s.ask(m)
		}
	}
}

// hurry asks for the results that a machine lists to be written down next: it is to go.
func (s *Scheduler) hurry(m *machine) {
	for _, x := range m.exits {
		if !x.durable() {
			x.j.chunks[x.chunk].hurry = true
		}
	}
}

// durable tells whether all results that a machine lists are written down.
func (s *Scheduler) durable(m *machine) bool {
	for _, x := range m.exits {
		if !x.durable() {
			return false
		}
	}
	return true
}

// offer is room in time that the plan may use: of a machine that is up, is booting, or would be rented.
type offer struct {
	m     *machine
	p     pool
	typ   *protocol.Rigkind
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
		m.wanted = false
		if !m.deleting {
			s.inZone[m.yard]++
		}
		if m.typ == nil || m.deleting || m.notice || m.sick() {
			continue
		}
		o := &offer{m: m, p: pool{m.kind, m.yard, m.spot}, typ: m.typ}
		if !m.seen {
			age := (s.now - m.created).Seconds()
			if o.ready = m.typ.StartupS*limits.BootReckon - age; o.ready < 0 {
				if age > limits.BootHope*m.typ.StartupS {
					continue // it may never come up; plan without it
				}
				o.ready = 2
			}
		} else if s.now > m.heard+2*s.stale() || (!m.proven && s.now > m.doubt+2*s.stale()) {
			continue
		}
		for _, b := range m.binds {
			left := b.j.occupies()
			if b.phase == running {
				left = b.j.estimate()
				left = max(left-(s.now-b.runAt).Seconds(), limits.LeastLeft*left)
			}
			o.used += b.j.need.cpu
			o.load += left * b.j.need.cpu
		}
		offers = append(offers, o)
	}
	calls := max(1, int(s.cfg.CloudRPS*limits.PlanEvery.Seconds())) // rental requests that the cloud takes until the next plan
	asked := map[pool]int{}
	for _, h := range s.hires {
		if h.pending() {
			total += h.rec.Number
			calls--
			asked[pool{h.rec.Rigkind, h.rec.Yard, h.rec.Lendable}]++
		}
	}
	// may is how many machines a pool may be asked for now. What is left of a pool is not known, and each refusal costs a call of the cloud's rate: pools of like
	// price share the calls, and one that refused lately is tried with one.
	each := max(limits.PoolRequests, calls/max(s.cheapPools(), 1))
	may := func(p pool) int {
		most := each
		if st := s.pools[p]; st != nil && st.backoff > 0 {
			most = 1
		}
		return max(most-asked[p], 0) * limits.HireMax
	}
	offers = append(offers, s.pendingOffers()...)
	fresh := map[pool]float64{}
	for _, j := range s.claims() {
		if s.now < j.resume {
			continue
		}
		s.planJob(j, fresh, may, &offers)
	}
	pools := make([]pool, 0, len(fresh))
	for p := range fresh {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b pool) int { // the cheapest first, as the calls may not do for all
		return cmp.Or(cmp.Compare(s.perCPU(a), s.perCPU(b)), strings.Compare(a.kind, b.kind), strings.Compare(a.yard, b.yard))
	})
	for _, p := range pools {
		n := int(math.Floor(fresh[p] + 1 - limits.HireFraction))
		if n == 0 && total == 0 {
			n = 1
		}
		if n > s.fleetMax()-total && s.now >= s.boundAt {
			s.boundAt = s.now + limits.SummaryEvery
			s.note(true, "fleet at its bound", "machines", total, "wanted", n)
		}
		for n = min(n, s.fleetMax()-total); n > 0 && calls > 0; n -= limits.HireMax {
			total += min(n, limits.HireMax)
			calls--
			s.hireMachines(p, n)
		}
	}
	s.drain()
	for _, m := range s.fleet {
		if !s.settled || m.deleting || !m.seen || m.wanted || len(m.binds) > 0 || m.hire == "" {
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
	return (&machine{typ: t, spot: p.spot}).price() / max(t.Vcpus, 1)
}

// cheapPools is how many pools cost about as little as the cheapest.
func (s *Scheduler) cheapPools() int {
	low, n := math.Inf(1), 0
	each := func(f func(cost float64)) {
		for _, t := range s.types {
			for _, y := range t.Yards {
				f(s.perCPU(pool{t.Sku, y, true}))
				f(s.perCPU(pool{t.Sku, y, false}))
			}
		}
	}
	each(func(cost float64) { low = min(low, cost) })
	each(func(cost float64) {
		if cost <= limits.LikePrice*low {
			n++
		}
	})
	return n
}

// fleetMax is how many machines may be rented at once.
func (s *Scheduler) fleetMax() int {
	if n := s.cfg.Options.Fleet.MaxMachines; n > 0 {
		return n
	}
	return math.MaxInt32
}

// drain picks machines that are not needed to empty and be returned, the dearest and emptiest first: spread thin, the work would keep all of
// them. It is decided anew with every plan, so a burst brings them back at once.
func (s *Scheduler) drain() {
	var total, used, waiting float64
	var ms []*machine
	for _, m := range s.fleet {
		m.drain = false
		if !s.usable(m) {
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
	perCPU := func(m *machine) float64 { return m.price() / max(m.size().cpu, 1) }
	sort.SliceStable(ms, func(a, b int) bool {
		x, y := ms[a], ms[b]
		if px, py := perCPU(x), perCPU(y); px != py {
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
	for _, h := range s.sortedHires() {
		t := s.types[h.rec.Rigkind]
		if t == nil || !h.pending() {
			continue
		}
		for range h.rec.Number {
			out = append(out, &offer{p: pool{h.rec.Rigkind, h.rec.Yard, h.rec.Lendable}, typ: t, ready: t.StartupS * limits.BootReckon})
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
		if sizeOf(t).holds(j.need) && (len(j.spec.Rigkinds) == 0 || slices.Contains(j.spec.Rigkinds, t.Sku)) {
			least = min(least, t.StartupS*limits.BootReckon)
		}
	}
	return least
}

// planJob promises a job's waiting tasks to offers that can start them in time, and adds machines to rent for what is left.
func (s *Scheduler) planJob(j *job, fresh map[pool]float64, may func(pool) int, all *[]*offer) {
	est, n := j.occupies(), j.free()
	// What the team's limit keeps out needs no machine now.
	if j.need.cpu > 0 {
		n = min(n, int((j.team.cfg.CPUsMax-j.team.used.cpu)/j.need.cpu+limits.Epsilon))
	}
	if n <= 0 {
		return
	}
	open := func(p pool) bool { return fresh[p] < float64(may(p)) }
	// What starts before a new machine can be up needs none. What has waited as long already can't wait as long again, or a queue that is always as long
	// would never be worked off.
	within := max(max(s.patience(j), s.soonest(j))-(s.now-j.at).Seconds(), 0)
	var p pool
	var t *protocol.Rigkind
	carry := 0.0
	for _, o := range *all {
		if n == 0 {
			return
		}
		size := sizeOf(o.typ)
		if !size.holds(j.need) || !s.allows(j, o.p.kind, o.p.yard, o.p.spot) || (o.m != nil && j.avoids(o.m)) {
			continue
		}
		n -= o.take(j, n, est, within, &carry)
	}
	for n > 0 {
		if t == nil || !open(p) {
			if p, t = s.cheapestPool(j, open); t == nil {
				return
			}
		}
		o := &offer{p: p, typ: t, ready: t.StartupS * limits.BootReckon}
		got := o.take(j, n, est, 0, new(float64))
		if got == 0 {
			return
		}
		s.inZone[p.yard]++
		whole := slots(sizeOf(t), j.need)
		fresh[p] += float64(got) / float64(whole)
		if got < whole {
			// The rest of this machine stays open for the jobs behind.
			*all = append(*all, o)
		}
		n -= got
		if fresh[p] > float64(s.fleetMax()) {
			return
		}
	}
}

// take promises up to n tasks to the offer and returns how many it takes: those that can start within a time, or as soon as it is ready. Of what is in
// use, a part will be free by then, as tasks end one after the other. The fraction of a task that is left over is carried to the next offer.
func (o *offer) take(j *job, n int, est, within float64, carry *float64) int {
	size := sizeOf(o.typ)
	per := slots(size, j.need)
	if per == 0 {
		return 0
	}
	cpu := j.need.cpu
	if cpu <= 0 {
		cpu = size.cpu / float64(per)
	}
	room := size.cpu - o.used
	if w := within - o.ready; w > 0 && o.load > 0 {
		room += o.used * min(1, w*o.used/(2*o.load))
	}
	want := min(max(room/cpu, 0), float64(per)) + *carry
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

// cheapestPool is where a machine for the job costs least for each task it holds, among the pools that are not known to be empty. A pool that has only been
// asked for as much as may be now is left for a dearer one of like price, else it is asked again with the next plan.
func (s *Scheduler) cheapestPool(j *job, open func(pool) bool) (pool, *protocol.Rigkind) {
	var best pool
	var typ *protocol.Rigkind
	low, floor, busy := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, k := range s.kinds {
		t := s.types[k]
		size := sizeOf(t)
		per := slots(size, j.need)
		if per == 0 {
			continue
		}
		for _, y := range t.Yards {
			for _, spot := range []bool{true, false} {
				p := pool{k, y, spot}
				if !s.allows(j, k, y, spot) {
					continue
				}
				price := t.Price
				if spot {
					price = t.MarketPrice
				}
				// Spread over zones where all else is equal.
				cost := price / float64(per) * (1 + limits.ZoneSpread*float64(s.inZone[y]))
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
