package storage

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// TestTypesInParts: machine types of any number are written in values and transactions within the limits, and read back in their
// order, also where they replace others; a set that is written in part only is not taken for a whole.
func TestTypesInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New("127.0.0.1:1", config.State{RPS: 1, WriteRPS: 1, ValueKB: 0.5, TxnOps: 4})
		kept := map[string]protocol.Raw{}
		for range 2 {
			var types []protocol.MachineType
			for i := range rapid.IntRange(1, 40).Draw(t, "types") {
				types = append(types, protocol.MachineType{Name: fmt.Sprintf("type-%d", i), CPUs: float64(i), Zones: []string{"a", "b"}})
			}
			stored := StoredTypes{Parts: map[string]uint64{}}
			for key := range kept {
				if key != KeyTypes {
					stored.Parts[key] = 1
				}
			}
			txns := store.TypesWrites(stored, types, protocol.Condition{Key: KeyLeader, Version: 1})
			for _, txn := range txns {
				if len(txn.Ops) > 4 || len(txn.Conditions) != len(txn.Ops)+1 {
					t.Fatalf("transaction: %d changes, %d conditions", len(txn.Ops), len(txn.Conditions))
				}
				for _, op := range txn.Ops {
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
		parts := SplitTypes([]protocol.MachineType{{Name: "a", Zones: make([]string, 60)}, {Name: "b", Zones: make([]string, 60)}, {Name: "c", Zones: make([]string, 60)}}, 0.5)
		if _, whole := JoinTypes(parts[1:]); whole || len(parts) != 3 {
			t.Fatalf("%d parts of 3 taken for all", len(parts)-1)
		}
	})
}

// readTypes reads records as ReadTypes does.
func readTypes(t *rapid.T, kept map[string]protocol.Raw) []protocol.MachineType {
	var parts []TypesPart
	for i := 0; kept[TypesKey(i)] != nil; i++ {
		var part TypesPart
		if err := protocol.Decode(kept[TypesKey(i)], &part); err != nil || !Fits(part, 0.5) {
			t.Fatalf("part %d: %v, size %d", i, err, Size(part))
		}
		parts = append(parts, part)
	}
	if len(parts) > 0 {
		types, whole := JoinTypes(parts)
		if !whole {
			t.Fatalf("%d parts are not whole", len(parts))
		}
		return types
	}
	var whole Types
	if err := protocol.Decode(kept[KeyTypes], &whole); err != nil {
		t.Fatal(err)
	}
	return whole.MachineTypes
}

// TestRentalFits: the record of a rental with as many machines as it may be for fits.
func TestRentalFits(t *testing.T) {
	for _, kb := range []float64{0.5, 1, 2, 4} {
		r := Rental{MachineType: "a-type-with-a-rather-long-name", Zone: "a-zone-with-a-rather-long-name", Count: 50, Answered: true}
		for i := range RentalMachines(kb) {
			r.Machines = append(r.Machines, fmt.Sprintf("machine-of-the-cloud-%06d", i))
		}
		if !Fits(r, kb) {
			t.Errorf("%v KB: %d machines take %d bytes", kb, len(r.Machines), Size(r))
		}
	}
}
