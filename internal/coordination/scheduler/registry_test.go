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
	b := newSchedulerFixture(t, 0)
	b.job("job-1", "red", "standard", 1, 1, 0)
	b.step(RentalLoaded{Name: "h-2-1", Version: 7, Record: storage.Rental{MachineType: "s8", Zone: "a", Count: 1, Answered: true, Machines: []string{b.machine(0)}}})
	orders := b.report(0)
	var mark *WriteRecords
	for _, e := range b.effects {
		if w, ok := e.(WriteRecords); ok && w.Operations[0].Put == storage.RegistryPageKey("3-1") {
			mark = &w
		}
	}
	if mark == nil || verbs(orders, protocol.CommandStart) != 0 || len(b.direct()) != 0 {
		t.Fatalf("before the mark: %+v %+v", orders, b.effects)
	}
	b.step(WriteCompleted{ID: mark.ID, OK: true, Version: 9})
	if d := b.direct(); len(d) != 1 || verbs(d[0].Commands, protocol.CommandStart) != 1 {
		t.Fatalf("after the mark: %+v", b.effects)
	}
}

// registryWrites are the writes of registrations among the effects.
func (b *schedulerFixture) registryWrites() []WriteRecords {
	var out []WriteRecords
	for _, e := range b.effects {
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
	b := newSchedulerFixture(t, 0)
	const rentals, each = 4, 50
	for i := range rentals {
		h := storage.Rental{MachineType: "s8", Zone: "a", Count: each, Answered: true}
		for k := range each {
			h.Machines = append(h.Machines, b.machine(i*each+k))
		}
		b.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Record: h})
	}
	b.scheduler.rentals.byName["h-2-3"].answerDurable = false // its answer is being written
	var writes []WriteRecords
	for i := range rentals * each {
		b.report(i)
		b.now -= 9 * time.Millisecond
		writes = append(writes, b.registryWrites()...)
	}
	rev := uint64(100)
	for n := 0; n < len(writes); n++ {
		rev++
		b.now += limits.RegistryWriteInterval
		b.step(WriteCompleted{ID: writes[n].ID, OK: true, Version: rev})
		writes = append(writes, b.registryWrites()...)
	}
	if len(writes) > 8 {
		t.Errorf("%d writes for %d machines", len(writes), rentals*each)
	}
	next := newSchedulerFixture(t, 0)
	for i := range rentals {
		next.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Record: b.scheduler.rentals.byName[fmt.Sprintf("h-2-%d", i)].record})
	}
	last := map[string]WriteRecords{}
	for _, w := range writes {
		last[w.Operations[0].Put] = w
	}
	for key, w := range last {
		var u storage.RegistryPage
		if err := protocol.Decode(w.Operations[0].Value, &u); err != nil {
			t.Fatal(err)
		}
		if !storage.FitsValueLimit(u, b.scheduler.cfg.State.ValueKB) {
			t.Errorf("a sheet of %d bytes", storage.EncodedSize(u))
		}
		next.step(RegistryPageLoaded{Name: key, Version: 9, Record: u})
	}
	for i := range rentals * each {
		known := i < (rentals-1)*each
		if got := b.scheduler.inventory.byName[b.machine(i)].registration == registered; got != known {
			t.Fatalf("machine %d marked: %v, its rental's record written: %v", i, got, known)
		}
		if m := next.scheduler.inventory.byName[b.machine(i)]; (m.registration == registered && m.address != "") != known {
			t.Fatalf("machine %d at the successor: mark %v, address %q", i, m.registration, m.address)
		}
	}
	// Once the record is written the others are registered too.
	h := b.scheduler.rentals.byName["h-2-3"]
	h.writing = true
	b.scheduler.pendingWrites[9999] = pendingWrite{kind: writeRental, rental: h.name, answered: true}
	b.now += limits.RegistryWriteInterval
	b.step(WriteCompleted{ID: 9999, OK: true, Version: rev + 1})
	if len(b.registryWrites()) == 0 {
		t.Error("not marked when the rental's record is written")
	}
}
