package storage

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// TestTypesInParts: machine types of any number are written in values and transactions within the
// limits, and read back in their order, also where they replace others; a set that is written in
// part only is not taken for a whole.
func TestTypesInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New("127.0.0.1:1", config.State{RPS: 1, WriteRPS: 1, ValueKB: 0.5, TxnOps: 4})
		kept := map[string]protocol.Raw{}
		for range 2 {
			var types []protocol.MachineType
			for i := range rapid.IntRange(1, 40).Draw(t, "types") {
				types = append(types, protocol.MachineType{Name: fmt.Sprintf("type-%d", i), CPUs: float64(i), Zones: []string{"a", "b"}})
			}
			stored := StoredMachineTypes{PartVersions: map[string]uint64{}}
			for key := range kept {
				if key != KeyMachineTypes {
					stored.PartVersions[key] = 1
				}
			}
			txns := store.MachineTypesTransactions(stored, types, protocol.Condition{Key: KeyLeader, Version: 1})
			for _, txn := range txns {
				if len(txn.Operations) > 4 || len(txn.Conditions) != len(txn.Operations)+1 {
					t.Fatalf("transaction: %d changes, %d conditions", len(txn.Operations), len(txn.Conditions))
				}
				for _, op := range txn.Operations {
					delete(kept, op.Delete)
					if op.Put != "" {
						kept[op.Put] = op.Value
					}
				}
			}
			if got := readTypes(t, kept); !reflect.DeepEqual(got, types) {
				t.Fatalf("read %d types, wrote %d", len(got), len(types))
			}
		}
		parts := SplitMachineTypes([]protocol.MachineType{{Name: "a", Zones: make([]string, 60)}, {Name: "b", Zones: make([]string, 60)}, {Name: "c", Zones: make([]string, 60)}}, 0.5)
		if _, whole := JoinMachineTypes(parts[1:]); whole || len(parts) != 3 {
			t.Fatalf("%d parts of 3 taken for all", len(parts)-1)
		}
	})
}

// readTypes reads records as ReadTypes does.
func readTypes(t *rapid.T, kept map[string]protocol.Raw) []protocol.MachineType {
	var parts []MachineTypesPart
	for i := 0; kept[MachineTypesPartKey(i)] != nil; i++ {
		var part MachineTypesPart
		if err := protocol.Decode(kept[MachineTypesPartKey(i)], &part); err != nil || !FitsValueLimit(part, 0.5) {
			t.Fatalf("part %d: %v, size %d", i, err, EncodedSize(part))
		}
		parts = append(parts, part)
	}
	if len(parts) > 0 {
		types, whole := JoinMachineTypes(parts)
		if !whole {
			t.Fatalf("%d parts are not whole", len(parts))
		}
		return types
	}
	var whole MachineTypes
	if err := protocol.Decode(kept[KeyMachineTypes], &whole); err != nil {
		t.Fatal(err)
	}
	return whole.MachineTypes
}
