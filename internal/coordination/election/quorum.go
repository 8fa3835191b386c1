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

// quorumRenewer renews the quorum lease of a term. It belongs to keepQuorum.
type quorumRenewer struct {
	elector          *Elector
	leadership       *Leadership
	heartbeatVersion uint64 // key version of the last heartbeat record
	sequence         uint64 // of that record within the term
	renewedAt        time.Time

	// Process nonces by node. A process grants its vote only under a heartbeat that was sent after
	// the leader learned of it, so its nonce is known first, and covered by the next heartbeat.
	knownNonces   map[string]uint64
	coveredNonces map[string]uint64
}

// maintainQuorumLease renews the quorum lease by votes, and by heartbeat records where votes are missing,
// until the term is over.
func (e *Elector) maintainQuorumLease(ctx context.Context, l *Leadership) {
	interval := time.Duration(float64(e.voter.voteLease) * limits.VoteRenewShare)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	r := &quorumRenewer{
		elector: e, leadership: l,
		heartbeatVersion: l.KeyVersion, // the campaign wrote both keys in one transaction
		renewedAt:        time.Now(),
		knownNonces:      map[string]uint64{},
		coveredNonces:    map[string]uint64{},
	}
	for {
		newProcess := r.collectVotes(ctx)
		if newProcess || time.Since(r.renewedAt) > interval {
			if superseded := r.writeHeartbeat(ctx); superseded {
				e.ReportTermLost(l.Term)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// collectVotes asks all controllers for their votes and extends the quorum lease if a majority
// grants them. It reports whether a process answered that the last heartbeat does not cover.
func (r *quorumRenewer) collectVotes(ctx context.Context) (newProcess bool) {
	e := r.elector
	sentAt := time.Now()
	granted := 0
	if e.voter.vote(r.heartbeatVersion, e.voter.nonce).Granted {
		granted++ // our own, which may be withdrawn like any other
	}
	for node, vote := range e.options.Peers.RequestVotes(ctx, r.heartbeatVersion, r.coveredNonces) {
		if vote.Granted {
			granted++
		}
		if vote.ProcessNonce != 0 && vote.ProcessNonce != r.coveredNonces[node] {
			r.knownNonces[node] = vote.ProcessNonce
			newProcess = true
		}
	}
	if granted >= e.quorum() {
		r.extendFrom(sentAt)
	}
	return newProcess
}

// extendFrom extends the quorum lease by what was sent at that time.
func (r *quorumRenewer) extendFrom(sentAt time.Time) {
	r.leadership.extendQuorum(sentAt.Add(limits.LeaseValidFor(r.elector.voter.voteLease)))
	r.renewedAt = sentAt
}

// writeHeartbeat writes the next heartbeat record and extends the quorum lease if that succeeds. It
// reports whether another controller has replaced the leader. Other failures are logged; the next
// round tries again.
func (r *quorumRenewer) writeHeartbeat(ctx context.Context) (superseded bool) {
	nonces := maps.Clone(r.knownNonces) // only processes that are known before the sending are covered
	sentAt := time.Now()
	r.sequence++
	record := storage.LeaderHeartbeat{
		Term:             r.leadership.Term,
		Sequence:         r.sequence,
		ObservedRevision: r.leadership.observedRevision.Load(),
	}
	store := r.elector.options.Store
	version, err := store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{
			r.leadership.FencingCondition(),
			versionCondition(storage.KeyLeaderHeartbeat, r.heartbeatVersion),
		},
		Operations: []protocol.Operation{{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(record)}},
	})
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		r.heartbeatVersion, r.coveredNonces = version, nonces
		r.extendFrom(sentAt)
	case errors.As(err, &conflict) && conflict.Has(storage.KeyLeader):
		return true
	case errors.As(err, &conflict):
		// An earlier heartbeat of ours was written although it got no answer. It was sent after the
		// covered processes were known, so it replaces the last one.
		if key, err := store.Get(ctx, storage.KeyLeaderHeartbeat); err == nil {
			r.heartbeatVersion = key.Version
		}
	default:
		r.elector.options.Log.Debug("writing the heartbeat record failed", "term", r.leadership.Term, "err", err)
	}
	return false
}
