package scheduler

import (
	"fmt"
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// machineRegistry is the durable record of the machines that may hold tasks.
type machineRegistry struct {
	*environment
	pages     []*registryPage // in the order in which they were made
	current   *registryPage   // that new machines go on
	sequence  uint64          // of the names of this term's pages
	dirty     bool            // some page has machines that are not written yet
	writtenAt time.Duration
}

// newMachineRegistry returns a registry without pages.
func newMachineRegistry(env *environment) *machineRegistry {
	return &machineRegistry{environment: env, writtenAt: env.now - limits.RegistryWriteInterval}
}

// mark tells whether the state service knows that a machine may hold tasks. A machine gets none
// before, so that a successor knows where to look.
type registration uint8

const (
	unregistered registration = iota
	registering               // in the record in memory
	registered                // durable
)

// page is a record of registered machines, of whatever rentals: those that come up while one is
// written go into the next write together, so that a thousand machines that come up at once cost
// some tens of changes. A page is filled until it is as large as a value may be, and removed once
// its machines are gone. A machine that is gone is taken off its rental's record, not off the page:
// what no rental accounts for, a successor ignores.
type registryPage struct {
	name         string
	record       storage.RegistryPage
	encodedSize  int // of the value, in bytes, rounded up
	version      uint64
	liveMachines int // machines of it that are not gone
	dirty        bool
	writing      bool
}

// registerMachine sees to it that the state service knows that a machine may get tasks from now on.
func (s *Scheduler) registerMachine(m *machine) {
	if m.rental == "" {
		s.adoptMachine(m)
	}
	// The rental's record must name the machine first: a successor ignores a mark that no rental
	// accounts for.
	r := s.rentals.byName[m.rental]
	if r == nil || !r.answerDurable || m.registration != unregistered {
		return
	}
	m.registration = registering
	entry := storage.RegisteredMachine{Machine: m.name, Address: m.address}
	size := storage.EncodedSize(entry) + limits.RegistryEntryOverhead
	if current := s.registry.current; current == nil || float64(current.encodedSize+size) > s.cfg.State.ValueKB*1024 {
		s.registry.sequence++
		s.registry.current = &registryPage{name: fmt.Sprintf("%d-%d", s.cfg.Term, s.registry.sequence), encodedSize: limits.RegistryEntryOverhead}
		s.registry.pages = append(s.registry.pages, s.registry.current)
		if current != nil {
			s.removeEmptyPage(current)
		}
	}
	s.registry.current.encodedSize += size
	m.registryPage = s.registry.current
	m.registryPage.record.Machines = append(m.registryPage.record.Machines, entry)
	m.registryPage.liveMachines++
	m.registryPage.dirty = true
	s.registry.dirty = true
	s.writeRegistryPages()
}

// writeRegistryPages writes the pages with new machines, at most one write every RegisterEvery; the
// next tick or the answer to the last write goes on with it.
func (s *Scheduler) writeRegistryPages() {
	if !s.registry.dirty || s.now < s.registry.writtenAt+limits.RegistryWriteInterval {
		return
	}
	s.registry.dirty, s.registry.writtenAt = false, s.now
	for _, page := range s.registry.pages {
		if !page.dirty || page.writing {
			s.registry.dirty = s.registry.dirty || page.dirty
			continue
		}
		page.dirty, page.writing = false, true
		key := storage.RegistryPageKey(page.name)
		s.write(registryPageWrite{page: page, machines: len(page.record.Machines)}, []protocol.Condition{{Key: key, Version: page.version}},
			[]protocol.Operation{{Put: key, Value: protocol.Encode(page.record)}})
	}
}

func (s *Scheduler) registryPageWritten(write registryPageWrite, ok bool, version uint64) {
	page := write.page
	page.writing = false
	if !ok {
		// Only we write pages of our term, so this cannot be; without a mark the machines get no tasks.
		s.logWarn("marks refused", "sheet", page.name)
		return
	}
	page.version = version
	for _, entry := range page.record.Machines[:write.machines] {
		if m := s.inventory.find(entry.Machine); m != nil && m.registration == registering {
			m.registration = registered
			s.gangs.capacityChanged = true
			s.dispatcher.enqueue(m)
		}
	}
	s.writeRegistryPages()
	s.removeEmptyPage(page)
}

// unregister takes a machine that is gone off its page, and removes a page of which nothing is left.
func (s *Scheduler) unregister(m *machine) {
	if page := m.registryPage; page != nil {
		page.liveMachines--
		s.removeEmptyPage(page)
	}
}

func (s *Scheduler) removeEmptyPage(page *registryPage) {
	if page.liveMachines > 0 || page.writing || page.dirty || page == s.registry.current {
		return
	}
	if page.version != 0 {
		key := storage.RegistryPageKey(page.name)
		s.write(registryPageRemoval{}, []protocol.Condition{{Key: key, Version: page.version}}, []protocol.Operation{{Delete: key}})
	}
	s.registry.pages = slices.DeleteFunc(s.registry.pages, func(other *registryPage) bool { return other == page })
}

// registryPageLoaded takes a page of an earlier term, after all rentals.
func (s *Scheduler) registryPageLoaded(e RegistryPageLoaded) {
	page := &registryPage{name: e.Name, record: e.Record, version: e.Version}
	s.registry.pages = append(s.registry.pages, page)
	for _, entry := range e.Record.Machines {
		if m := s.inventory.find(entry.Machine); m != nil && m.registryPage == nil {
			m.registration, m.address, m.registryPage = registered, entry.Address, page
			page.liveMachines++
		}
	}
	s.removeEmptyPage(page)
}
