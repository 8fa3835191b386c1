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

type rentalState uint8

const (
	rentalWriting rentalState = iota
	rentalRequested
	rentalAnswered
	rentalRemoving
)

// isPending tells whether the cloud has not answered yet.
func (r *rental) isPending() bool { return r.state == rentalWriting || r.state == rentalRequested }

type rental struct {
	name          string
	record        storage.Rental
	version       uint64
	state         rentalState
	requestedAt   time.Duration
	dirty         bool // the record in memory is newer than the written one
	writing       bool
	answerDurable bool // the written record names the machines
}

// machinePool is one type in one zone of one kind.
type machinePool struct {
	typeName, zone string
	spot           bool
}

type poolState struct {
	notBefore time.Duration
	backoff   time.Duration
}

// rentalTable holds the rental requests of this and earlier terms, and the pools of machines that
// they are made to.
type rentalTable struct {
	*environment
	byName      map[string]*rental
	pools       map[machinePool]*poolState
	sequence    uint64 // of the names of this term's rentals
	maxMachines int    // of one rental, so that its record fits
}

// newRentalTable returns a table without rentals.
func newRentalTable(env *environment) *rentalTable {
	return &rentalTable{
		environment: env,
		byName:      map[string]*rental{},
		pools:       map[machinePool]*poolState{},
		maxMachines: storage.MaxRentalMachines(env.cfg.State.ValueKB),
	}
}

// pool returns the pool of machines that the rental is made to.
func (r *rental) pool() machinePool {
	return machinePool{r.record.MachineType, r.record.Zone, r.record.Spot}
}

func (r *rental) request() protocol.RentalRequest {
	return protocol.RentalRequest{Name: r.name, MachineType: r.record.MachineType, Zone: r.record.Zone, Spot: r.record.Spot, Count: r.record.Count}
}

func (s *Scheduler) rentalLoaded(e RentalLoaded) {
	r := &rental{name: e.Name, record: e.Record, version: e.Version, requestedAt: s.now, state: rentalRequested, answerDurable: e.Record.Answered}
	s.rentals.byName[e.Name] = r
	if e.Record.Answered {
		r.state = rentalAnswered
	} else {
		s.emit(RentMachines{Request: r.request()}) // repeated: the same answer, or the machines for the first time
	}
	for _, name := range e.Record.Machines {
		s.inventory.getOrAdd(name, r.pool()).rental = r.name
	}
}

// rentMachines starts a rental: its name is durable before the request leaves, so that a successor
// can ask for the answer.
func (s *Scheduler) rentMachines(pool machinePool, count int) {
	s.rentals.sequence++
	r := &rental{name: fmt.Sprintf("h-%d-%d", s.cfg.Term, s.rentals.sequence), state: rentalWriting, requestedAt: s.now,
		record: storage.Rental{MachineType: pool.typeName, Zone: pool.zone, Spot: pool.spot, Count: min(count, s.rentals.maxMachines)}}
	s.rentals.byName[r.name] = r
	s.logInfo("renting", "request", r.name, "type", pool.typeName, "zone", pool.zone, "spot", pool.spot, "count", r.record.Count)
	s.writeRental(r)
}

// writeRental writes a rental's record; one write of a record is under way at a time.
func (s *Scheduler) writeRental(r *rental) {
	if r.writing {
		r.dirty = true
		return
	}
	r.writing, r.dirty = true, false
	key := storage.RentalKey(r.name)
	s.write(rentalWrite{rental: r.name, answered: r.record.Answered}, []protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Put: key, Value: protocol.Encode(r.record)}})
}

func (s *Scheduler) rentalWritten(write rentalWrite, ok bool, version uint64) {
	r := s.rentals.byName[write.rental]
	if r == nil {
		return
	}
	r.writing = false
	if !ok {
		// Only we write rentals, so this cannot be; without a record the machines get no tasks.
		s.logWarn("rental record refused", "request", r.name)
		return
	}
	r.version = version
	if write.answered && !r.answerDurable {
		r.answerDurable = true
		for _, name := range r.record.Machines {
			if m := s.inventory.find(name); m != nil && m.hasReported {
				s.registerMachine(m) // it was up before its rental's record was written
			}
		}
	}
	if r.state == rentalWriting {
		r.state = rentalRequested
		s.emit(RentMachines{Request: r.request()})
	}
	s.reconcileRental(r)
}

