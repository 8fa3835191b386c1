package scheduler

import (
	"fmt"
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// registration is whether the state service knows that a machine may hold tasks. A machine gets none
// before, so that a successor knows where to look.
type registration uint8

const (
	unregistered registration = iota
	registering               // in the record in memory
	registered                // durable
)

// registryPage is a record of registered machines, of whatever rentals: those that come up while one
// is written go into the next write together, so that a thousand machines that come up at once cost
// some tens of changes. A page is filled until it is as large as a value may be, and removed once its
// machines are gone. A machine that is gone is taken off its rental's record, not off the page: what
// no rental accounts for, a successor ignores.
type registryPage struct {
	name         string
	record       storage.RegistryPage
	encodedSize  int // of the value, in bytes, rounded up
	version      uint64
	liveMachines int // machines of it that are not gone
	dirty        bool
	writing      bool
}

// machineRegistry is the durable record of the machines that may hold tasks.
type machineRegistry struct {
	*environment
	inventory    *machineInventory
	pages        []*registryPage // in the order in which they were made
	current      *registryPage   // that new machines go on
	pageSequence uint64          // of the names of this term's pages
	dirty        bool            // some page has machines that are not written yet
	writtenAt    time.Duration
}

// newMachineRegistry returns a registry without pages.
func newMachineRegistry(env *environment, inventory *machineInventory) *machineRegistry {
	return &machineRegistry{
		environment: env,
		inventory:   inventory,
		writtenAt:   env.now - limits.RegistryWriteInterval,
	}
}

// load adds a page of an earlier term. Its machines must be in the inventory already: those of no
// rental are gone.
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

// add enters an unregistered machine on the current page and writes it when its time has come.
func (r *machineRegistry) add(m *machine) {
	m.registration = registering
	entry := storage.RegisteredMachine{Machine: m.name, Address: m.address}
	size := storage.EncodedSize(entry) + limits.RegistryEntryOverhead
	page := r.pageWithRoom(size)
	page.encodedSize += size
	page.record.Machines = append(page.record.Machines, entry)
	page.liveMachines++
	page.dirty, r.dirty = true, true
	m.registryPage = page
	r.writePages()
}

// pageFor returns the current page, or a new one if an entry of that size does not fit.
func (r *machineRegistry) pageWithRoom(size int) *registryPage {
	previous := r.current
	if previous != nil && float64(previous.encodedSize+size) <= r.cfg.State.ValueKB*1024 {
		return previous
	}
	r.pageSequence++
	r.current = &registryPage{
		name:        fmt.Sprintf("%d-%d", r.cfg.Term, r.pageSequence),
		encodedSize: limits.RegistryEntryOverhead,
	}
	r.pages = append(r.pages, r.current)
	if previous != nil {
		r.removeIfEmpty(previous)
	}
	return r.current
}

// writePages writes the pages with new machines, at most once every RegistryWriteInterval; the next
// tick or the answer to the last write goes on with it.
func (r *machineRegistry) writePages() {
	if !r.dirty || r.now < r.writtenAt+limits.RegistryWriteInterval {
		return
	}
	r.dirty, r.writtenAt = false, r.now
	for _, page := range r.pages {
		if !page.dirty || page.writing {
			r.dirty = r.dirty || page.dirty
			continue
		}
		page.dirty, page.writing = false, true
		key := storage.RegistryPageKey(page.name)
		r.write(
			registryPageWrite{page: page, machines: len(page.record.Machines)},
			[]protocol.Condition{{Key: key, Version: page.version}},
			[]protocol.Operation{{Put: key, Value: protocol.Encode(page.record)}},
		)
	}
}

// pageWritten notes the outcome of the write of a page. It returns the machines that are registered
// from now on.
func (r *machineRegistry) pageWritten(write registryPageWrite, ok bool, version uint64) []*machine {
	page := write.page
	page.writing = false
	if !ok {
		// Only we write pages of our term, so this cannot be; the machines stay unregistered and get
		// no tasks.
		r.logWarn("registry page refused", "page", page.name)
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

// remove removes a machine that is gone from its page.
func (r *machineRegistry) remove(m *machine) {
	if page := m.registryPage; page != nil {
		page.liveMachines--
		r.removeIfEmpty(page)
	}
}

// removeIfEmpty removes a page of whose machines none is left.
func (r *machineRegistry) removeIfEmpty(page *registryPage) {
	if page.liveMachines > 0 || page.writing || page.dirty || page == r.current {
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

// registerMachine sees to it that the state service knows that a machine may get tasks from now on.
// The written record of a rental must name it first.
func (s *Scheduler) registerMachine(m *machine) {
	if m.rental == "" {
		s.rentals.adopt(m)
	}
	if m.registration == unregistered && s.rentals.accountsFor(m) {
		s.registry.add(m)
	}
}

// registryPageWritten handles the outcome of the write of a page: its machines may get starts.
func (s *Scheduler) registryPageWritten(write registryPageWrite, ok bool, version uint64) {
	for _, m := range s.registry.pageWritten(write, ok, version) {
		s.gangs.requestCommit()
		s.dispatcher.enqueue(m)
	}
}
