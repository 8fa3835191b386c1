package scheduler

import (
	"slices"
	"testing"

	"quillshunt/internal/protocol"
)

// newTestEnvironment returns the environment of a term that started at time 0.
func newTestEnvironment() *environment { return New(Config{Term: 3}, 0).environment }

// TestInventory checks that machines are sorted by name, that removed machines are recorded as deleted, and
// that machine types are looked up again once the catalog contains them.
func TestInventory(t *testing.T) {
	env := newTestEnvironment()
	catalog := newTypeCatalog(env)
	inventory := newMachineInventory(env, catalog)
	pool := machinePool{"s8", "a", true}
	for _, name := range []string{"m-2", "m-3", "m-1"} {
		inventory.getOrAdd(name, pool)
	}
	names := func() (names []string) {
		for _, m := range inventory.all() {
			names = append(names, m.name)
		}
		return names
	}
	if got := names(); !slices.Equal(got, []string{"m-1", "m-2", "m-3"}) {
		t.Errorf("machines %v are not sorted by name", got)
	}
	m := inventory.find("m-2")
	if inventory.getOrAdd("m-2", machinePool{}) != m || m.pool() != pool {
		t.Errorf("getOrAdd changed the existing machine; its pool is %+v, want %+v", m.pool(), pool)
	}
	if m.machineType != nil {
		t.Errorf("machine type %+v although the catalog is empty", m.machineType)
	}
	catalog.applyFetchedTypes(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8}}})
	inventory.updateTypes()
	if m.capacity().CPUs != 8 {
		t.Errorf("capacity %+v after the type was added, want 8 CPUs", m.capacity())
	}
	inventory.remove(m)
	if got := names(); !slices.Equal(got, []string{"m-1", "m-3"}) || inventory.find("m-2") != nil {
		t.Errorf("machines %v after m-2 was removed, want m-1 and m-3", got)
	}
	if !inventory.isDeleted("m-2") || inventory.isDeleted("m-1") {
		t.Error("the removed machine is not the one that is recorded as deleted")
	}
}
