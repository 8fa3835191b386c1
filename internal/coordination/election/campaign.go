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

// errTermsUsedUp means that the term key holds a number after which no term can have attempt numbers of its own.
var errTermsUsedUp = errors.New("no higher term is possible")

// candidacy is one attempt to become the leader.
type candidacy struct {
	leader     storage.LeaderRecord // the value to write to the leader key
	leaseID    uint64               // of the leader lease, to which the leader key is attached
	conditions []protocol.Condition
}

// campaign tries to start a new term with this controller as the leader, under the given
// conditions. It runs the term if it wins. It returns nil after a term that it ran and that has ended, or
// if the election was lost to another controller.
func (e *Elector) campaign(ctx context.Context, conditions ...protocol.Condition) error {
	last, termVersion, err := e.readTerm(ctx)
	if err != nil {
		return err
	}
	if last.Term >= limits.MaxTerm {
		return fmt.Errorf("begin a term after fencing token %d: %w", last.Term, errTermsUsedUp)
	}
	sentAt := time.Now()
	leaseID, err := e.options.Store.CreateLease(ctx, e.options.LeaseDuration)
	if err != nil {
		return fmt.Errorf("create the leader lease: %w", err)
	}
	c := candidacy{
		leader:     storage.LeaderRecord{Node: e.options.Node, Term: last.Term + 1, ProcessNonce: e.voter.nonce},
		leaseID:    leaseID,
		conditions: append(conditions, versionCondition(storage.KeyTerm, termVersion)),
	}
	version, err := e.writeLeader(ctx, c)
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.options.Log.Info("election lost", "term", c.leader.Term, "err", err)
		return nil
	case err != nil:
		return err
	}
	l := NewLeadership(c.leader.Term, version, sentAt.Add(limits.LeaseValidFor(e.options.LeaseDuration)))
	if e.needsVotes() {
		l.requireQuorum(sentAt.Add(limits.LeaseValidFor(e.voter.voteLease)))
	}
	return e.lead(ctx, l, leaseID)
}

// readTerm returns the term record and the version of the term key, which is 0 before the first election. The next
// term is above all fencing tokens that were reserved before.
func (e *Elector) readTerm(ctx context.Context) (last storage.TermRecord, version uint64, err error) {
	key, err := e.options.Store.Get(ctx, storage.KeyTerm)
	if err != nil {
		return last, 0, fmt.Errorf("read the term key: %w", err)
	}
	if key.Version == 0 {
		return last, 0, nil
	}
	if err := protocol.Decode(key.Value, &last); err != nil {
		return last, 0, fmt.Errorf("decode the term key: %w", err)
	}
	return last, key.Version, nil
}

// writeLeader writes the leader key and returns its version. The same transaction writes the term
// and the first heartbeat record, so all three keys get this version. The error is a
// *storage.ConflictError if a condition failed.
func (e *Elector) writeLeader(ctx context.Context, c candidacy) (version uint64, err error) {
	version, err = e.options.Store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: c.conditions,
		Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Value: protocol.Encode(c.leader), Lease: c.leaseID},
			{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: lastFencingToken(c.leader.Term)})},
			{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(storage.LeaderHeartbeat{Term: c.leader.Term})},
		},
	})
	if errors.Is(err, storage.ErrOutcomeUnknown) {
		return e.readOutcome(ctx, c, err)
	}
	if err != nil {
		return 0, fmt.Errorf("write the leader key: %w", err)
	}
	return version, nil
}

// readOutcome reads the leader key after a campaign transaction that was not confirmed. If the key
// holds the record of this candidacy, it returns the version of the key; otherwise it returns an
// error that wraps campaignErr. The transaction may still be applied after that, unless another
// controller has won meanwhile: its conditions then fail. If it is applied, the next call of
// followOrCampaign finds the name of this controller in the leader key and campaigns again.
func (e *Elector) readOutcome(ctx context.Context, c candidacy, campaignErr error) (version uint64, err error) {
	key, err := e.options.Store.Get(ctx, storage.KeyLeader)
	if err != nil {
		return 0, fmt.Errorf("read the leader key after a campaign with unknown outcome: %w", err)
	}
	var leader storage.LeaderRecord
	decoded := key.Version != 0 && protocol.Decode(key.Value, &leader) == nil
	if !decoded || leader != c.leader || key.Lease != c.leaseID {
		return 0, fmt.Errorf("write the leader key: %w", campaignErr)
	}
	return key.Version, nil
}
