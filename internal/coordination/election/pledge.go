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

// The hold has to outlast an outage of the state service, so it is long, and a leader that is cut off would keep the lead that long. Pledges make
// that time short: a leader is entitled only while, beside its hold, a majority of the controllers has lately pledged to it, or it has lately
// written its beat. Another controller may replace it before its hold ends if a majority has let go of it, each on record in the state service, and the beat has
// not changed for the life of a pledge, by which its election is guarded. docs/design.md has the proof.

// pledges is what this process has promised. A process that has just come back does not know what the one before it had promised: it sits the
// longest pledge out before it lets go of a leader, and pledges only to one that has written a beat since it heard of this process.
type pledges struct {
	life  time.Duration
	nonce uint64 // tells this process from the next of its node; never 0
	start time.Time

	mu       sync.Mutex
	granted  time.Time // last pledge to anybody
	heard    time.Time // last request, granted or not
	released uint64    // beats up to this one get no pledge any more
}

func (p *pledges) grant(beat, nonce uint64) *peerpb.PledgeReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = time.Now()
	if nonce != p.nonce || beat <= p.released {
		return &peerpb.PledgeReply{Nonce: p.nonce}
	}
	p.granted = p.heard
	return &peerpb.PledgeReply{Granted: true, Nonce: p.nonce}
}

// release lets go of the leader with that beat, if no pledge of this controller can be live.
func (p *pledges) release(beat uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := limits.WaitOut(p.life)
	if time.Since(p.start) <= wait || time.Since(p.granted) <= wait {
		return false
	}
	p.released = max(p.released, beat)
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
func (e *Elector) Pledge(beat, nonce uint64) *peerpb.PledgeReply { return e.pledges.grant(beat, nonce) }

// pledged tells whether leadership depends on pledges here: a single controller needs none.
func (e *Elector) pledged() bool { return e.Peers != nil && e.Peers.Size() > 0 && e.pledges.life > 0 }

// quorum is a majority of all controllers, this one included.
func (e *Elector) quorum() int { return (e.Peers.Size()+1)/2 + 1 }

// keepPledged renews the entitlement of a term by pledges, and by beats where these don't do, until the term is over.
func (e *Elector) keepPledged(ctx context.Context, m *Mandate) {
	life := e.pledges.life
	tick := time.NewTicker(time.Duration(float64(life) * limits.PledgeEvery))
	defer tick.Stop()
	beat, seq := m.Stamp, uint64(0) // the campaign wrote both keys in one transaction
	known, covered := map[string]uint64{}, map[string]uint64{}
	renewed := time.Now()
	for {
		sent := time.Now()
		granted, news := 0, false
		if e.pledges.grant(beat, e.pledges.nonce).Granted {
			granted++ // our own, which we may have let go of as any other
		}
		for name, a := range e.Peers.Pledge(ctx, beat, covered) {
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
			// Only processes that were known before the beat was sent are covered by it.
			snapshot := maps.Clone(known)
			sent = time.Now()
			seq++
			rev, err := e.Store.Txn(ctx, protocol.Txn{
				Guards: []protocol.Guard{m.Guard(), {Path: storage.KeyBeat, Stamp: beat}},
				Apply:  []protocol.Op{{Write: storage.KeyBeat, Data: protocol.Encode(storage.Beat{Term: m.Term, Seq: seq, Seen: m.seen.Load()})}},
			})
			var conflict *storage.Conflict
			switch {
			case err == nil:
				beat, covered, renewed = rev, snapshot, sent
				m.pledge(sent.Add(limits.Entitled(life)))
			case errors.As(err, &conflict) && conflict.Has(storage.KeyLeader):
				e.Lost(m.Term)
				return
			case errors.As(err, &conflict):
				// An earlier beat of ours that had no answer. It was sent after what is covered was known, so it may stand in.
				if p, err := e.Store.Get(ctx, storage.KeyBeat); err == nil {
					beat = p.Stamp
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

// doubt is what speaks against the leader that is followed: when it was first followed, its beat, when that was read, and whether we have let go of it on record.
type doubt struct {
	stamp    uint64 // of the leader key
	followed time.Time
	beat     uint64
	at       time.Time // zero: it is not doubted
	let      bool
}

// look goes on with a doubt, or begins one. It tells whether the leader may be replaced, guarded by the beat.
func (e *Elector) look(ctx context.Context, d *doubt) bool {
	if !e.pledges.silent(d.followed) {
		d.at = time.Time{}
		return false
	}
	if !d.at.IsZero() && time.Since(d.at) <= limits.WaitOut(e.pledges.life) {
		return false
	}
	p, err := e.Store.Get(ctx, storage.KeyBeat)
	if err != nil {
		return false
	}
	if d.at.IsZero() || p.Stamp != d.beat {
		d.beat, d.at, d.let = p.Stamp, time.Now(), false
		return false
	}
	if !e.pledges.release(d.beat) {
		return false
	}
	if !d.let {
		_, err := e.Store.Txn(ctx, protocol.Txn{Apply: []protocol.Op{{Write: storage.LetKey(e.Node), Data: protocol.Encode(storage.Let{Beat: d.beat})}}})
		if err != nil {
			return false
		}
		d.let = true
	}
	let := 0
	_, err = e.Store.List(ctx, storage.PrefixLet, func(p protocol.Pair) error {
		var l storage.Let
		if err := protocol.Decode(p.Data, &l); err != nil {
			return err
		}
		if l.Beat >= d.beat {
			let++
		}
		return nil
	})
	return err == nil && let >= e.quorum()
}
