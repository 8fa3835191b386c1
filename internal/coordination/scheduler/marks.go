package scheduler

import (
	"fmt"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// mark tells whether the state service knows that a machine may hold tasks. A machine gets none before, so that a successor knows where to look.
type mark uint8

const (
	unmarked mark = iota
	marking       // in the record in memory
	marked        // durable
)

// sheet is a record of marked machines, of whatever rentals: those that come up while one is written go into the next write together, so that a thousand
// machines that come up at once cost some tens of changes. A sheet is filled until it is as large as a value may be, and removed once its machines are gone.
// A machine that is gone is taken off its rental's record, not off the sheet: what no rental accounts for, a successor ignores.
type sheet struct {
	name    string
	rec     storage.Ups
	size    int // of the value, in bytes, rounded up
	stamp   uint64
	live    int // machines of it that are not gone
	dirty   bool
	writing bool
}

// markUp sees to it that the state service knows that a machine may get tasks from now on.
func (s *Scheduler) markUp(m *machine) {
	if m.hire == "" {
		s.cover(m)
	}
	// The rental's record must name the machine first: a successor ignores a mark that no rental accounts for.
	h := s.hires[m.hire]
	if h == nil || !h.known || m.mark != unmarked {
		return
	}
	m.mark = marking
	u := storage.Up{Machine: m.name, Address: m.addr}
	size := storage.Size(u) + limits.SheetFrame
	if full := s.sheet; full == nil || float64(full.size+size) > s.cfg.State.ValueKB*1024 {
		s.sheetSeq++
		s.sheet = &sheet{name: fmt.Sprintf("%d-%d", s.cfg.Term, s.sheetSeq), size: limits.SheetFrame}
		s.sheets = append(s.sheets, s.sheet)
		if full != nil {
			s.keepSheet(full)
		}
	}
	s.sheet.size += size
	m.sheet = s.sheet
	m.sheet.rec.Machines = append(m.sheet.rec.Machines, u)
	m.sheet.live++
	m.sheet.dirty = true
	s.marksDirty = true
	s.writeMarks()
}

// writeMarks writes the sheets with new machines, at most one write every MarkEvery; the next tick or the answer to the last write goes on with it.
func (s *Scheduler) writeMarks() {
	if !s.marksDirty || s.now < s.marksAt+limits.MarkEvery {
		return
	}
	s.marksDirty, s.marksAt = false, s.now
	for _, x := range s.sheets {
		if !x.dirty || x.writing {
			s.marksDirty = s.marksDirty || x.dirty
			continue
		}
		x.dirty, x.writing = false, true
		key := storage.UpKey(x.name)
		s.write(pendingWrite{kind: writeUps, sheet: x, n: len(x.rec.Machines)}, []protocol.Condition{{Key: key, Version: x.stamp}},
			[]protocol.Op{{Put: key, Value: protocol.Encode(x.rec)}})
	}
}

func (s *Scheduler) marksWritten(p pendingWrite, ok bool, rev uint64) {
	x := p.sheet
	x.writing = false
	if !ok {
		// Only we write sheets of our term, so this cannot be; without a mark the machines get no tasks.
		s.note(true, "marks refused", "sheet", x.name)
		return
	}
	x.stamp = rev
	for _, u := range x.rec.Machines[:p.n] {
		if m := s.machines[u.Machine]; m != nil && m.mark == marking {
			m.mark = marked
			s.owe(m)
		}
	}
	s.writeMarks()
	s.keepSheet(x)
}

// unmark takes a machine that is gone off its sheet, and removes a sheet of which nothing is left.
func (s *Scheduler) unmark(m *machine) {
	if x := m.sheet; x != nil {
		x.live--
		s.keepSheet(x)
	}
}

func (s *Scheduler) keepSheet(x *sheet) {
	if x.live > 0 || x.writing || x.dirty || x == s.sheet {
		return
	}
	if x.stamp != 0 {
		key := storage.UpKey(x.name)
		s.write(pendingWrite{kind: writeUpsRemove, sheet: x}, []protocol.Condition{{Key: key, Version: x.stamp}}, []protocol.Op{{Delete: key}})
	}
	s.sheets = slices.DeleteFunc(s.sheets, func(y *sheet) bool { return y == x })
}

// upLoaded takes a sheet of an earlier term, after all rentals.
func (s *Scheduler) upLoaded(e UpLoaded) {
	x := &sheet{name: e.Name, rec: e.Rec, stamp: e.Stamp}
	s.sheets = append(s.sheets, x)
	for _, u := range e.Rec.Machines {
		if m := s.machines[u.Machine]; m != nil && m.sheet == nil {
			m.mark, m.addr, m.sheet = marked, u.Address, x
			x.live++
		}
	}
	s.keepSheet(x)
}
