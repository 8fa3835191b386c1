package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// lead runs a term until it is over. Beside the term itself run the renewals of the lease and of
// the quorum lease; all of them have ended when it returns.
func (e *Elector) lead(ctx context.Context, l *Leadership, leaseID uint64) {
	e.options.Log.Info("leading", "term", l.Term, "key_version", l.KeyVersion)
	e.setLeader(e.options.Node)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		e.setLeader("")
		e.options.Log.Info("term ended", "term", l.Term)
	}()
	termDone := make(chan struct{})
	wg.Go(func() {
		defer close(termDone)
		e.options.RunTerm(ctx, l)
	})
	if e.needsVotes() {
		wg.Go(func() { e.maintainQuorumLease(ctx, l) })
	}
	e.maintainLease(ctx, l, leaseID, termDone)
}

// maintainLease renews the lease until the lease or the term is over, or the leadership was handed
// over.
func (e *Elector) maintainLease(ctx context.Context, l *Leadership, leaseID uint64, termDone <-chan struct{}) {
	ticker := time.NewTicker(limits.LeaseRenewInterval)
	defer ticker.Stop()
	renewedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-termDone:
			return
		case term := <-e.lostTerms:
			if term == l.Term {
				e.options.Log.Warn("superseded by another leader", "term", l.Term)
				return
			}
		case <-ticker.C:
			err := e.renewLease(ctx, l, leaseID)
			switch {
			case err == nil:
				renewedAt = time.Now()
			case errors.Is(err, storage.ErrLeaseExpired):
				return
			default:
				e.options.Log.Debug("renewing the lease failed", "term", l.Term, "err", err)
				if e.mayBeIsolated(ctx, time.Since(renewedAt), err) && e.handOver(ctx, l) {
					return
				}
			}
		}
	}
}

// renewLease renews the lease once and extends the entitlement. After an outage this may come long
// after the leader stopped being entitled. As the lease did not expire in that time, nobody else
// can have led, and the term goes on.
func (e *Elector) renewLease(ctx context.Context, l *Leadership, leaseID uint64) error {
	sentAt := time.Now()
	if err := e.options.Store.RenewLease(ctx, leaseID); err != nil {
		return err
	}
	l.extendLease(sentAt.Add(limits.LeaseValidFor(e.options.LeaseDuration)))
	return nil
}