// reconcileRental brings a rental's record in line with what is known: it goes once all its
// machines are gone.
func (s *Scheduler) reconcileRental(r *rental) {
	switch {
	case r.writing || r.version == 0:
	case r.state == rentalAnswered && len(r.record.Machines) == 0:
		s.removeRental(r)
	case r.dirty && r.state != rentalRemoving:
		s.writeRental(r)
	}
}

func (s *Scheduler) removeRental(r *rental) {
	r.state = rentalRemoving
	key := storage.RentalKey(r.name)
	s.write(rentalRemoval{rental: r.name}, []protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Delete: key}})
}

// removalWritten forgets a rental whose record is removed. Otherwise the removal is tried again.
func (t *rentalTable) removalWritten(write rentalRemoval, ok bool) {
	if ok {
		delete(t.byName, write.rental)
	} else if r := t.byName[write.rental]; r != nil {
		r.state = rentalAnswered
	}
}

// adoptMachine makes a record for a machine that no rental of ours accounts for.
func (s *Scheduler) adoptMachine(m *machine) {
	r := &rental{name: "found-" + m.name, state: rentalAnswered, requestedAt: s.now,
		record: storage.Rental{MachineType: m.typeName, Zone: m.zone, Spot: m.spot, Answered: true, Machines: []string{m.name}}}
	if s.rentals.byName[r.name] != nil {
		return // its last record is just being removed; the next report tries again
	}
	s.logWarn("unexpected machine", "machine", m.name, "type", m.typeName, "zone", m.zone, "spot", m.spot)
	m.rental = r.name
	s.rentals.byName[r.name] = r
	s.writeRental(r)
}

func (s *Scheduler) rentalDone(e RentalDone) {
	r := s.rentals.byName[e.Name]
	if r == nil || r.state != rentalRequested {
		return
	}
	pool := r.pool()
	switch {
	case e.NoCapacity:
		s.backOffPool(pool)
		s.planner.planNow()
		s.logInfo("no capacity", "request", r.name, "type", pool.typeName, "zone", pool.zone, "spot", pool.spot)
		s.removeRental(r)
		return
	case !e.OK:
		s.emit(RentMachines{Request: r.request()})
		return
	}
	if len(e.Machines) < r.record.Count {
		s.backOffPool(pool)
		s.planner.planNow() // the rest is asked for elsewhere at once
	} else if state := s.rentals.pools[pool]; state != nil {
		state.backoff = 0
	}
	s.logInfo("rented", "request", r.name, "machines", len(e.Machines))
	r.state, r.dirty = rentalAnswered, true
	r.record.Answered = true
	for _, name := range e.Machines {
		if s.inventory.isDeleted(name) || slices.Contains(r.record.Machines, name) {
			continue
		}
		known := s.inventory.find(name)
		m := s.inventory.getOrAdd(name, pool)
		if known == nil {
			m.createdAt = r.requestedAt
		}
		if m.rental == "" {
			m.rental = r.name
			r.record.Machines = append(r.record.Machines, name)
		}
	}
	s.placement.needed = true
	s.reconcileRental(r)
}

// backOffPool makes a pool wait before it is asked again.
func (s *Scheduler) backOffPool(pool machinePool) {
	state := s.poolState(pool)
	state.backoff = min(max(2*state.backoff, limits.CapacityBackoffMin), limits.CapacityBackoffMax)
	state.notBefore = s.now + state.backoff
}

func (s *Scheduler) poolState(pool machinePool) *poolState {
	state := s.rentals.pools[pool]
	if state == nil {
		state = &poolState{}
		s.rentals.pools[pool] = state
	}
	return state
}

func (s *Scheduler) sortedRentals() []*rental {
	rentals := make([]*rental, 0, len(s.rentals.byName))
	for _, r := range s.rentals.byName {
		rentals = append(rentals, r)
	}
	sort.Slice(rentals, func(a, b int) bool { return rentals[a].name < rentals[b].name })
	return rentals
}

// removeFromRental takes a machine that is gone off the record of its rental.
func (s *Scheduler) removeFromRental(m *machine) {
	if r := s.rentals.byName[m.rental]; r != nil {
		r.record.Machines = slices.DeleteFunc(r.record.Machines, func(name string) bool { return name == m.name })
		r.dirty = true
	}
}
