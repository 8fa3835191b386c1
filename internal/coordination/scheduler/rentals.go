package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// rentalState is how far a rental request has come.
type rentalState uint8

const (
	rentalWriting   rentalState = iota // its record is written for the first time
	rentalRequested                    // the cloud is asked, again and again until it answers
	rentalAnswered                     // the cloud has answered
	rentalRemoving                     // its record is removed
)

// rental is a request to the cloud for machines of one pool, with its durable record. It exists as
// long as one of its machines does.
type rental struct {
	name          string
	record        storage.Rental
	version       uint64 // of the record; 0 before the first write is confirmed
	state         rentalState
	requestedAt   time.Duration
	dirty         bool // the record in memory is newer than the written one
	writeInFlight bool
	answerDurable bool // the written record names the machines
}

// isPending reports whether the cloud has not answered yet.
func (r *rental) isPending() bool { return r.state == rentalWriting || r.state == rentalRequested }

// pool returns the pool of machines that the rental is made to.
func (r *rental) pool() machinePool {
	return machinePool{r.record.MachineType, r.record.Zone, r.record.Spot}
}

// request returns what the cloud is asked for. The answer to a repeated request is the same.
func (r *rental) request() protocol.RentalRequest {
	return protocol.RentalRequest{
		Name:        r.name,
		MachineType: r.record.MachineType,
		Zone:        r.record.Zone,
		Spot:        r.record.Spot,
		Count:       r.record.Count,
	}
}

// rentalTable holds the rentals of this and earlier terms, and which pools have refused machines
// lately. It keeps the durable record of each rental in line with what is known.
type rentalTable struct {
	*environment
	inventory      *machineInventory
	byName         map[string]*rental
	pools          map[machinePool]*poolState
	rentalSequence uint64 // of the names of this term's rentals
	maxMachines    int    // of one rental, so that its record fits
}

// newRentalTable returns a table without rentals.
func newRentalTable(env *environment, inventory *machineInventory) *rentalTable {
	return &rentalTable{
		environment: env,
		inventory:   inventory,
		byName:      map[string]*rental{},
		pools:       map[machinePool]*poolState{},
		maxMachines: storage.MaxRentalMachines(env.cfg.State.ValueKB),
	}
}

// find returns the rental of a name, or nil.
func (t *rentalTable) find(name string) *rental { return t.byName[name] }

// count returns the number of rentals.
func (t *rentalTable) count() int { return len(t.byName) }

// maxPerRental returns how many machines one rental may be for.
func (t *rentalTable) maxPerRental() int { return t.maxMachines }

// all returns the rentals, sorted by name.
func (t *rentalTable) all() []*rental {
	rentals := make([]*rental, 0, len(t.byName))
	for _, r := range t.byName {
		rentals = append(rentals, r)
	}
	slices.SortFunc(rentals, func(a, b *rental) int { return cmp.Compare(a.name, b.name) })
	return rentals
}

// load adds a rental of an earlier term and its machines. If the cloud's answer is not known it is
// asked again: it gives the same answer, or the machines for the first time.
func (t *rentalTable) load(e RentalLoaded) {
	r := &rental{
		name:          e.Name,
		record:        e.Record,
		version:       e.Version,
		requestedAt:   t.now,
		state:         rentalRequested,
		answerDurable: e.Record.Answered,
	}
	t.byName[r.name] = r
	if e.Record.Answered {
		r.state = rentalAnswered
	} else {
		t.emit(RentMachines{Request: r.request()})
	}
	for _, name := range e.Record.Machines {
		t.inventory.getOrAdd(name, r.pool()).rental = r.name
	}
}

// rent starts a rental of up to maxMachines machines: its name is durable before the request leaves,
// so that a successor can ask for the answer.
func (t *rentalTable) rent(pool machinePool, count int) {
	t.rentalSequence++
	r := &rental{
		name:        fmt.Sprintf("h-%d-%d", t.cfg.Term, t.rentalSequence),
		state:       rentalWriting,
		requestedAt: t.now,
		record: storage.Rental{
			MachineType: pool.typeName,
			Zone:        pool.zone,
			Spot:        pool.spot,
			Count:       min(count, t.maxMachines),
		},
	}
	t.byName[r.name] = r
	t.logInfo("renting", keyRental, r.name, keyType, pool.typeName, keyZone, pool.zone, keySpot, pool.spot,
		"count", r.record.Count)
	t.writeRecord(r)
}

// adopt makes a record for a machine that no rental accounts for.
func (t *rentalTable) adopt(m *machine) {
	name := "found-" + m.name
	if t.byName[name] != nil {
		return // its last record is just being removed; the next heartbeat tries again
	}
	t.logWarn("machine without rental adopted",
		keyMachine, m.name, keyType, m.typeName, keyZone, m.zone, keySpot, m.spot)
	r := &rental{
		name:        name,
		state:       rentalAnswered,
		requestedAt: t.now,
		record: storage.Rental{
			MachineType: m.typeName,
			Zone:        m.zone,
			Spot:        m.spot,
			Answered:    true,
			Machines:    []string{m.name},
		},
	}
	m.rental = r.name
	t.byName[r.name] = r
	t.writeRecord(r)
}

// accountsFor reports whether the written record of a rental names the machine. A successor ignores
// what else is recorded of a machine that no rental accounts for.
func (t *rentalTable) hasDurableRecordOf(m *machine) bool {
	r := t.byName[m.rental]
	return r != nil && r.answerDurable
}

