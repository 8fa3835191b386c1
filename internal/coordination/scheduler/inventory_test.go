package scheduler

import (
	"slices"
	"testing"

	"quillshunt/internal/protocol"
)

// newTestEnvironment returns the environment of a term that began at 0.
func newTestEnvironment() *environment { return New(Config{Term: 3}, 0).environment }

// TestInventory: machines are sorted by name, those that are removed are remembered, and types that
// become known later are looked up again.
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
		t.Errorf("machines %v", got)
	}
	m := inventory.find("m-2")
	if inventory.getOrAdd("m-2", machinePool{}) != m || m.pool() != pool {
		t.Errorf("found again as %+v", m.pool())
	}
	if m.machineType != nil {
		t.Errorf("type %+v of an empty catalog", m.machineType)
	}
	catalog.fetched(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8}}})
	inventory.updateTypes()
	if m.capacity().CPUs != 8 {
		t.Errorf("size %+v once the type is known", m.capacity())
	}
	inventory.remove(m)
	if got := names(); !slices.Equal(got, []string{"m-1", "m-3"}) || inventory.find("m-2") != nil {
		t.Errorf("machines %v after one is removed", got)
	}
	if !inventory.isDeleted("m-2") || inventory.isDeleted("m-1") {
		t.Error("not remembered which machine was deleted")
	}
}
