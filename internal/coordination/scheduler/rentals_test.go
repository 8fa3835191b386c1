package scheduler

import (
	"testing"

	"quillshunt/internal/limits"
)

// TestPoolBackoff: a pool that refuses machines is left alone for longer each time, up to a limit, until
// it gives all that it is asked for.
func TestPoolBackoff(t *testing.T) {
	env := newTestEnvironment()
	rentals := newRentalTable(env, newMachineInventory(env, newTypeCatalog(env)))
	pool, other := machinePool{"s8", "a", true}, machinePool{"s8", "a", false}
	expected := limits.CapacityBackoffMin
	for range 20 {
		rentals.backOff(pool)
		if got := rentals.poolState(pool).backoffUntil - env.now; got != expected {
			t.Fatalf("left alone for %v, not %v", got, expected)
		}
		if !rentals.isBackedOff(pool) || !rentals.lastAnswerIncomplete(pool) {
			t.Fatal("asked again at once")
		}
		env.now += expected
		if rentals.isBackedOff(pool) || !rentals.lastAnswerIncomplete(pool) {
			t.Fatalf("not asked again after %v", expected)
		}
		expected = min(2*expected, limits.CapacityBackoffMax)
	}
	rentals.resetBackoff(pool)
	if rentals.lastAnswerIncomplete(pool) || rentals.isBackedOff(other) || rentals.lastAnswerIncomplete(other) {
		t.Error("backed off without a refusal")
	}
}

// TestRentalRecord: the name of a rental is durable before the request leaves, one write of its record is
// in flight at a time, and the record is removed once the last machine is gone.
func TestRentalRecordLifecycle(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	rentals := f.scheduler.rentals
	f.tick()
	rentals.rent(machinePool{"s8", "a", false}, 1)
	writes := effectsOf[WriteRecords](f.scheduler.effects)
	if len(writes) != 1 || len(effectsOf[RentMachines](f.scheduler.effects)) != 0 {
		t.Fatalf("before the record is durable: %+v", f.scheduler.effects)
	}
	requests := effectsOf[RentMachines](f.step(WriteCompleted{ID: writes[0].ID, OK: true, Version: 1}))
	if len(requests) != 1 {
		t.Fatalf("not requested: %+v", f.effects)
	}
	name := requests[0].Request.Name
	f.step(RentalDone{Name: name, OK: true, Machines: []string{f.machine(1)}})
	writes = effectsOf[WriteRecords](f.effects)
	if len(writes) != 1 || rentals.find(name).isPending() {
		t.Fatalf("the answer is not written: %+v", f.effects)
	}
	f.step(DeletionDone{Machines: []string{f.machine(1)}, OK: true})
	if again := effectsOf[WriteRecords](f.effects); len(again) != 0 {
		t.Fatalf("a second write in flight: %+v", again)
	}
	f.step(WriteCompleted{ID: writes[0].ID, OK: true, Version: 2})
	removals := effectsOf[WriteRecords](f.effects)
	if len(removals) != 1 || removals[0].Operations[0].Delete == "" {
		t.Fatalf("not removed: %+v", f.effects)
	}
	f.step(WriteCompleted{ID: removals[0].ID, OK: true, Version: 3})
	if rentals.find(name) != nil || rentals.count() != 1 { // the one of the fixture
		t.Errorf("%d rentals are left", rentals.count())
	}
}
