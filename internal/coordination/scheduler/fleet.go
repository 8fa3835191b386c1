package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

func (h *rental) request() protocol.RentalRequest {
	return protocol.RentalRequest{Name: h.name, MachineType: h.record.MachineType, Zone: h.record.Zone, Spot: h.record.Spot, Count: h.record.Count}
}

func (s *Scheduler) rentalLoaded(e RentalLoaded) {
	h := &rental{name: e.Name, record: e.Rec, version: e.Version, at: s.now, state: rentalRequested, known: e.Rec.Answered}
	s.rentals[e.Name] = h
	if e.Rec.Answered {
		h.state = rentalAnswered
	} else {
		s.emit(RentOut{Request: h.request()}) // repeated: the same answer, or the machines for the first time
	}
	for _, name := range e.Rec.Machines {
		s.machine(name, e.Rec.MachineType, e.Rec.Zone, e.Rec.Spot).rental = h.name
	}
}

// rentMachines starts a rental: its name is durable before the request leaves, so that a successor can ask for the answer.
func (s *Scheduler) rentMachines(p pool, n int) {
	s.rentalSequence++
	h := &rental{name: fmt.Sprintf("h-%d-%d", s.cfg.Term, s.rentalSequence), state: rentalWriting, at: s.now,
		record: storage.Rental{MachineType: p.kind, Zone: p.zone, Spot: p.spot, Count: min(n, s.rentalMost)}}
	s.rentals[h.name] = h
	s.note(false, "renting", "request", h.name, "type", p.kind, "zone", p.zone, "spot", p.spot, "count", h.record.Count)
	s.writeRental(h)
}

// writeRental writes a rental's record; one write of a record is under way at a time.
func (s *Scheduler) writeRental(h *rental) {
	if h.writing {
		h.dirty = true
		return
	}
	h.writing, h.dirty = true, false
	key := storage.RentalKey(h.name)
	s.write(pendingWrite{kind: writeRental, rental: h.name, known: h.record.Answered}, []protocol.Condition{{Key: key, Version: h.version}},
		[]protocol.Op{{Put: key, Value: protocol.Encode(h.record)}})
}

func (s *Scheduler) rentalWritten(p pendingWrite, ok bool, rev uint64) {
	h := s.rentals[p.rental]
	if h == nil {
		return
	}
	h.writing = false
	if !ok {
		// Only we write rentals, so this cannot be; without a record the machines get no tasks.
		s.note(true, "rental record refused", "request", h.name)
		return
	}
	h.version = rev
	if p.known && !h.known {
		h.known = true
		for _, name := range h.record.Machines {
			if m := s.machines[name]; m != nil && m.seen {
				s.register(m) // it was up before its rental's record was written
			}
		}
	}
	if h.state == rentalWriting {
		h.state = rentalRequested
		s.emit(RentOut{Request: h.request()})
	}
	s.keepRental(h)
}

// keepRental brings a rental's record in line with what is known: it goes once all its machines are gone.
func (s *Scheduler) keepRental(h *rental) {
	switch {
	case h.writing || h.version == 0:
	case h.state == rentalAnswered && len(h.record.Machines) == 0:
		s.removeRental(h)
	case h.dirty && h.state != rentalRemoving:
		s.writeRental(h)
	}
}

func (s *Scheduler) removeRental(h *rental) {
	h.state = rentalRemoving
	key := storage.RentalKey(h.name)
	s.write(pendingWrite{kind: writeRentalRemove, rental: h.name}, []protocol.Condition{{Key: key, Version: h.version}},
		[]protocol.Op{{Delete: key}})
}

// cover makes a record for a machine that no rental of ours accounts for.
func (s *Scheduler) cover(m *machine) {
	h := &rental{name: "found-" + m.name, state: rentalAnswered, at: s.now,
		record: storage.Rental{MachineType: m.kind, Zone: m.zone, Spot: m.spot, Answered: true, Machines: []string{m.name}}}
	if s.rentals[h.name] != nil {
		return // its last record is just being removed; the next report tries again
	}
	s.note(true, "unexpected machine", "machine", m.name, "type", m.kind, "zone", m.zone, "spot", m.spot)
	m.rental = h.name
	s.rentals[h.name] = h
	s.writeRental(h)
}

