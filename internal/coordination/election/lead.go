package election

import (
	"context"
	"errors"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// lead runs a term: it renews the hold until the hold or the term is over.
func (e *Elector) lead(ctx context.Context, m *Leadership, tenure uint64) {
	e.Log.Info("leading", "term", m.Term, "stamp", m.KeyVersion)
	e.setLeader(e.Node)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(ctx, m)
	}()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		if e.needsVotes() {
			e.keepQuorum(ctx, m)
		}
	}()
	defer func() {
		cancel()
		<-done
		<-kept
		e.setLeader("")
		e.Log.Info("term over", "term", m.Term)
	}()
	tick := time.NewTicker(limits.LeaseRenewInterval)
	defer tick.Stop()
	renewed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case term := <-e.lostTerms:
			if term == m.Term {
				e.Log.Warn("term ended by another leader", "term", m.Term)
				return
			}
		case <-tick.C:
			sent := time.Now()
			err := e.Store.RenewLease(ctx, tenure)
			switch {
			case err == nil:
				// After an outage this may come long after we stopped being entitled. As the hold
				// has lived all the while, nobody else can have led, and the term goes on.
				m.extendLease(sent.Add(limits.EntitledFor(e.LeaseDuration)))
				renewed = time.Now()
			case errors.Is(err, storage.ErrLeaseExpired):
				return
			default:
				e.Log.Debug("touch", "term", m.Term, "err", err)
				if e.Peers != nil && time.Since(renewed) > limits.IsolatedAfter && e.blamesStateService(ctx, err) && e.handOver(ctx, m) {
					return
				}
			}
		}
	}
}
