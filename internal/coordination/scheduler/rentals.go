package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// rentalState is the progress of a rental.
type rentalState uint8

const (
	rentalWriting   rentalState = iota // the first write of the record is not confirmed yet
	rentalRequested                    // the request is sent to the cloud and retried until the cloud replies
	rentalAnswered                     // the cloud has replied, or no request is needed (see adopt)
	rentalRemoving                     // the removal of the record is not confirmed yet
)

// rental is a request to the cloud for machines of one pool, with its record in the state service. It
// is removed once the cloud has refused it or the last of its machines is deleted.
type rental struct {
	name          string
	record        storage.Rental
	version       uint64 // version of the written record; 0 before the first write is confirmed
	state         rentalState
	requestedAt   time.Duration
	dirty         bool // the record in memory differs from the written one
	writeInFlight bool // a write of the record is in flight
	replyDurable  bool // the written record contains the cloud's reply, with the names of the machines
}

// isPending reports whether the cloud has not replied to the request yet.
func (r *rental) isPending() bool { return r.state == rentalWriting || r.state == rentalRequested }

// pool returns the pool that the machines are rented from.
func (r *rental) pool() machinePool {
	return machinePool{r.record.MachineType, r.record.Zone, r.record.Spot}
}

// request returns the request to the cloud. Its name makes it idempotent: the cloud sends the same reply to
// a repeated request.
func (r *rental) request() protocol.RentalRequest {
	return protocol.RentalRequest{
		Name:        r.name,
		MachineType: r.record.MachineType,
		Zone:        r.record.Zone,
		Spot:        r.record.Spot,
		Count:       r.record.Count,
	}
}

// rentalTable holds the rentals of this and earlier terms, and the backoff of pools that lack capacity.
// It writes the changes of each rental to its record in the state service.
type rentalTable struct {
	*environment
	inventory      *machineInventory
	byName         map[string]*rental
	pools          map[machinePool]*poolState
	rentalSequence uint64 // number of the last rental of this term; part of its name
	maxRentalSize  int    // limit on the machines of one rental, so that its record fits the value limit
}

// newRentalTable returns a table without rentals.
func newRentalTable(env *environment, inventory *machineInventory) *rentalTable {
	return &rentalTable{
		environment:   env,
		inventory:     inventory,
		byName:        map[string]*rental{},
		pools:         map[machinePool]*poolState{},
		maxRentalSize: storage.MaxRentalMachines(env.cfg.State.ValueKB),
	}
}

// find returns the rental with the given name, or nil.
func (t *rentalTable) find(name string) *rental { return t.byName[name] }

// count returns the number of rentals.
func (t *rentalTable) count() int { return len(t.byName) }

// maxPerRental returns the largest number of machines in one rental.
func (t *rentalTable) maxPerRental() int { return t.maxRentalSize }

// all returns the rentals, sorted by name.
func (t *rentalTable) all() []*rental {
	rentals := make([]*rental, 0, len(t.byName))
	for _, r := range t.byName {
		rentals = append(rentals, r)
	}
	slices.SortFunc(rentals, func(a, b *rental) int { return cmp.Compare(a.name, b.name) })
	return rentals
}

