package election

import (
	"context"
	"errors"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// lead runs a term: it renews the hold until the hold or the term is over.
func (e *Elector) lead(ctx context.Context, l *Leadership, leaseID uint64) {
	e.Log.Info("leading", "term", l.Term, "key_version", l.KeyVersion)
	e.setLeader(e.Node)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(ctx, l)
	}()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		if e.needsVotes() {
			e.keepQuorum(ctx, l)
		}
	}()
	defer func() {
		cancel()
		<-done
		<-kept
		e.setLeader("")
		e.Log.Info("term ended", "term", l.Term)
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
			if term == l.Term {
				e.Log.Warn("superseded by another leader", "term", l.Term)
				return
			}
		case <-tick.C:
			sent := time.Now()
			err := e.Store.RenewLease(ctx, leaseID)
			switch {
			case err == nil:
				// After an outage this may come long after we stopped being entitled. As the hold
				// has lived all the while, nobody else can have led, and the term goes on.
				l.extendLease(sent.Add(limits.EntitledFor(e.LeaseDuration)))
				renewed = time.Now()
			case errors.Is(err, storage.ErrLeaseExpired):
				return
			default:
				e.Log.Debug("renewing the lease failed", "term", l.Term, "err", err)
				if e.Peers != nil && time.Since(renewed) > limits.IsolatedAfter && e.blamesStateService(ctx, err) && e.handOver(ctx, l) {
					return
				}
			}
		}
	}
}
