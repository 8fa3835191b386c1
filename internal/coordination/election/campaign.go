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

// candidacy is an attempt to become the leader.
type candidacy struct {
	leader     storage.LeaderRecord // to be written to the leader key
	leaseID    uint64               // of the lease that the key is attached to
	conditions []protocol.Condition
}

// campaign tries to become the leader of a new term, under the given conditions, and leads it. It
// returns nil after a term that was led or an election that another controller has won.
func (e *Elector) campaign(ctx context.Context, conditions ...protocol.Condition) error {
	last, termVersion, err := e.readTerm(ctx)
	if err != nil {
		return err
	}
	sentAt := time.Now()
	leaseID, err := e.options.Store.CreateLease(ctx, e.options.LeaseDuration)
	if err != nil {
		return fmt.Errorf("create lease: %w", err)
	}
	c := candidacy{
		leader:     storage.LeaderRecord{Node: e.options.Node, Term: last.Term + 1, ProcessNonce: e.voter.nonce},
		leaseID:    leaseID,
		conditions: append(conditions, unchanged(storage.KeyTerm, termVersion)),
	}
	version, err := e.writeLeader(ctx, c)
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.options.Log.Info("election lost", "term", c.leader.Term)
		return nil
	case err != nil:
		return err
	}
	l := NewLeadership(c.leader.Term, version, sentAt.Add(limits.LeaseValidFor(e.options.LeaseDuration)))
	if e.needsVotes() {
		l.requireQuorum(sentAt.Add(limits.LeaseValidFor(e.voter.lease)))
	}
	e.lead(ctx, l, leaseID)
	return nil
}

// readTerm returns the last term, and the version of its key, which is 0 before the first election.
func (e *Elector) readTerm(ctx context.Context) (last storage.TermRecord, version uint64, err error) {
	key, err := e.options.Store.Get(ctx, storage.KeyTerm)
	if err != nil {
		return last, 0, fmt.Errorf("read term: %w", err)
	}
	if key.Version == 0 {
		return last, 0, nil
	}
	if err := protocol.Decode(key.Value, &last); err != nil {
		return last, 0, fmt.Errorf("read term: %w", err)
	}
	return last, key.Version, nil
}

// writeLeader writes the leader key and returns its version. It writes the term and the
// first heartbeat record in the same transaction, so all three have that version. The error is a
// *storage.ConflictError if a condition failed.
func (e *Elector) writeLeader(ctx context.Context, c candidacy) (version uint64, err error) {
	version, err = e.options.Store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: c.conditions,
		Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Value: protocol.Encode(c.leader), Lease: c.leaseID},
			{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: c.leader.Term})},
			{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(storage.LeaderHeartbeat{Term: c.leader.Term})},
		},
	})
	if errors.Is(err, storage.ErrOutcomeUnknown) {
		return e.findOutcome(ctx, c, err)
	}
	if err != nil {
		return 0, fmt.Errorf("campaign: %w", err)
	}
	return version, nil
}

// findOutcome reads the leader key after a transaction that got no answer, and returns its version if
// it has our record. If not, the error is that of the campaign. The transaction may still be applied
// later: then a later round finds our own name in the key, unless another controller has won in the
// meantime, in which case the conditions fail.
func (e *Elector) findOutcome(ctx context.Context, c candidacy, campaignErr error) (version uint64, err error) {
	key, err := e.options.Store.Get(ctx, storage.KeyLeader)
	if err != nil {
		return 0, fmt.Errorf("read leader after an election with unknown outcome: %w", err)
	}
	var leader storage.LeaderRecord
	decoded := key.Version != 0 && protocol.Decode(key.Value, &leader) == nil
	if !decoded || leader != c.leader || key.Lease != c.leaseID {
		return 0, fmt.Errorf("campaign: %w", campaignErr)
	}
	return key.Version, nil
}
