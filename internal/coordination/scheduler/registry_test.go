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

// TestNoStartBeforeRegistration checks that a machine gets its first start only once its registration is in
// the state service. Otherwise the next leader would not know that tasks may run there.
func TestNoStartBeforeRegistration(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	f.step(RentalLoaded{Name: "h-2-1", Version: 7, Record: answeredRental("s8", 1, f.machine)})
	commands := f.sendHeartbeat(0)
	var registration *WriteRecords
	for _, write := range effectsOf[WriteRecords](f.effects) {
		if write.Operations[0].Put == storage.RegistryPageKey("3-1") {
			registration = &write
		}
	}
	if registration == nil || countVerb(commands, protocol.CommandStart) != 0 || len(f.directCommands()) != 0 {
		t.Fatalf("registration not written, or start sent before it: commands %+v, effects %+v", commands, f.effects)
	}
	f.step(WriteCompleted{ID: registration.ID, Committed: true, Version: 9})
	if direct := f.directCommands(); len(direct) != 1 || countVerb(direct[0].Commands, protocol.CommandStart) != 1 {
		t.Fatalf("want one direct start after the registration, got effects %+v", f.effects)
	}
}

// registryWrites returns the writes of registry pages among the effects of the last event.
func (f *schedulerFixture) registryWrites() []WriteRecords {
	var writes []WriteRecords
	for _, write := range effectsOf[WriteRecords](f.effects) {
		if strings.HasPrefix(write.Operations[0].Put, storage.PrefixRegistryPage) {
			writes = append(writes, write)
		}
	}
	return writes
}

// registerAll sends a first heartbeat from each machine, one after the other. It confirms all writes of
// registry pages, with versions from 101, and returns them.
func (f *schedulerFixture) registerAll(machines int) []WriteRecords {
	var writes []WriteRecords
	for i := range machines {
		f.sendHeartbeat(i)
		f.now -= 9 * time.Millisecond
		writes = append(writes, f.registryWrites()...)
	}
	for n := 0; n < len(writes); n++ {
		f.now += limits.RegistryWriteInterval
		f.step(WriteCompleted{ID: writes[n].ID, Committed: true, Version: uint64(101 + n)})
		writes = append(writes, f.registryWrites()...)
	}
	return writes
}

// decodeLastPages returns the last registry page that was written to each key.
func decodeLastPages(t *testing.T, writes []WriteRecords) map[string]storage.RegistryPage {
	t.Helper()
	pages := map[string]storage.RegistryPage{}
	for _, write := range writes {
		var page storage.RegistryPage
		if err := protocol.Decode(write.Operations[0].Value, &page); err != nil {
			t.Fatal(err)
		}
		pages[write.Operations[0].Put] = page
	}
	return pages
}

// TestRegistrationsAreBatched checks that machines of several rentals that report together are registered
// with few writes, each within the maximum size of a value, and that the next leader finds all of them. No
// machine is registered before the durable record of its rental contains it, as the next leader ignores
// registrations of machines that no rental's record contains.
func TestRegistrationsAreBatched(t *testing.T) {
	const rentals, each = 4, 50
	f := newSchedulerFixture(t, 0)
	for i := range rentals {
		rental := answeredRental("s8", each, func(k int) string { return f.machine(i*each + k) })
		f.step(RentalLoaded{Name: fmt.Sprintf("h-2-%d", i), Version: 7, Record: rental})
	}
	unwritten := f.scheduler.rentals.find("h-2-3")
	unwritten.replyDurable = false // the write of the record that names its machines is in flight
	writes := f.registerAll(rentals * each)
	if len(writes) > 8 {
		t.Errorf("%d registry writes for %d machines, want at most 8", len(writes), rentals*each)
	}
	successor := newSchedulerFixture(t, 0)
	for i := range rentals {
		rental := f.scheduler.rentals.find(fmt.Sprintf("h-2-%d", i))
		successor.step(RentalLoaded{Name: rental.name, Version: 7, Record: rental.record})
	}
	for key, page := range decodeLastPages(t, writes) {
		if !storage.FitsValueLimit(page, f.scheduler.cfg.State.ValueKB) {
			t.Errorf("registry page of %d bytes exceeds the maximum size of a value", storage.EncodedSize(page))
		}
		successor.step(RegistryPageLoaded{Name: key, Version: 9, Record: page})
	}
	for i := range rentals * each {
		written := i < (rentals-1)*each
		if got := f.scheduler.inventory.find(f.machine(i)).registration == registered; got != written {
			t.Fatalf("machine %d: registered = %v, rental's record durable = %v, want both equal", i, got, written)
		}
		m := successor.scheduler.inventory.find(f.machine(i))
		if found := m.registration == registered && m.address != ""; found != written {
			t.Fatalf("machine %d at the next leader: registration %v, address %q, want registered = %v",
				i, m.registration, m.address, written)
		}
	}
	// Once the write of the last rental's record completes, its machines are registered too.
	unwritten.writeInFlight = true
	f.scheduler.pendingWrites[9999] = rentalWrite{rental: unwritten.name, answered: true}
	f.now += limits.RegistryWriteInterval
	f.step(WriteCompleted{ID: 9999, Committed: true, Version: uint64(101 + len(writes))})
	if len(f.registryWrites()) == 0 {
		t.Error("machines not registered after their rental's record was written")
	}
}
