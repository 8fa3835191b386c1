package storage

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// TestMachineTypesRoundTrip checks that any number of machine types is written in records and
// transactions within the limits and read back in order, also when it replaces stored machine types. If
// a part is missing, the others must not count as complete.
func TestMachineTypesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New("127.0.0.1:1", config.StateLimits{RPS: 1, WriteRPS: 1, ValueKB: 0.5, TxnOps: 4})
		records := map[string]protocol.Raw{}
		for range 2 {
			var types []protocol.MachineType
			for i := range rapid.IntRange(1, 40).Draw(t, "types") {
				types = append(types, protocol.MachineType{
					Name: fmt.Sprintf("type-%d", i), CPUs: float64(i), Zones: []string{"a", "b"},
				})
			}
			stored := StoredMachineTypes{PartVersions: map[string]uint64{}}
			for key := range records {
				if key != KeyMachineTypes {
					stored.PartVersions[key] = 1
				}
			}
			fencingCondition := protocol.Condition{Key: KeyLeader, Version: 1}
			for _, txn := range store.MachineTypesTransactions(stored, types, fencingCondition) {
				if len(txn.Operations) > 4 || len(txn.Conditions) != len(txn.Operations)+1 {
					t.Fatalf("transaction with %d operations, want at most 4, and %d conditions, want one more",
						len(txn.Operations), len(txn.Conditions))
				}
				for _, op := range txn.Operations {
					delete(records, op.Delete)
					if op.Put != "" {
						records[op.Put] = op.Value
					}
				}
			}
			if got := readMachineTypes(t, records); !reflect.DeepEqual(got, types) {
				t.Fatalf("read %d machine types that differ from the %d written", len(got), len(types))
			}
		}
		parts := SplitMachineTypes([]protocol.MachineType{
			{Name: "a", Zones: make([]string, 60)},
			{Name: "b", Zones: make([]string, 60)},
			{Name: "c", Zones: make([]string, 60)},
		}, 0.5)
		if _, complete := JoinMachineTypes(parts[1:]); complete || len(parts) != 3 {
			t.Fatalf("types split into %d parts, want 3; without the first, complete is %v, want false",
				len(parts), complete)
		}
	})
}

// readMachineTypes decodes the machine types from records, as Store.ReadMachineTypes does, and checks the
// size of the parts.
func readMachineTypes(t *rapid.T, records map[string]protocol.Raw) []protocol.MachineType {
	t.Helper()
	var parts []MachineTypesPart
	for i := 0; records[MachineTypesPartKey(i)] != nil; i++ {
		var part MachineTypesPart
		if err := protocol.Decode(records[MachineTypesPartKey(i)], &part); err != nil || !FitsValueLimit(part, 0.5) {
			t.Fatalf("part %d: decoding error %v, size %d bytes", i, err, EncodedSize(part))
		}
		parts = append(parts, part)
	}
	if len(parts) > 0 {
		types, complete := JoinMachineTypes(parts)
		if !complete {
			t.Fatalf("JoinMachineTypes reports that parts are missing; it got %d", len(parts))
		}
		return types
	}
	var single MachineTypes
	if err := protocol.Decode(records[KeyMachineTypes], &single); err != nil {
		t.Fatal(err)
	}
	return single.MachineTypes
}
