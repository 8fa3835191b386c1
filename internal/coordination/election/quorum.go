package election

import (
	"context"
	"errors"
	"maps"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// quorumKeeper renews the quorum lease of a term. It belongs to keepQuorum.
type quorumKeeper struct {
	elector    *Elector
	leadership *Leadership
	heartbeat  uint64 // key version of the last heartbeat record
	sequence   uint64 // of that record within the term
	renewedAt  time.Time

	// Process nonces by node. A process grants its vote only under a heartbeat that was sent after
	// the leader learned of it, so its nonce is known first, and covered by the next heartbeat.
	known   map[string]uint64
	covered map[string]uint64
}

// keepQuorum renews the quorum lease by votes, and by heartbeat records where votes are missing,
// until the term is over.
func (e *Elector) keepQuorum(ctx context.Context, l *Leadership) {
	interval := time.Duration(float64(e.voter.lease) * limits.VoteRenewShare)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	k := &quorumKeeper{
		elector: e, leadership: l,
		heartbeat: l.KeyVersion, // the campaign wrote both keys in one transaction
		renewedAt: time.Now(),
		known:     map[string]uint64{},
		covered:   map[string]uint64{},
	}
	for {
		newProcess := k.collectVotes(ctx)
		if newProcess || time.Since(k.renewedAt) > interval {
			if superseded := k.writeHeartbeat(ctx); superseded {
				e.TermLost(l.Term)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// collectVotes asks all controllers for their votes and extends the quorum lease if a majority
// grants them. It reports whether a process answered that the last heartbeat does not cover.
func (k *quorumKeeper) collectVotes(ctx context.Context) (newProcess bool) {
	e := k.elector
	sentAt := time.Now()
	granted := 0
	if e.voter.vote(k.heartbeat, e.voter.nonce).Granted {
		granted++ // our own, which may be withdrawn like any other
	}
	for node, vote := range e.options.Peers.RequestVotes(ctx, k.heartbeat, k.covered) {
		if vote.Granted {
			granted++
		}
		if vote.ProcessNonce != 0 && vote.ProcessNonce != k.covered[node] {
			k.known[node] = vote.ProcessNonce
			newProcess = true
		}
	}
	if granted >= e.quorum() {
		k.extend(sentAt)
	}
	return newProcess
}

// extend extends the quorum lease by what was sent at that time.
func (k *quorumKeeper) extend(sentAt time.Time) {
	k.leadership.extendQuorum(sentAt.Add(limits.LeaseValidFor(k.elector.voter.lease)))
	k.renewedAt = sentAt
}

// writeHeartbeat writes the next heartbeat record and extends the quorum lease if that succeeds. It
// reports whether another controller has replaced the leader. Other failures are logged; the next
// round tries again.
func (k *quorumKeeper) writeHeartbeat(ctx context.Context) (superseded bool) {
	known := maps.Clone(k.known) // only processes that are known before the sending are covered
	sentAt := time.Now()
	k.sequence++
	record := storage.LeaderHeartbeat{
		Term:             k.leadership.Term,
		Sequence:         k.sequence,
		ObservedRevision: k.leadership.observedRevision.Load(),
	}
	store := k.elector.options.Store
	version, err := store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{k.leadership.Guard(), unchanged(storage.KeyLeaderHeartbeat, k.heartbeat)},
		Operations: []protocol.Operation{{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(record)}},
	})
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		k.heartbeat, k.covered = version, known
		k.extend(sentAt)
	case errors.As(err, &conflict) && conflict.Has(storage.KeyLeader):
		return true
	case errors.As(err, &conflict):
		// An earlier heartbeat of ours was written although it got no answer. It was sent after the
		// covered processes were known, so it replaces the last one.
		if key, err := store.Get(ctx, storage.KeyLeaderHeartbeat); err == nil {
			k.heartbeat = key.Version
		}
	default:
		k.elector.options.Log.Debug("writing the heartbeat record failed", "term", k.leadership.Term, "err", err)
	}
	return false
}
