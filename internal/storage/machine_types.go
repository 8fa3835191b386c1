package storage

import (
	"context"
	"fmt"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Keys of the machine types: one record, or several parts if one record would be too large.
const (
	KeyMachineTypes        = "types"
	PrefixMachineTypesPart = "type/" // followed by the part's number
)

// MachineTypesPartKey returns the key of a part of the machine types.
func MachineTypesPartKey(part int) string { return fmt.Sprintf("%s%03d", PrefixMachineTypesPart, part) }

// MachineTypes is a copy of the cloud's machine types, so that a controller can check submissions
// after a restart.
type MachineTypes struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
}

// MachineTypesPart is one of several records that together replace a MachineTypes that is too large.
type MachineTypesPart struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
	Parts        int                    `cbor:"Parts" json:"Parts"` // how many parts there are
}

// SplitMachineTypes cuts machine types into parts that fit the value limit. A type that is too large
// by itself gets a part of its own.
func SplitMachineTypes(types []protocol.MachineType, valueKB float64) []MachineTypesPart {
	var parts []MachineTypesPart
	for _, t := range types {
		if last := len(parts) - 1; last >= 0 {
			extended := MachineTypesPart{
				MachineTypes: append(slices.Clone(parts[last].MachineTypes), t),
				Parts:        limits.MaxMachineTypes, // the widest number that can stand here
			}
			if FitsValueLimit(extended, valueKB) {
				parts[last] = extended
				continue
			}
		}
		parts = append(parts, MachineTypesPart{MachineTypes: []protocol.MachineType{t}})
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// JoinMachineTypes puts parts together again. It returns false if some are missing, as while they
// are being written.
func JoinMachineTypes(parts []MachineTypesPart) ([]protocol.MachineType, bool) {
	var types []protocol.MachineType
	for _, part := range parts {
		if part.Parts != len(parts) {
			return nil, false
		}
		types = append(types, part.MachineTypes...)
	}
	return types, len(parts) > 0
}

// StoredMachineTypes are the machine types as they are stored, with the versions of their records.
type StoredMachineTypes struct {
	Types               []protocol.MachineType
	SingleRecordVersion uint64            // version of the record at KeyMachineTypes; 0: there is none
	PartVersions        map[string]uint64 // versions of the records of parts, by key
}

// ReadMachineTypes reads the machine types. If there are no complete ones, the error wraps
// ErrNoMachineTypes, and the versions of the records are returned all the same. Parts count before
// the single record: that one may come from an earlier version of this program, which knows no
// parts.
func (s *Store) ReadMachineTypes(ctx context.Context) (StoredMachineTypes, error) {
	stored := StoredMachineTypes{PartVersions: map[string]uint64{}}
	var parts []MachineTypesPart
	_, err := s.List(ctx, PrefixMachineTypesPart, func(kv protocol.KeyValue) error {
		var part MachineTypesPart
		if err := protocol.Decode(kv.Value, &part); err != nil {
			return fmt.Errorf("decode %s: %w", kv.Key, err)
		}
		parts = append(parts, part)
		stored.PartVersions[kv.Key] = kv.Version
		return nil
	})
	if err != nil {
		return stored, fmt.Errorf("read machine types: %w", err)
	}
	single, err := s.Get(ctx, KeyMachineTypes)
	if err != nil {
		return stored, fmt.Errorf("read machine types: %w", err)
	}
	stored.SingleRecordVersion = single.Version
	if stored.Types, err = decodeMachineTypes(parts, single); err != nil {
		return stored, fmt.Errorf("read machine types: %w", err)
	}
	return stored, nil
}

// chooseMachineTypes returns the machine types of the parts, or those of the single record if there
// are no parts.
func decodeMachineTypes(parts []MachineTypesPart, single protocol.KeyValue) ([]protocol.MachineType, error) {
	if len(parts) > 0 {
		types, complete := JoinMachineTypes(parts)
		if !complete {
			return nil, ErrNoMachineTypes
		}
		return types, nil
	}
	if single.Version == 0 {
		return nil, ErrNoMachineTypes
	}
	var record MachineTypes
	if err := protocol.Decode(single.Value, &record); err != nil {
		return nil, fmt.Errorf("decode %s: %w", KeyMachineTypes, err)
	}
	return record.MachineTypes, nil
}

// MachineTypesTransactions returns the transactions that replace the stored machine types by others,
// each within the limits of the service. Each has the leader's guard as its first condition.
func (s *Store) MachineTypesTransactions(
	stored StoredMachineTypes, types []protocol.MachineType, fencingCondition protocol.Condition,
) []protocol.Transaction {
	operations := s.machineTypesOperations(stored, types)
	var transactions []protocol.Transaction
	for batch := range slices.Chunk(operations, s.serviceLimits.TxnOps) {
		t := protocol.Transaction{Conditions: []protocol.Condition{fencingCondition}, Operations: batch}
		for _, op := range batch {
			key := op.Put + op.Delete // one of them is empty
			t.Conditions = append(t.Conditions, protocol.Condition{Key: key, Version: stored.recordVersion(key)})
		}
		transactions = append(transactions, t)
	}
	return transactions
}

// machineTypesOperations returns the operations that write machine types, in one record if that
// fits, and remove the stored parts that are not needed any more.
func (s *Store) machineTypesOperations(
	stored StoredMachineTypes, types []protocol.MachineType,
) []protocol.Operation {
	var operations []protocol.Operation
	written := map[string]bool{}
	put := func(key string, record any) {
		operations = append(operations, protocol.Operation{Put: key, Value: protocol.Encode(record)})
		written[key] = true
	}
	if single := (MachineTypes{MachineTypes: types}); FitsValueLimit(single, s.serviceLimits.ValueKB) {
		put(KeyMachineTypes, single)
	} else {
		for i, part := range SplitMachineTypes(types, s.serviceLimits.ValueKB) {
			put(MachineTypesPartKey(i), part)
		}
	}
	for key := range stored.PartVersions {
		if !written[key] {
			operations = append(operations, protocol.Operation{Delete: key})
		}
	}
	return operations
}

// version returns the version of one of the records, or 0 if it does not exist.
func (s StoredMachineTypes) recordVersion(key string) uint64 {
	if key == KeyMachineTypes {
		return s.SingleRecordVersion
	}
	return s.PartVersions[key]
}
