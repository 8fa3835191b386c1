package storage

import (
	"context"
	"fmt"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Keys of the machine types, which are stored as a single record, or as several parts if a single record
// would be too large.
const (
	KeyMachineTypes        = "types"
	PrefixMachineTypesPart = "type/" // followed by the part's number
)

// MachineTypesPartKey returns the key of a part of the machine types.
func MachineTypesPartKey(part int) string { return fmt.Sprintf("%s%03d", PrefixMachineTypesPart, part) }

// MachineTypes is a stored copy of the cloud's machine types. With it, a restarted controller can check
// submissions without calling the cloud.
type MachineTypes struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
}

// MachineTypesPart is one of several records that together hold the machine types if a single record
// would exceed the value limit.
type MachineTypesPart struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
	Parts        int                    `cbor:"Parts" json:"Parts"` // number of parts
}

// SplitMachineTypes divides machine types into parts that fit the value limit. A type that alone exceeds
// the limit gets a part of its own.
func SplitMachineTypes(types []protocol.MachineType, valueKB float64) []MachineTypesPart {
	var parts []MachineTypesPart
	for _, t := range types {
		if last := len(parts) - 1; last >= 0 {
			extended := MachineTypesPart{
				MachineTypes: append(slices.Clone(parts[last].MachineTypes), t),
				Parts:        limits.MaxMachineTypes, // not known yet; no number of parts has more digits
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

// JoinMachineTypes returns the machine types of all parts. It returns false if parts are missing, for
// example because another transaction has yet to write them.
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

// StoredMachineTypes are the machine types in the state service, with the versions of their records.
type StoredMachineTypes struct {
	Types               []protocol.MachineType
	SingleRecordVersion uint64            // version of the record at KeyMachineTypes; 0: no such record
	PartVersions        map[string]uint64 // versions of the parts, by key
}

// ReadMachineTypes reads the machine types. If none are stored, or parts are missing, the error wraps
// ErrNoMachineTypes, and the versions of the records that exist are still returned. If there are parts,
// the single record is ignored: an earlier version of this program, which does not support parts, may
// have written it.
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

// decodeMachineTypes returns the machine types of the parts, or those of the single record if there are
// no parts.
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

// MachineTypesTransactions returns the transactions that replace the stored machine types by types. Each
// is within the limits of the service and has the leader's fencing condition as its first condition.
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

// machineTypesOperations returns the operations that write machine types, as a single record if that fits
// the value limit, and that remove stored parts which are no longer needed.
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

// recordVersion returns the version of the record at a key, or 0 if there is no such record.
func (s StoredMachineTypes) recordVersion(key string) uint64 {
	if key == KeyMachineTypes {
		return s.SingleRecordVersion
	}
	return s.PartVersions[key]
}
