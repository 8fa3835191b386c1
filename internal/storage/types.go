package storage

import (
	"context"
	"errors"
	"fmt"

	"quillshunt/internal/protocol"
)

// ErrNoTypes means that the machine types are not kept yet, or are just being replaced.
var ErrNoTypes = errors.New("machine types not kept yet")

// StoredTypes are the machine types as they are kept, with the versions of their records.
type StoredTypes struct {
	Types []protocol.MachineType
	Whole uint64            // version of the one record; 0: there is none
	Parts map[string]uint64 // versions of the records of parts, by key
}

// ReadTypes reads the machine types. The parts count where they are complete; the one record may then be one of an earlier version of this
// program, which knows no parts.
func (s *Store) ReadTypes(ctx context.Context) (StoredTypes, error) {
	stored := StoredTypes{Parts: map[string]uint64{}}
	var parts []TypesPart
	_, err := s.List(ctx, PrefixTypes, func(p protocol.Pair) error {
		var part TypesPart
		if err := protocol.Decode(p.Value, &part); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		parts = append(parts, part)
		stored.Parts[p.Key] = p.Version
		return nil
	})
	if err != nil {
		return stored, err
	}
	p, err := s.Get(ctx, KeyTypes)
	if err != nil {
		return stored, err
	}
	stored.Whole = p.Version
	if len(parts) > 0 {
		types, complete := JoinTypes(parts)
		if !complete {
			return stored, ErrNoTypes
		}
		stored.Types = types
		return stored, nil
	}
	var whole Types
	if p.Version == 0 {
		return stored, ErrNoTypes
	}
	if err := protocol.Decode(p.Value, &whole); err != nil {
		return stored, fmt.Errorf("%s: %w", KeyTypes, err)
	}
	stored.Types = whole.MachineTypes
	return stored, nil
}

// TypesWrites are the transactions that keep machine types in place of what is stored, each within the limits of the service. The guard is
// that of the leader.
func (s *Store) TypesWrites(stored StoredTypes, types []protocol.MachineType, guard protocol.Condition) []protocol.Txn {
	var ops []protocol.Op
	conditions := map[string]uint64{}
	whole := Types{MachineTypes: types}
	keep := map[string]bool{}
	if Fits(whole, s.settings.ValueKB) {
		ops = append(ops, protocol.Op{Put: KeyTypes, Value: protocol.Encode(whole)})
		conditions[KeyTypes] = stored.Whole
	} else {
		for i, part := range SplitTypes(types, s.settings.ValueKB) {
			key := TypesKey(i)
			ops = append(ops, protocol.Op{Put: key, Value: protocol.Encode(part)})
			conditions[key], keep[key] = stored.Parts[key], true
		}
	}
	for key, version := range stored.Parts {
		if !keep[key] {
			ops = append(ops, protocol.Op{Delete: key})
			conditions[key] = version
		}
	}
	var txns []protocol.Txn
	for len(ops) > 0 {
		n := min(len(ops), s.settings.TxnOps)
		t := protocol.Txn{Conditions: []protocol.Condition{guard}, Ops: ops[:n]}
		for _, op := range t.Ops {
			key := op.Put + op.Delete
			t.Conditions = append(t.Conditions, protocol.Condition{Key: key, Version: conditions[key]})
		}
		txns, ops = append(txns, t), ops[n:]
	}
	return txns
}