func (s *Scheduler) rentalDone(e RentalDone) {
	h := s.rentals[e.Name]
	if h == nil || h.state != rentalRequested {
		return
	}
	p := pool{h.record.MachineType, h.record.Zone, h.record.Spot}
	switch {
	case e.NoCapacity:
		s.refuse(p)
		s.planAt = 0
		s.note(false, "no capacity", "request", h.name, "type", p.kind, "zone", p.zone, "spot", p.spot)
		s.removeRental(h)
		return
	case !e.OK:
		s.emit(RentOut{Request: h.request()})
		return
	}
	if len(e.Machines) < h.record.Count {
		s.refuse(p)
		s.planAt = 0 // the rest is asked for elsewhere at once
	} else if st := s.pools[p]; st != nil {
		st.backoff = 0
	}
	s.note(false, "rented", "request", h.name, "machines", len(e.Machines))
	h.state, h.dirty = rentalAnswered, true
	h.record.Answered = true
	for _, name := range e.Machines {
		if s.gone[name] || slices.Contains(h.record.Machines, name) {
			continue
		}
		known := s.machines[name]
		m := s.machine(name, p.kind, p.zone, p.spot)
		if known == nil {
			m.created = h.at
		}
		if m.rental == "" {
			m.rental = h.name
			h.record.Machines = append(h.record.Machines, name)
		}
	}
	s.dirty = true
	s.keepRental(h)
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
		s.types[t.Name] = &t
		s.kinds = append(s.kinds, t.Name)
	}
	sort.Strings(s.kinds)
	for _, m := range s.fleet {
		m.machineType = s.types[m.kind]
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
	in := make(map[string]bool, len(e.Machines))
	for i := range e.Machines {
		r := &e.Machines[i]
		in[r.Name] = true
		if s.gone[r.Name] {
			continue
		}
		m := s.machines[r.Name]
		if m == nil {
			if r.AgeS < (3 * s.cfg.ListLag).Seconds() {
				continue // perhaps the answer to a rental of ours is on its way
			}
			if s.now >= s.tookOver+limits.WaitOut(s.lease) && r.State != protocol.MachineRunning {
				continue
			}
			m = s.machine(r.Name, r.MachineType, r.Zone, r.Spot)
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
		if r.State == protocol.MachineFailed {
			s.remove(m, "failed")
		}
	}
	for _, m := range s.fleet {
		if !s.recovered && !m.seen && m.registration != unregistered && !in[m.name] {
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
	s.note(false, "returning", "machine", m.name, "reason", why, "tasks", len(m.bindings))
	s.withdraw(m)
}

func (s *Scheduler) deleteDone(e DeleteDone) {
	for _, name := range e.Machines {
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
	for _, h := range s.sortedRentals() {
		s.keepRental(h)
	}
}

func (s *Scheduler) sortedRentals() []*rental {
	out := make([]*rental, 0, len(s.rentals))
	for _, h := range s.rentals {
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
	s.writeRegistrations()
	s.removeBroken()
	s.probes.refill(s.now)
	s.probe()
	if s.now >= s.planAt && (s.recovered || s.now > s.tookOver+s.stale()) && len(s.types) > 0 {
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
		s.emit(DeleteOut{Machines: names})
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
		if !m.verified {
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
	s.note(false, MsgSummary, "up", up, "booting", booting, "doubted", doubted, "cpus", total, "used", used, "jobs", len(s.queue), "waiting", waiting, "bound", bound, "settled", s.recovered)
}

// crowded tells whether so many of all machines at once must have a common cause.
func crowded(n, all int) bool {
	return n > limits.CrowdLeast && float64(n) > limits.SilentCrowd*float64(all)
}

// removeBroken returns machines that do not serve: never up, silent, sick.
func (s *Scheduler) removeBroken() {
	silent, up, unheard, doubted := 0, 0, 0, 0
	limit := time.Duration(float64(s.lease) * limits.SilentShare)
	since := func(m *machine) time.Duration { // when it last showed that it hears us
		if !m.verified {
			return max(min(m.heard, m.unverifiedSince), s.tookOver)
		}
		return max(m.heard, s.tookOver)
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
			if !m.verified {
				doubted++
			}
		case m.registration != unregistered:
			unheard++
		}
	}
	s.manyUnverified = doubted > limits.CrowdLeast && float64(doubted) > limits.UnverifiedCrowd*float64(up)
	lost := crowded(unheard, unheard+up)
	s.fewUnheard = !s.recovered && float64(unheard) <= max(limits.CrowdLeast, limits.FewUnheard*float64(unheard+up))
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
		case !m.seen && m.registration != unregistered:
			// It had reported to an earlier leader, and neither reports to us nor answers.
			patience := max(limits.RebuildPatience, time.Duration(limits.RebuildReports*float64(s.report)))
			if lost {
				patience = max(patience, limit) // so many at once may be a cut that ends soon
			}
			// While it may hold tasks nothing is placed anywhere. One of a few that does not answer either costs less than the wait.
			if s.now > s.tookOver+patience || (s.fewUnheard && m.misses >= limits.FewMisses) {
				s.remove(m, "not heard of since the take-over")
			}
		case !m.seen:
			patience := limits.BootPatienceMin
			if m.machineType != nil {
				patience = max(patience, time.Duration(limits.BootPatience*float64(limits.Seconds(m.machineType.BootS))))
			}
			if s.now > max(m.created, s.tookOver)+patience {
				s.remove(m, "never came up")
			}
		case quiet(m) && (!crowd || s.now > since(m)+limits.CrowdLeases*limits.WaitOut(s.lease)):
			s.remove(m, "silent")
		case m.sick():
			if !s.gangsSave(m) {
				s.remove(m, "fails its tasks")
			}
		case m.slow():
			if !s.gangsSave(m) {
				s.remove(m, "slow")
			}
		case m.notice && len(m.bindings) == 0 && s.durable(m):
			s.remove(m, "spot notice")
		default:
			if s.holdsCancelled(m, s.deleteAt) {
				s.remove(m, "cancelled task does not stop")
			}
		}
	}
}

// holdsCancelled tells whether a machine may have a task of a cancelled job although that job's time is over.
func (s *Scheduler) holdsCancelled(m *machine, over func(*job) time.Duration) bool {
	for _, b := range m.bindings {
		if b.job.cancelled && b.phase != assigned && s.now > over(b.job) {
			return true
		}
	}
	return false
}

// deleteAt is when a machine that still has a task of a cancelled job is deleted: early enough that the cloud has answered by
// lastAnswer. A leader that has
// only just learned of it lets the stops arrive first, while there is time.
func (s *Scheduler) deleteAt(j *job) time.Duration {
	within := limits.Seconds(s.cfg.Workers.CancelS)
	early := time.Duration(limits.CancelShare * float64(limits.CancelLast(within, s.lease)))
	late := time.Duration(limits.CancelLatest * float64(within))
	return max(j.cancelAt+early, min(j.cancelSeen+limits.CancelGrace, j.cancelAt+late))
}

// lastAnswer is until when the reports of such a machine are answered. If its deletion is not confirmed by then, nothing but the end of
// its lease takes the task
// off it in time, also if it hangs and goes on. Its other tasks are lost with that, as they would be by the deletion.
func (s *Scheduler) lastAnswer(j *job) time.Duration {
	return j.cancelAt + limits.CancelLast(limits.Seconds(s.cfg.Workers.CancelS), s.lease)
}

// hurry asks for the results that a machine lists to be written down next: it is to go.
func (s *Scheduler) hurry(m *machine) {
	for _, x := range m.exits {
		if !x.durable() {
			x.job.chunks[x.chunk].hurry = true
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
