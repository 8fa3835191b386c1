package scheduler

import (
	"fmt"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// mark tells whether the state service knows that a machine may hold tasks. A machine gets none before, so that a successor knows where
// to look.
type registration uint8

const (
	unregistered registration = iota
	registering               // in the record in memory
	registered                // durable
)

// page is a record of registered machines, of whatever rentals: those that come up while one is written go into the next write together,
// so that a thousand
// machines that come up at once cost some tens of changes. A page is filled until it is as large as a value may be, and removed once its
// machines are gone.
// A machine that is gone is taken off its rental's record, not off the page: what no rental accounts for, a successor ignores.
type registryPage struct {
	name    string
	rec     storage.Ups
	size    int // of the value, in bytes, rounded up
	stamp   uint64
	live    int // machines of it that are not gone
	dirty   bool
	writing bool
}

// register sees to it that the state service knows that a machine may get tasks from now on.
func (s *Scheduler) register(m *machine) {
	if m.rental == "" {
		s.cover(m)
	}
	// The rental's record must name the machine first: a successor ignores a mark that no rental accounts for.
	h := s.rentals[m.rental]
	if h == nil || !h.known || m.registration != unregistered {
		return
	}
	m.registration = registering
	u := storage.Up{Machine: m.name, Address: m.addr}
	size := storage.Size(u) + limits.PageFrame
	if full := s.page; full == nil || float64(full.size+size) > s.cfg.State.ValueKB*1024 {
		s.pageSequence++
		s.page = &registryPage{name: fmt.Sprintf("%d-%d", s.cfg.Term, s.pageSequence), size: limits.PageFrame}
		s.pages = append(s.pages, s.page)
		if full != nil {
			s.removeEmptyPage(full)
		}
	}
	s.page.size += size
	m.page = s.page
	m.page.rec.Machines = append(m.page.rec.Machines, u)
	m.page.live++
	m.page.dirty = true
	s.registrationsDirty = true
	s.writeRegistrations()
}

// writeRegistrations writes the pages with new machines, at most one write every RegisterEvery; the next tick or the answer to the last
// write goes on with it.
func (s *Scheduler) writeRegistrations() {
	if !s.registrationsDirty || s.now < s.registrationsAt+limits.RegisterEvery {
		return
	}
	s.registrationsDirty, s.registrationsAt = false, s.now
	for _, x := range s.pages {
		if !x.dirty || x.writing {
			s.registrationsDirty = s.registrationsDirty || x.dirty
			continue
		}
		x.dirty, x.writing = false, true
		key := storage.UpKey(x.name)
		s.write(pendingWrite{kind: writeRegistration, page: x, n: len(x.rec.Machines)}, []protocol.Condition{{Key: key, Version: x.stamp}},
			[]protocol.Op{{Put: key, Value: protocol.Encode(x.rec)}})
	}
}

func (s *Scheduler) registrationsWritten(p pendingWrite, ok bool, rev uint64) {
	x := p.page
	x.writing = false
	if !ok {
		// Only we write pages of our term, so this cannot be; without a mark the machines get no tasks.
		s.note(true, "marks refused", "sheet", x.name)
		return
	}
	x.stamp = rev
	for _, u := range x.rec.Machines[:p.n] {
		if m := s.machines[u.Machine]; m != nil && m.registration == registering {
			m.registration = registered
			s.roomChanged = true
			s.queueCommands(m)
		}
	}
	s.writeRegistrations()
	s.removeEmptyPage(x)
}

// unregister takes a machine that is gone off its page, and removes a page of which nothing is left.
func (s *Scheduler) unregister(m *machine) {
	if x := m.page; x != nil {
		x.live--
		s.removeEmptyPage(x)
	}
}

func (s *Scheduler) removeEmptyPage(x *registryPage) {
	if x.live > 0 || x.writing || x.dirty || x == s.page {
		return
	}
	if x.stamp != 0 {
		key := storage.UpKey(x.name)
		s.write(pendingWrite{kind: writeRegistrationRemove, page: x}, []protocol.Condition{{Key: key, Version: x.stamp}}, []protocol.Op{{Delete: key}})
	}
	s.pages = slices.DeleteFunc(s.pages, func(y *registryPage) bool { return y == x })
}

// registrationLoaded takes a page of an earlier term, after all rentals.
func (s *Scheduler) registrationLoaded(e RegistrationLoaded) {
	x := &registryPage{name: e.Name, rec: e.Rec, stamp: e.Version}
	s.pages = append(s.pages, x)
	for _, u := range e.Rec.Machines {
		if m := s.machines[u.Machine]; m != nil && m.page == nil {
			m.registration, m.addr, m.page = registered, u.Address, x
			x.live++
		}
	}
	s.removeEmptyPage(x)
}
