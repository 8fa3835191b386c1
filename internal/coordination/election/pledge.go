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

// The hold has to outlast an outage of the state service, so it is long, and a leader that is cut off would keep the lead that long.
// Pledges make
// that time short: a leader is entitled only while, beside its hold, a majority of the controllers has lately pledged to it, or it has
// lately
// written its heartbeat. Another controller may replace it before its hold ends if a majority has let go of it, each on record in the
// state service, and the heartbeat has
// not changed for the life of a pledge, by which its election is guarded. docs/design.md has the proof.

// pledges is what this process has promised. A process that has just come back does not know what the one before it had promised: it
// sits the
// longest pledge out before it lets go of a leader, and pledges only to one that has written a heartbeat since it heard of this process.
type pledges struct {
	life  time.Duration
	nonce uint64 // tells this process from the next of its node; never 0
	start time.Time

	mu       sync.Mutex
	granted  time.Time // last pledge to anybody
	heard    time.Time // last request, granted or not
	released uint64    // heartbeats up to this one get no pledge any more
}

func (p *pledges) grant(heartbeat, nonce uint64) *peerpb.PledgeReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = time.Now()
	if nonce != p.nonce || heartbeat <= p.released {
		return &peerpb.PledgeReply{Nonce: p.nonce}
	}
	p.granted = p.heard
	return &peerpb.PledgeReply{Granted: true, Nonce: p.nonce}
}

// release lets go of the leader with that heartbeat, if no pledge of this controller can be live.
func (p *pledges) release(heartbeat uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := limits.WaitOut(p.life)
	if time.Since(p.start) <= wait || time.Since(p.granted) <= wait {
		return false
	}
	p.released = max(p.released, heartbeat)
	return true
}

// silent tells whether nobody has asked for a pledge for a while.
func (p *pledges) silent(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard.After(since) {
		since = p.heard
	}
	return time.Since(since) > time.Duration(float64(p.life)*limits.PledgeDoubt)
}

// Pledge is asked by a leader for this controller's pledge; nonce is that of the process that the leader takes this one for.
func (e *Elector) Pledge(heartbeat, nonce uint64) *peerpb.PledgeReply {
	return e.pledges.grant(heartbeat, nonce)
}

// pledged tells whether leadership depends on pledges here: a single controller needs none.
func (e *Elector) pledged() bool { return e.Peers != nil && e.Peers.Size() > 0 && e.pledges.life > 0 }

// quorum is a majority of all controllers, this one included.
func (e *Elector) quorum() int { return (e.Peers.Size()+1)/2 + 1 }

// keepPledged renews the entitlement of a term by pledges, and by heartbeats where these don't do, until the term is over.
func (e *Elector) keepPledged(ctx context.Context, m *Leadership) {
	life := e.pledges.life
	tick := time.NewTicker(time.Duration(float64(life) * limits.PledgeEvery))
	defer tick.Stop()
	heartbeat, seq := m.Stamp, uint64(0) // the campaign wrote both keys in one transaction
	known, covered := map[string]uint64{}, map[string]uint64{}
	renewed := time.Now()
	for {
		sent := time.Now()
		granted, news := 0, false
		if e.pledges.grant(heartbeat, e.pledges.nonce).Granted {
			granted++ // our own, which we may have let go of as any other
		}
		for name, a := range e.Peers.Pledge(ctx, heartbeat, covered) {
			if a.Granted {
				granted++
			}
			if a.Nonce != 0 && a.Nonce != covered[name] {
				known[name], news = a.Nonce, true
			}
		}
		if granted >= e.quorum() {
			m.pledge(sent.Add(limits.Entitled(life)))
			renewed = sent
		}
		if news || time.Since(renewed) > time.Duration(float64(life)*limits.PledgeEvery) {
			// Only processes that were known before the heartbeat was sent are covered by it.
			snapshot := maps.Clone(known)
			sent = time.Now()
			seq++
			rev, err := e.Store.Txn(ctx, protocol.Txn{
				Conditions: []protocol.Condition{m.Guard(), {Key: storage.KeyHeartbeat, Version: heartbeat}},
				Ops:        []protocol.Op{{Put: storage.KeyHeartbeat, Value: protocol.Encode(storage.Heartbeat{Term: m.Term, Seq: seq, Seen: m.seen.Load()})}},
			})
			var conflict *storage.Conflict
			switch {
			case err == nil:
				heartbeat, covered, renewed = rev, snapshot, sent
				m.pledge(sent.Add(limits.Entitled(life)))
			case errors.As(err, &conflict) && conflict.Has(storage.KeyLeader):
				e.Lost(m.Term)
				return
			case errors.As(err, &conflict):
				// An earlier heartbeat of ours that had no answer. It was sent after what is covered was known, so it may stand in.
				if p, err := e.Store.Get(ctx, storage.KeyHeartbeat); err == nil {
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

// doubt is what speaks against the leader that is followed: when it was first followed, its heartbeat, when that was read, and whether
// we have let go of it on record.
type doubt struct {
	stamp     uint64 // of the leader key
	followed  time.Time
	heartbeat uint64
	at        time.Time // zero: it is not doubted
	let       bool
}

// look goes on with a doubt, or begins one. It tells whether the leader may be replaced, guarded by the heartbeat.
func (e *Elector) look(ctx context.Context, d *doubt) bool {
	if !e.pledges.silent(d.followed) {
		d.at = time.Time{}
		return false
	}
	if !d.at.IsZero() && time.Since(d.at) <= limits.WaitOut(e.pledges.life) {
		return false
	}
	p, err := e.Store.Get(ctx, storage.KeyHeartbeat)
	if err != nil {
		return false
	}
	if d.at.IsZero() || p.Version != d.heartbeat {
		d.heartbeat, d.at, d.let = p.Version, time.Now(), false
		return false
	}
	if !e.pledges.release(d.heartbeat) {
		return false
	}
	if !d.let {
		_, err := e.Store.Txn(ctx, protocol.Txn{Ops: []protocol.Op{{Put: storage.ReleaseKey(e.Node), Value: protocol.Encode(storage.Release{Heartbeat: d.heartbeat})}}})
		if err != nil {
			return false
		}
		d.let = true
	}
	let := 0
	_, err = e.Store.List(ctx, storage.PrefixRelease, func(p protocol.Pair) error {
		var l storage.Release
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