// load adds a rental of an earlier term and its machines. If the record does not contain the cloud's
// reply, the request is sent again. The cloud repeats its reply, or rents the machines out now if it never
// received the request.
func (t *rentalTable) load(e RentalLoaded) {
	r := &rental{
		name:         e.Name,
		record:       e.Record,
		version:      e.Version,
		requestedAt:  t.now,
		state:        rentalRequested,
		replyDurable: e.Record.Answered,
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

// startRental starts a rental of count machines, but at most maxPerRental. The record is written before the
// request is sent, so that the next leader can repeat the request and obtain the names of the machines.
func (t *rentalTable) startRental(pool machinePool, count int) {
	t.rentalSequence++
	r := &rental{
		name:        fmt.Sprintf("h-%d-%d", t.cfg.Term, t.rentalSequence),
		state:       rentalWriting,
		requestedAt: t.now,
		record: storage.Rental{
			MachineType: pool.typeName,
			Zone:        pool.zone,
			Spot:        pool.spot,
			Count:       min(count, t.maxRentalSize),
		},
	}
	t.byName[r.name] = r
	t.logInfo("rental started", keyRental, r.name, keyType, pool.typeName, keyZone, pool.zone, keySpot, pool.spot,
		keyMachines, r.record.Count)
	t.writeRecord(r)
}

// adopt adds a rental in state rentalAnswered for a machine that belongs to no rental, so that a record
// contains the machine.
func (t *rentalTable) adopt(m *machine) {
	name := "found-" + m.name
	if t.byName[name] != nil {
		return // the removal of an earlier record of this name is in flight; the next heartbeat calls adopt again
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

// hasDurableRecordOf reports whether the written record of a rental contains the machine. The next leader
// ignores the registration of a machine that no rental's record contains.
func (t *rentalTable) hasDurableRecordOf(m *machine) bool {
	r := t.byName[m.rental]
	return r != nil && r.replyDurable
}

// recordReply adds the machines in the cloud's reply to the rental and to the inventory.
func (t *rentalTable) recordReply(r *rental, machines []string) {
	t.logInfo("rental answered", keyRental, r.name, keyMachines, len(machines))
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

// handleNoCapacity removes a rental for which the cloud has no machines, and backs off its pool.
func (t *rentalTable) handleNoCapacity(r *rental) {
	pool := r.pool()
	t.backOff(pool)
	t.logInfo("rental refused", keyRental, r.name, keyType, pool.typeName, keyZone, pool.zone, keySpot, pool.spot,
		keyReason, "no capacity")
	t.removeRecord(r)
}

// removeMachine removes a deleted machine from its rental; reconcile writes the change.
func (t *rentalTable) removeMachine(m *machine) {
	if r := t.byName[m.rental]; r != nil {
		r.record.Machines = slices.DeleteFunc(r.record.Machines, func(name string) bool { return name == m.name })
		r.dirty = true
	}
}

// reconcile writes the changes of a rental to its record, or removes the record once all machines of the
// rental are deleted.
func (t *rentalTable) reconcile(r *rental) {
	switch {
	case r.writeInFlight || r.version == 0:
		// handleRentalWritten calls reconcile again once the write has succeeded.
	case r.state == rentalAnswered && len(r.record.Machines) == 0:
		t.removeRecord(r)
	case r.dirty && r.state != rentalRemoving:
		t.writeRecord(r)
	}
}

// reconcileAll calls reconcile for all rentals.
func (t *rentalTable) reconcileAll() {
	for _, r := range t.all() {
		t.reconcile(r)
	}
}

// writeRecord writes a rental's record. While a write of the record is in flight it only marks the record
// as dirty.
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

// handleRecordWritten handles the outcome of writeRecord. If the written record is the first one with the cloud's
// reply, it returns the names of the rental's machines.
func (t *rentalTable) handleRecordWritten(
	r *rental, write rentalWrite, committed bool, version uint64,
) (newlyDurable []string) {
	r.writeInFlight = false
	if !committed {
		// Only the leader writes rentals, so a conflict is not expected. If one occurs, the machines get
		// no tasks, because no written record contains them.
		t.logWarn("write of rental record rejected", keyRental, r.name)
		return nil
	}
	r.version = version
	if write.answered && !r.replyDurable {
		r.replyDurable = true
		return r.record.Machines
	}
	return nil
}

// continueAfterWrite sends the request of a new rental once its record is written, and writes changes that
// were made during the write.
func (t *rentalTable) continueAfterWrite(r *rental) {
	if r.state == rentalWriting {
		r.state = rentalRequested
		t.emit(RentMachines{Request: r.request()})
	}
	t.reconcile(r)
}

// removeRecord starts the removal of a rental's record. handleRemovalWritten then removes the rental itself.
func (t *rentalTable) removeRecord(r *rental) {
	r.state = rentalRemoving
	key := storage.RentalKey(r.name)
	t.write(
		rentalRemoval{rental: r.name},
		[]protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Delete: key}},
	)
}

// handleRemovalWritten handles the outcome of removeRecord: it removes the rental, or makes reconcile retry the
// removal if it has failed.
func (t *rentalTable) handleRemovalWritten(write rentalRemoval, committed bool) {
	if committed {
		delete(t.byName, write.rental)
	} else if r := t.byName[write.rental]; r != nil {
		r.state = rentalAnswered
	}
}

// handleRentalWritten handles the outcome of a write of a rental's record.
func (s *Scheduler) handleRentalWritten(write rentalWrite, committed bool, version uint64) {
	r := s.rentals.find(write.rental)
	if r == nil {
		return
	}
	for _, name := range s.rentals.handleRecordWritten(r, write, committed, version) {
		if m := s.inventory.find(name); m != nil && m.hasReported {
			s.registerMachine(m) // reported before the record was written, so it could not be registered then
		}
	}
	if committed {
		s.rentals.continueAfterWrite(r)
	}
}

// handleRentalDone handles the outcome of RentMachines. If it is unknown whether the cloud executed the request,
// the request is sent again.
func (s *Scheduler) handleRentalDone(e RentalDone) {
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
		s.planner.requestPlan() // the missing machines are requested from other pools at once
	} else {
		s.rentals.resetBackoff(r.pool())
	}
	s.rentals.recordReply(r, e.Machines)
	s.placement.requestPass()
	s.rentals.reconcile(r)
}
