package election

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// The hold has to outlast an outage of the state service, so it is long, and a leader that is cut
// off would keep the lead that long. Pledges make that time short: a leader is entitled only while,
// beside its hold, a majority of the controllers has lately pledged to it, or it has lately written
// its heartbeat. Another controller may replace it before its hold ends if a majority has let go of
// it, each on record in the state service, and the heartbeat has not changed for the life of a
// pledge, by which its election is guarded. docs/design/leadership.md has the proof.

// voter is what this process has promised. A process that has just come back does not know what the
// one before it had promised: it sits the longest pledge out before it lets go of a leader, and
// pledges only to one that has written a heartbeat since it heard of this process.
type voter struct {
	lease     time.Duration
	nonce     uint64 // tells this process from the next of its node; never 0
	startedAt time.Time

	mu            sync.Mutex
	votedAt       time.Time // last pledge to anybody
	requestedAt   time.Time // last request, granted or not
	withdrawnUpTo uint64    // heartbeats up to this one get no pledge any more
}

func (p *voter) vote(heartbeat, nonce uint64) *peerpb.VoteReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestedAt = time.Now()
	if nonce != p.nonce || heartbeat <= p.withdrawnUpTo {
		return &peerpb.VoteReply{ProcessNonce: p.nonce}
	}
	p.votedAt = p.requestedAt
	return &peerpb.VoteReply{Granted: true, ProcessNonce: p.nonce}
}

// withdraw lets go of the leader with that heartbeat, if no pledge of this controller can be live.
func (p *voter) withdraw(heartbeat uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := limits.LeaseSurelyOver(p.lease)
	if time.Since(p.startedAt) <= wait || time.Since(p.votedAt) <= wait {
		return false
	}
	p.withdrawnUpTo = max(p.withdrawnUpTo, heartbeat)
	return true
}

// leaderSilent tells whether nobody has asked for a pledge for a while.
func (p *voter) leaderSilent(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requestedAt.After(since) {
		since = p.requestedAt
	}
	return time.Since(since) > time.Duration(float64(p.lease)*limits.SuspicionShare)
}

// Vote is asked by a leader for this controller's pledge; nonce is that of the process that the
// leader takes this one for.
func (e *Elector) Vote(heartbeat, nonce uint64) *peerpb.VoteReply {
	return e.voter.vote(heartbeat, nonce)
}

// needsVotes tells whether leadership depends on pledges here: a single controller needs none.
func (e *Elector) needsVotes() bool { return e.Peers != nil && e.Peers.Size() > 0 && e.voter.lease > 0 }

// quorum is a majority of all controllers, this one included.
func (e *Elector) quorum() int { return (e.Peers.Size()+1)/2 + 1 }

// keepQuorum renews the entitlement of a term by pledges, and by heartbeats where these don't do,
// until the term is over.
func (e *Elector) keepQuorum(ctx context.Context, m *Leadership) {
	life := e.voter.lease
	tick := time.NewTicker(time.Duration(float64(life) * limits.VoteRenewShare))
	defer tick.Stop()
	heartbeat, seq := m.KeyVersion, uint64(0) // the campaign wrote both keys in one transaction
	known, covered := map[string]uint64{}, map[string]uint64{}
	renewed := time.Now()
	for {
		sent := time.Now()
		granted, news := 0, false
		if e.voter.vote(heartbeat, e.voter.nonce).Granted {
			granted++ // our own, which we may have let go of as any other
		}
		for name, a := range e.Peers.RequestVotes(ctx, heartbeat, covered) {
			if a.Granted {
				granted++
			}
			if a.ProcessNonce != 0 && a.ProcessNonce != covered[name] {
				known[name], news = a.ProcessNonce, true
			}
		}
		if granted >= e.quorum() {
			m.extendQuorum(sent.Add(limits.EntitledFor(life)))
			renewed = sent
		}
		if news || time.Since(renewed) > time.Duration(float64(life)*limits.VoteRenewShare) {
			// Only processes that were known before the heartbeat was sent are covered by it.
			snapshot := maps.Clone(known)
			sent = time.Now()
			seq++
			rev, err := e.Store.CompareAndSwap(ctx, protocol.Transaction{
				Conditions: []protocol.Condition{m.Guard(), {Key: storage.KeyLeaderHeartbeat, Version: heartbeat}},
				Operations: []protocol.Operation{{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(storage.LeaderHeartbeat{Term: m.Term, Sequence: seq, ObservedRevision: m.observedRevision.Load()})}},
			})
			var conflict *storage.ConflictError
			switch {
			case err == nil:
				heartbeat, covered, renewed = rev, snapshot, sent
				m.extendQuorum(sent.Add(limits.EntitledFor(life)))
			case errors.As(err, &conflict) && conflict.Has(storage.KeyLeader):
				e.TermLost(m.Term)
				return
			case errors.As(err, &conflict):
				// An earlier heartbeat of ours that had no answer. It was sent after what is
				// covered was known, so it may stand in.
				if p, err := e.Store.Get(ctx, storage.KeyLeaderHeartbeat); err == nil {
					heartbeat = p.Version
				}
			default:
				e.Log.Debug("beat", "term", m.Term, "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// suspicion is what speaks against the leader that is followed: when it was first followed, its
// heartbeat, when that was read, and whether we have let go of it on record.
type suspicion struct {
	leaderVersion uint64 // of the leader key
	followedAt    time.Time
	heartbeat     uint64
	since         time.Time // zero: it is not doubted
	withdrawn     bool
}

// mayReplaceLeader goes on with a doubt, or begins one. It tells whether the leader may be
// replaced, guarded by the heartbeat.
func (e *Elector) mayReplaceLeader(ctx context.Context, d *suspicion) bool {
	if !e.voter.leaderSilent(d.followedAt) {
		d.since = time.Time{}
		return false
	}
	if !d.since.IsZero() && time.Since(d.since) <= limits.LeaseSurelyOver(e.voter.lease) {
		return false
	}
	p, err := e.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	if d.since.IsZero() || p.Version != d.heartbeat {
		d.heartbeat, d.since, d.withdrawn = p.Version, time.Now(), false
		return false
	}
	if !e.voter.withdraw(d.heartbeat) {
		return false
	}
	if !d.withdrawn {
		_, err := e.Store.CompareAndSwap(ctx, protocol.Transaction{Operations: []protocol.Operation{{Put: storage.VoteWithdrawalKey(e.Node), Value: protocol.Encode(storage.VoteWithdrawal{Heartbeat: d.heartbeat})}}})
		if err != nil {
			return false
		}
		d.withdrawn = true
	}
	let := 0
	_, err = e.Store.List(ctx, storage.PrefixVoteWithdrawal, func(p protocol.KeyValue) error {
		var l storage.VoteWithdrawal
		if err := protocol.Decode(p.Value, &l); err != nil {
			return err
		}
		if l.Heartbeat >= d.heartbeat {
			let++
		}
		return nil
	})
	return err == nil && let >= e.quorum()
}