// answered adds the machines that the cloud has given to the rental and the inventory.
func (t *rentalTable) recordAnswer(r *rental, machines []string) {
	t.logInfo("rented", keyRental, r.name, keyMachines, len(machines))
	r.state, r.dirty = rentalAnswered, true
	r.record.Answered = true
	for _, name := range machines {
		if t.inventory.isDeleted(name) || slices.Contains(r.record.Machines, name) {
			continue
		}
		known := t.inventory.find(name) != nil
		m := t.inventory.getOrAdd(name, r.pool())
		if !known {
			m.createdAt = r.requestedAt
		}
		if m.rental == "" {
			m.rental = r.name
			r.record.Machines = append(r.record.Machines, name)
		}
	}
}

// refused removes a rental for which the cloud has no machines.
func (t *rentalTable) handleNoCapacity(r *rental) {
	pool := r.pool()
	t.backOff(pool)
	t.logInfo("no capacity", keyRental, r.name, keyType, pool.typeName, keyZone, pool.zone, keySpot, pool.spot)
	t.removeRecord(r)
}

// removeMachine removes a machine that is gone from the record of its rental.
func (t *rentalTable) removeMachine(m *machine) {
	if r := t.byName[m.rental]; r != nil {
		r.record.Machines = slices.DeleteFunc(r.record.Machines, func(name string) bool { return name == m.name })
		r.dirty = true
	}
}

// reconcile brings a rental's record in line with what is known: it is removed once all its machines
// are gone.
func (t *rentalTable) reconcile(r *rental) {
	switch {
	case r.writeInFlight || r.version == 0:
		// The answer to the write comes back here.
	case r.state == rentalAnswered && len(r.record.Machines) == 0:
		t.removeRecord(r)
	case r.dirty && r.state != rentalRemoving:
		t.writeRecord(r)
	}
}

// reconcileAll does so for all rentals.
func (t *rentalTable) reconcileAll() {
	for _, r := range t.all() {
		t.reconcile(r)
	}
}

// writeRecord writes a rental's record; one write of a record is under way at a time.
func (t *rentalTable) writeRecord(r *rental) {
	if r.writeInFlight {
		r.dirty = true
		return
	}
	r.writeInFlight, r.dirty = true, false
	key := storage.RentalKey(r.name)
	t.write(
		rentalWrite{rental: r.name, answered: r.record.Answered},
		[]protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Put: key, Value: protocol.Encode(r.record)}},
	)
}

// recordWritten notes the outcome of writeRecord. It returns the machines that the record names
// durably from now on.
func (t *rentalTable) recordWritten(r *rental, write rentalWrite, ok bool, version uint64) (newlyDurable []string) {
	r.writeInFlight = false
	if !ok {
		// Only we write rentals, so this cannot be; without a record the machines get no tasks.
		t.logWarn("rental record refused", keyRental, r.name)
		return nil
	}
	r.version = version
	if write.answered && !r.answerDurable {
		r.answerDurable = true
		return r.record.Machines
	}
	return nil
}

// proceed continues with a rental whose record is written.
func (t *rentalTable) continueAfterWrite(r *rental) {
	if r.state == rentalWriting {
		r.state = rentalRequested
		t.emit(RentMachines{Request: r.request()})
	}
	t.reconcile(r)
}

// removeRecord removes a rental's record, and with that the rental.
func (t *rentalTable) removeRecord(r *rental) {
	r.state = rentalRemoving
	key := storage.RentalKey(r.name)
	t.write(
		rentalRemoval{rental: r.name},
		[]protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Delete: key}},
	)
}

// removalWritten forgets a rental whose record is removed. Otherwise the removal is tried again.
func (t *rentalTable) removalWritten(write rentalRemoval, ok bool) {
	if ok {
		delete(t.byName, write.rental)
	} else if r := t.byName[write.rental]; r != nil {
		r.state = rentalAnswered
	}
}

// rentalWritten handles the outcome of the write of a rental's record.
func (s *Scheduler) rentalWritten(write rentalWrite, ok bool, version uint64) {
	r := s.rentals.find(write.rental)
	if r == nil {
		return
	}
	for _, name := range s.rentals.recordWritten(r, write, ok, version) {
		if m := s.inventory.find(name); m != nil && m.hasReported {
			s.registerMachine(m) // it was up before its rental's record was written
		}
	}
	if ok {
		s.rentals.continueAfterWrite(r)
	}
}

// rentalDone handles the cloud's answer to a rental request.
func (s *Scheduler) rentalDone(e RentalDone) {
	r := s.rentals.find(e.Name)
	if r == nil || r.state != rentalRequested {
		return
	}
	switch {
	case e.NoCapacity:
		s.rentals.handleNoCapacity(r)
		s.planner.requestPlan()
		return
	case !e.OK:
		s.emit(RentMachines{Request: r.request()})
		return
	}
	if len(e.Machines) < r.record.Count {
		s.rentals.backOff(r.pool())
		s.planner.requestPlan() // the rest is asked for elsewhere at once
	} else {
		s.rentals.resetBackoff(r.pool())
	}
	s.rentals.recordAnswer(r, e.Machines)
	s.placement.requestPass()
	s.rentals.reconcile(r)
}
