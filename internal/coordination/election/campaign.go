package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// campaign tries to become leader of a new term, if what it is guarded by still holds.
func (e *Elector) campaign(ctx context.Context, guards ...protocol.Condition) error {
	tp, err := e.Store.Get(ctx, storage.KeyTerm)
	if err != nil {
		return fmt.Errorf("read term: %w", err)
	}
	var last storage.TermRecord
	if tp.Version != 0 {
		if err := protocol.Decode(tp.Value, &last); err != nil {
			return fmt.Errorf("read term: %w", err)
		}
	}
	sent := time.Now()
	tenure, err := e.Store.CreateLease(ctx, e.LeaseDuration)
	if err != nil {
		return fmt.Errorf("create hold: %w", err)
	}
	me := storage.LeaderRecord{Node: e.Node, Term: last.Term + 1, Nonce: e.voter.nonce}
	rev, err := e.Store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: append(guards, protocol.Condition{Key: storage.KeyTerm, Version: tp.Version}),
		Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Value: protocol.Encode(me), Lease: tenure},
			{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: me.Term})},
			{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(storage.LeaderHeartbeat{Term: me.Term})},
		},
	})
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.Log.Info("election lost", "term", me.Term)
		return nil
	case errors.Is(err, storage.ErrOutcomeUnknown):
		// It may have been carried out: the key tells. If it is not there yet, the guards keep it
		// out once somebody else has won, and a later round of ours finds it under our own name.
		p, gerr := e.Store.Get(ctx, storage.KeyLeader)
		if gerr != nil {
			return fmt.Errorf("read leader after unclear election: %w", gerr)
		}
		var l storage.LeaderRecord
		if p.Version == 0 || protocol.Decode(p.Value, &l) != nil || l != me || p.Lease != tenure {
			return fmt.Errorf("campaign: %w", err)
		}
		rev = p.Version
	case err != nil:
		return fmt.Errorf("campaign: %w", err)
	}
	m := NewLeadership(me.Term, rev, sent.Add(limits.EntitledFor(e.LeaseDuration)))
	if e.needsVotes() {
		m.quorumUntil.Store(int64(sent.Add(limits.EntitledFor(e.voter.lease)).Sub(m.startedAt)))
	}
	e.lead(ctx, m, tenure)
	return nil
}
