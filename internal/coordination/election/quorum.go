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
