package scheduler

import (
	"testing"

	"quillshunt/internal/limits"
)

// TestPoolBackoff checks that the backoff of a pool without machines doubles up to CapacityBackoffMax, that the
// pool may be tried again after each backoff, and that a complete reply resets it. Other pools are unaffected.
func TestPoolBackoff(t *testing.T) {
	env := newTestEnvironment()
	rentals := newRentalTable(env, newMachineInventory(env, newTypeCatalog(env)))
	pool, other := machinePool{"s8", "a", true}, machinePool{"s8", "a", false}
	expected := limits.CapacityBackoffMin
	for range 20 {
		rentals.backOff(pool)
		if got := rentals.poolState(pool).backoffUntil - env.now; got != expected {
			t.Fatalf("backoff of %v, want %v", got, expected)
		}
		if !rentals.isBackedOff(pool) || !rentals.wasLastReplyIncomplete(pool) {
			t.Fatal("pool is not backed off right after it had no machines")
		}
		env.now += expected
		if rentals.isBackedOff(pool) || !rentals.wasLastReplyIncomplete(pool) {
			t.Fatalf("after a backoff of %v, pool is still backed off or its last reply counts as complete", expected)
		}
		expected = min(2*expected, limits.CapacityBackoffMax)
	}
	rentals.resetBackoff(pool)
	if rentals.wasLastReplyIncomplete(pool) || rentals.isBackedOff(other) || rentals.wasLastReplyIncomplete(other) {
		t.Error("backoff not reset, or another pool is backed off")
	}
}

// TestRentalRecordLifecycle checks that the record of a rental is written before the request is sent, that only
// one write of it is in flight at a time, and that it is removed once the last machine is deleted.
func TestRentalRecordLifecycle(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	rentals := f.scheduler.rentals
	f.tick()
	rentals.startRental(machinePool{"s8", "a", false}, 1)
	writes := effectsOf[WriteRecords](f.scheduler.effects)
	if len(writes) != 1 || len(effectsOf[RentMachines](f.scheduler.effects)) != 0 {
		t.Fatalf("want one write and no request before the record is durable, got %+v", f.scheduler.effects)
	}
	requests := effectsOf[RentMachines](f.step(WriteCompleted{ID: writes[0].ID, Committed: true, Version: 1}))
	if len(requests) != 1 {
		t.Fatalf("want one request once the record is durable, got %+v", f.effects)
	}
	name := requests[0].Request.Name
	f.step(RentalDone{Name: name, OK: true, Machines: []string{f.machine(1)}})
	writes = effectsOf[WriteRecords](f.effects)
	if len(writes) != 1 || rentals.find(name).isPending() {
		t.Fatalf("want one write of the cloud's reply and no pending rental, got %+v", f.effects)
	}
	f.step(DeletionDone{Machines: []string{f.machine(1)}, Confirmed: true})
	if again := effectsOf[WriteRecords](f.effects); len(again) != 0 {
		t.Fatalf("second write of the record while one is in flight: %+v", again)
	}
	f.step(WriteCompleted{ID: writes[0].ID, Committed: true, Version: 2})
	removals := effectsOf[WriteRecords](f.effects)
	if len(removals) != 1 || removals[0].Operations[0].Delete == "" {
		t.Fatalf("record of a rental without machines is not removed: %+v", f.effects)
	}
	f.step(WriteCompleted{ID: removals[0].ID, Committed: true, Version: 3})
	if rentals.find(name) != nil || rentals.count() != 1 { // the rental of the fixture remains
		t.Errorf("%d rentals left after the removal, want only that of the fixture", rentals.count())
	}
}
