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

// quorumRenewer renews the quorum lease of a term. Only maintainQuorumLease uses it.
type quorumRenewer struct {
	elector          *Elector
	leadership       *Leadership
	heartbeatVersion uint64 // version of the last known heartbeat record
	sequence         uint64 // sequence number of the last record sent in this term
	renewedAt        time.Time

	// The nonces of the processes that replied to vote requests, by node name. A process grants its
	// vote only for a heartbeat record that was sent after the leader had received its nonce.
	// knownNonces holds all nonces received so far, coveredNonces those that were received before the
	// last known heartbeat record was sent.
	knownNonces   map[string]uint64
	coveredNonces map[string]uint64
}

// maintainQuorumLease renews the quorum lease until the term is over, by votes, or by heartbeat
// records if a majority does not vote.
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

// collectVotes requests the votes of all controllers, and extends the quorum lease if a majority
// grants them. It reports whether a process replied whose nonce the last heartbeat record does not
// cover.
func (r *quorumRenewer) collectVotes(ctx context.Context) (newProcess bool) {
	e := r.elector
	sentAt := time.Now()
	granted := 0
	if e.voter.vote(r.heartbeatVersion, e.voter.nonce).Granted {
		granted++ // the leader's own vote, which can be withdrawn like any other
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
	if granted >= e.quorumSize() {
		r.extendFrom(sentAt)
	}
	return newProcess
}

// extendFrom extends the quorum lease after a successful renewal. The lease counts from sentAt, when
// the request of the renewal was sent.
func (r *quorumRenewer) extendFrom(sentAt time.Time) {
	r.leadership.extendQuorum(sentAt.Add(limits.LeaseValidFor(r.elector.voter.voteLease)))
	r.renewedAt = sentAt
}

// writeHeartbeat writes the next heartbeat record, and extends the quorum lease if that succeeds.
// It reports whether another controller has replaced the leader. After any other failure, the
// caller tries again at the next tick of its ticker.
func (r *quorumRenewer) writeHeartbeat(ctx context.Context) (superseded bool) {
	nonces := maps.Clone(r.knownNonces) // the record covers only nonces known before it is sent
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
	case errors.As(err, &conflict) && conflict.HasFailedKey(storage.KeyLeader):
		return true
	case errors.As(err, &conflict):
		// An earlier heartbeat record of this leader was applied but not confirmed. It was sent after
		// all covered nonces were known, so it can serve as the last known record.
		if key, err := store.Get(ctx, storage.KeyLeaderHeartbeat); err == nil {
			r.heartbeatVersion = key.Version
		}
	default:
		r.elector.options.Log.Debug("failed to write the heartbeat record", "term", r.leadership.Term, "err", err)
	}
	return false
}
