package storage

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Keys of the machine types.
const (
	KeyMachineTypes        = "types"
	PrefixMachineTypesPart = "type/"
)

// MachineTypesPartKey is where a part of the machine types is kept.
func MachineTypesPartKey(part int) string { return fmt.Sprintf("%s%03d", PrefixMachineTypesPart, part) }

// MachineTypes caches the machine types, so that a node can check submissions after a restart. They
// are kept under KeyTypes, or, if that would be too large a value, in parts under PrefixTypes.
type MachineTypes struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
}

// MachineTypesPart is one of several records that hold the machine types together.
type MachineTypesPart struct {
	MachineTypes []protocol.MachineType `cbor:"Rigkinds" json:"Rigkinds"`
	Parts        int                    `cbor:"Parts" json:"Parts"`
}

// SplitMachineTypes cuts machine types into parts that fit; a type that is too large by itself gets
// a part of its own.
func SplitMachineTypes(types []protocol.MachineType, valueKB float64) []MachineTypesPart {
	var parts []MachineTypesPart
	for _, t := range types {
		if last := len(parts) - 1; last >= 0 {
			grown := MachineTypesPart{MachineTypes: append(slices.Clone(parts[last].MachineTypes), t), Parts: limits.MaxMachineTypes}
			if FitsValueLimit(grown, valueKB) {
				parts[last] = grown
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
	for _, p := range parts {
		if p.Parts != len(parts) {
			return nil, false
		}
		types = append(types, p.MachineTypes...)
	}
	return types, len(parts) > 0
}

// ErrNoMachineTypes means that the machine types are not kept yet, or are just being replaced.
var ErrNoMachineTypes = errors.New("machine types not kept yet")

// StoredMachineTypes are the machine types as they are kept, with the versions of their records.
type StoredMachineTypes struct {
	Types               []protocol.MachineType
	SingleRecordVersion uint64            // version of the one record; 0: there is none
	PartVersions        map[string]uint64 // versions of the records of parts, by key
}

// ReadMachineTypes reads the machine types. The parts count where they are complete; the one record
// may then be one of an earlier version of this program, which knows no parts.
func (s *Store) ReadMachineTypes(ctx context.Context) (StoredMachineTypes, error) {
	stored := StoredMachineTypes{PartVersions: map[string]uint64{}}
	var parts []MachineTypesPart
	_, err := s.List(ctx, PrefixMachineTypesPart, func(p protocol.KeyValue) error {
		var part MachineTypesPart
		if err := protocol.Decode(p.Value, &part); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		parts = append(parts, part)
		stored.PartVersions[p.Key] = p.Version
		return nil
	})
	if err != nil {
		return stored, err
	}
	p, err := s.Get(ctx, KeyMachineTypes)
	if err != nil {
		return stored, err
	}
	stored.SingleRecordVersion = p.Version
	if len(parts) > 0 {
		types, complete := JoinMachineTypes(parts)
		if !complete {
			return stored, ErrNoMachineTypes
		}
		stored.Types = types
		return stored, nil
	}
	var whole MachineTypes
	if p.Version == 0 {
		return stored, ErrNoMachineTypes
	}
	if err := protocol.Decode(p.Value, &whole); err != nil {
		return stored, fmt.Errorf("%s: %w", KeyMachineTypes, err)
	}
	stored.Types = whole.MachineTypes
	return stored, nil
}

// MachineTypesTransactions are the transactions that keep machine types in place of what is stored,
// each within the limits of the service. The guard is that of the leader.
func (s *Store) MachineTypesTransactions(stored StoredMachineTypes, types []protocol.MachineType, guard protocol.Condition) []protocol.Transaction {
	var ops []protocol.Operation
	conditions := map[string]uint64{}
	whole := MachineTypes{MachineTypes: types}
	keep := map[string]bool{}
	if FitsValueLimit(whole, s.settings.ValueKB) {
		ops = append(ops, protocol.Operation{Put: KeyMachineTypes, Value: protocol.Encode(whole)})
		conditions[KeyMachineTypes] = stored.SingleRecordVersion
	} else {
		for i, part := range SplitMachineTypes(types, s.settings.ValueKB) {
			key := MachineTypesPartKey(i)
			ops = append(ops, protocol.Operation{Put: key, Value: protocol.Encode(part)})
			conditions[key], keep[key] = stored.PartVersions[key], true
		}
	}
	for key, version := range stored.PartVersions {
		if !keep[key] {
			ops = append(ops, protocol.Operation{Delete: key})
			conditions[key] = version
		}
	}
	var txns []protocol.Transaction
	for len(ops) > 0 {
		n := min(len(ops), s.settings.TxnOps)
		t := protocol.Transaction{Conditions: []protocol.Condition{guard}, Operations: ops[:n]}
		for _, op := range t.Operations {
			key := op.Put + op.Delete
			t.Conditions = append(t.Conditions, protocol.Condition{Key: key, Version: conditions[key]})
		}
		txns, ops = append(txns, t), ops[n:]
	}
	return txns
}
