package scheduler

import (
	"fmt"
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// registration is the progress of listing a machine in the state service as one that may hold tasks. A
// machine gets no tasks before it is registered, so that the next leader knows which machines to check.
type registration uint8

const (
	unregistered registration = iota
	registering               // on a page whose write is not confirmed yet
	registered                // on a page in the state service
)

// registryPage is a record in the state service that lists registered machines, of any number of rentals.
// Machines that are added while a page is being written share the next write, so that registering a thousand
// machines at once takes only some tens of writes. A page is filled up to the maximum size of a value, and
// removed once all its machines are deleted. A deleted machine is removed from its rental's record but not
// from the page: the next leader ignores listed machines that no rental's record contains.
type registryPage struct {
	name          string
	record        storage.RegistryPage
	encodedSize   int // upper bound for the encoded record in bytes; 0 on a loaded page
	version       uint64
	liveMachines  int  // listed machines that are not deleted
	dirty         bool // lists machines that are not written yet
	writeInFlight bool // a write is in flight
}

// machineRegistry manages the durable record of the machines that may hold tasks.
type machineRegistry struct {
	*environment
	inventory    *machineInventory
	pages        []*registryPage // in order of creation
	current      *registryPage   // the page that new machines are added to
	pageSequence uint64          // number of the last page of this term; part of its name
	dirty        bool            // at least one page is dirty
	lastWriteAt  time.Duration   // when pages were last written
}

// newMachineRegistry returns an empty registry.
func newMachineRegistry(env *environment, inventory *machineInventory) *machineRegistry {
	return &machineRegistry{
		environment: env,
		inventory:   inventory,
		lastWriteAt: env.now - limits.RegistryWriteInterval,
	}
}

// load adds a page that an earlier leader wrote. The machines of all rentals must be in the inventory
// already. Listed machines that are not there belong to no rental, as they were deleted, and are ignored.
func (r *machineRegistry) load(e RegistryPageLoaded) {
	page := &registryPage{name: e.Name, record: e.Record, version: e.Version}
	r.pages = append(r.pages, page)
	for _, entry := range e.Record.Machines {
		if m := r.inventory.find(entry.Machine); m != nil && m.registryPage == nil {
			m.registration, m.address, m.registryPage = registered, entry.Address, page
			page.liveMachines++
		}
	}
	r.removeIfEmpty(page)
}

// add puts an unregistered machine on the current page and writes the page if a write is due.
func (r *machineRegistry) add(m *machine) {
	m.registration = registering
	entry := storage.RegisteredMachine{Machine: m.name, Address: m.address}
	size := storage.EncodedSize(entry) + limits.RegistryEntryOverheadBytes
	page := r.pageWithRoom(size)
	page.encodedSize += size
	page.record.Machines = append(page.record.Machines, entry)
	page.liveMachines++
	page.dirty, r.dirty = true, true
	m.registryPage = page
	r.writePages()
}

// pageWithRoom returns the current page, or a new one if an entry of the given size does not fit.
func (r *machineRegistry) pageWithRoom(size int) *registryPage {
	previous := r.current
	if previous != nil && float64(previous.encodedSize+size) <= r.cfg.State.ValueKB*1024 {
		return previous
	}
	r.pageSequence++
	r.current = &registryPage{
		name:        fmt.Sprintf("%d-%d", r.cfg.Term, r.pageSequence),
		encodedSize: limits.RegistryEntryOverheadBytes,
	}
	r.pages = append(r.pages, r.current)
	if previous != nil {
		r.removeIfEmpty(previous)
	}
	return r.current
}

// writePages writes the dirty pages, at most once every RegistryWriteInterval. Pages that remain dirty are
// written after a later tick or when a write in flight completes.
func (r *machineRegistry) writePages() {
	if !r.dirty || r.now < r.lastWriteAt+limits.RegistryWriteInterval {
		return
	}
	r.dirty, r.lastWriteAt = false, r.now
	for _, page := range r.pages {
		if !page.dirty || page.writeInFlight {
			r.dirty = r.dirty || page.dirty
			continue
		}
		page.dirty, page.writeInFlight = false, true
		key := storage.RegistryPageKey(page.name)
		r.write(
			registryPageWrite{page: page, machines: len(page.record.Machines)},
			[]protocol.Condition{{Key: key, Version: page.version}},
			[]protocol.Operation{{Put: key, Value: protocol.Encode(page.record)}},
		)
	}
}

// handlePageWritten records the outcome of a page write and returns the machines that it has registered.
func (r *machineRegistry) handlePageWritten(write registryPageWrite, committed bool, version uint64) []*machine {
	page := write.page
	page.writeInFlight = false
	if !committed {
		// Only this leader writes the pages of its term, so a conflict is not expected. If one occurs,
		// the machines are not registered and get no tasks.
		r.logWarn("write of registry page rejected", "page", page.name)
		return nil
	}
	page.version = version
	var added []*machine
	for _, entry := range page.record.Machines[:write.machines] {
		if m := r.inventory.find(entry.Machine); m != nil && m.registration == registering {
			m.registration = registered
			added = append(added, m)
		}
	}
	r.writePages()
	r.removeIfEmpty(page)
	return added
}

// remove decrements the machine count of a deleted machine's page, and removes the page if the count is 0.
func (r *machineRegistry) remove(m *machine) {
	if page := m.registryPage; page != nil {
		page.liveMachines--
		r.removeIfEmpty(page)
	}
}

// removeIfEmpty removes a page, also from the state service, once all its machines are deleted. It keeps
// the current page, and pages that are dirty or being written.
func (r *machineRegistry) removeIfEmpty(page *registryPage) {
	if page.liveMachines > 0 || page.writeInFlight || page.dirty || page == r.current {
		return
	}
	if page.version != 0 {
		key := storage.RegistryPageKey(page.name)
		r.write(
			registryPageRemoval{},
			[]protocol.Condition{{Key: key, Version: page.version}},
			[]protocol.Operation{{Delete: key}},
		)
	}
	r.pages = slices.DeleteFunc(r.pages, func(other *registryPage) bool { return other == page })
}

// registerMachine registers a machine so that it may get tasks. The durable record of a rental must contain
// the machine first; a machine without a rental is adopted into one.
func (s *Scheduler) registerMachine(m *machine) {
	if m.rental == "" {
		s.rentals.adopt(m)
	}
	if m.registration == unregistered && s.rentals.hasDurableRecordOf(m) {
		s.registry.add(m)
	}
}

// handleRegistryPageWritten handles the outcome of a page write: the machines that it registered may now get starts.
func (s *Scheduler) handleRegistryPageWritten(write registryPageWrite, committed bool, version uint64) {
	for _, m := range s.registry.handlePageWritten(write, committed, version) {
		s.gangs.requestCommit()
		s.dispatcher.enqueue(m)
	}
}
