package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestRegisteredBeforeStart: a machine gets its first task only once the state service knows that
// it may have one; otherwise a new leader would not look for it there.
func TestRegisteredBeforeStart(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.job("job-1", "red", "standard", 1, 1, 0)
	f.step(RentalLoaded{Name: "h-2-1", Version: 7, Record: storage.Rental{MachineType: "s8", Zone: "a", Count: 1, Answered: true, Machines: []string{f.machine(0)}}})
	commands := f.report(0)
	var registration *WriteRecords
	for _, e := range f.effects {
		if w, ok := e.(WriteRecords); ok && w.Operations[0].Put == storage.RegistryPageKey("3-1") {
			registration = &w
		}
	}
	if registration == nil || verbs(commands, protocol.CommandStart) != 0 || len(f.direct()) != 0 {
		t.Fatalf("before the mark: %+v %+v", commands, f.effects)
	}
	f.step(WriteCompleted{ID: registration.ID, OK: true, Version: 9})
	if direct := f.direct(); len(direct) != 1 || verbs(direct[0].Commands, protocol.CommandStart) != 1 {
		t.Fatalf("after the mark: %+v", f.effects)
	}
}

// registryWrites are the writes of registrations among the effects.
func (f *schedulerFixture) registryWrites() []WriteRecords {
	var out []WriteRecords
	for _, e := range f.effects {
		if w, ok := e.(WriteRecords); ok && strings.HasPrefix(w.Operations[0].Put, storage.PrefixRegistryPage) {
			out = append(out, w)
		}
	}
	return out
}

// TestRegistrationsTogether: machines of several rentals that come up at once are registered by few
// writes, each within the size of a value; none is registered before its rental's record names it,
// as a successor ignores registrations that no rental accounts for; and a successor finds all of
// them.
func TestRegistrationsTogether(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	const rentals, each = 4, 50
	for i := range rentals {
		rental := storage.Rental{MachineType: "s8", Zone: "a", Count: each, Answered: true}
		for k := range each {
			rental.Machines = append(rental.Machines, f.machine(i*each+k))
		}
		f.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Record: rental})
	}
	f.scheduler.rentals.find("h-2-3").answerDurable = false // its answer is being written
	var writes []WriteRecords
	for i := range rentals * each {
		f.report(i)
		f.now -= 9 * time.Millisecond
		writes = append(writes, f.registryWrites()...)
	}
	version := uint64(100)
	for n := 0; n < len(writes); n++ {
		version++
		f.now += limits.RegistryWriteInterval
		f.step(WriteCompleted{ID: writes[n].ID, OK: true, Version: version})
		writes = append(writes, f.registryWrites()...)
	}
	if len(writes) > 8 {
		t.Errorf("%d writes for %d machines", len(writes), rentals*each)
	}
	next := newSchedulerFixture(t, 0)
	for i := range rentals {
		next.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Record: f.scheduler.rentals.find(fmt.Sprintf("h-2-%d", i)).record})
	}
	last := map[string]WriteRecords{}
	for _, w := range writes {
		last[w.Operations[0].Put] = w
	}
	for key, w := range last {
		var page storage.RegistryPage
		if err := protocol.Decode(w.Operations[0].Value, &page); err != nil {
			t.Fatal(err)
		}
		if !storage.FitsValueLimit(page, f.scheduler.cfg.State.ValueKB) {
			t.Errorf("a sheet of %d bytes", storage.EncodedSize(page))
		}
		next.step(RegistryPageLoaded{Name: key, Version: 9, Record: page})
	}
	for i := range rentals * each {
		known := i < (rentals-1)*each
		if got := f.scheduler.inventory.find(f.machine(i)).registration == registered; got != known {
			t.Fatalf("machine %d marked: %v, its rental's record written: %v", i, got, known)
		}
		if m := next.scheduler.inventory.find(f.machine(i)); (m.registration == registered && m.address != "") != known {
			t.Fatalf("machine %d at the successor: mark %v, address %q", i, m.registration, m.address)
		}
	}
	// Once the record is written the others are registered too.
	h := f.scheduler.rentals.find("h-2-3")
	h.writing = true
	f.scheduler.pendingWrites[9999] = rentalWrite{rental: h.name, answered: true}
	f.now += limits.RegistryWriteInterval
	f.step(WriteCompleted{ID: 9999, OK: true, Version: version + 1})
	if len(f.registryWrites()) == 0 {
		t.Error("not marked when the rental's record is written")
	}
}
