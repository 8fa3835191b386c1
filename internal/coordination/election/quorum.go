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
	heartbeatVersion uint64 // version of the last known heartbeat record, which this term has written
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
	interval := limits.Scale(e.voter.voteLease, limits.VoteRenewShare)
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
		r.extendFrom(sentAt, "votes")
	}
	return newProcess
}

// extendFrom extends the quorum lease after a successful renewal. The lease counts from sentAt, when
// the request of the renewal was sent. The log says what has renewed it.
func (r *quorumRenewer) extendFrom(sentAt time.Time, renewedBy string) {
	r.leadership.extendQuorum(sentAt.Add(limits.LeaseValidFor(r.elector.voter.voteLease)))
	r.renewedAt = sentAt
	r.elector.options.Log.Debug("quorum lease renewed", "term", r.leadership.Term,
		"by", renewedBy, "heartbeat_version", r.heartbeatVersion)
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
		r.extendFrom(sentAt, "heartbeat record")
	case errors.As(err, &conflict) && conflict.HasFailedKey(storage.KeyLeader):
		return true
	case errors.As(err, &conflict):
		return r.adoptHeartbeat(ctx)
	default:
		r.elector.options.Log.Debug("failed to write the heartbeat record", "term", r.leadership.Term, "err", err)
	}
	return false
}

// adoptHeartbeat makes the stored heartbeat record the last known one, after a write has failed because
// another record than the last known one is stored. It reports whether another controller has replaced
// the leader.
//
// If the stored record is of this term, an earlier write was applied but not confirmed. That record was
// sent after all covered nonces were known, so it can serve as the last known record. A record of
// another term is that of a successor, which may have replaced the leader since the failed write. It
// must not be adopted: the controllers that have withdrawn their votes from this term would grant them
// for the successor's version.
func (r *quorumRenewer) adoptHeartbeat(ctx context.Context) (superseded bool) {
	log := r.elector.options.Log
	key, err := r.elector.options.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		log.Debug("failed to read the heartbeat record", "term", r.leadership.Term, "err", err)
		return false
	}
	var record storage.LeaderHeartbeat
	if err := protocol.Decode(key.Value, &record); key.Version == 0 || err != nil {
		log.Error("heartbeat record missing or malformed",
			"term", r.leadership.Term, "version", key.Version, "err", err)
		return false
	}
	log.Info("heartbeat record found that was not confirmed", "term", r.leadership.Term, "version", key.Version,
		"record_term", record.Term, "last_known_version", r.heartbeatVersion)
	if record.Term != r.leadership.Term {
		return true
	}
	r.heartbeatVersion = key.Version
	return false
}
