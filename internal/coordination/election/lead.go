package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// ErrTermDoesNotEnd is returned by Run if the goroutine of a term goes on although the term is over. It cannot be
// ended from outside, so the process has to end.
var ErrTermDoesNotEnd = errors.New("the goroutine of the term does not end")

// lead runs a term until it is over, and meanwhile renews the leader lease and the quorum lease. It
// returns after every goroutine of the term has ended, or ErrTermDoesNotEnd.
func (e *Elector) lead(ctx context.Context, l *Leadership, leaseID uint64) error {
	e.options.Log.Info("term started", "term", l.Term, "last_token", l.LastFencingToken(), "key_version", l.KeyVersion)
	e.setLeader(e.options.Node)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	termDone := make(chan struct{})
	wg.Go(func() {
		defer close(termDone)
		e.options.RunTerm(ctx, l)
	})
	if e.needsVotes() {
		wg.Go(func() { e.maintainQuorumLease(ctx, l) })
	}
	e.maintainLease(ctx, l, leaseID, termDone)
	cancel()
	e.setLeader("")
	if !waitAtMost(limits.TermEndTimeout, &wg) {
		e.options.Log.Error("term does not end", "term", l.Term)
		return ErrTermDoesNotEnd
	}
	e.options.Log.Info("term ended", "term", l.Term)
	return nil
}

// waitAtMost waits until all goroutines of a group have ended, but at most for the given time. It reports whether they
// have ended.
func waitAtMost(timeout time.Duration, group *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// maintainLease renews the leader lease until it expires, the term is over, or the leadership is
// handed over.
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
				e.options.Log.Warn("leadership lost", "term", l.Term, "reason", "replaced by another leader")
				return
			}
		case <-ticker.C:
			err := e.renewLease(ctx, l, leaseID)
			switch {
			case err == nil:
				renewedAt = time.Now()
				if e.options.ClientsStalled() && e.handOver(ctx, l, "no request of a worker or user is answered") {
					return
				}
			case errors.Is(err, storage.ErrLeaseExpired):
				return
			default:
				e.options.Log.Debug("failed to renew the leader lease", "term", l.Term, "err", err)
				if e.mayBeIsolated(ctx, time.Since(renewedAt), err) &&
					e.handOver(ctx, l, "only other controllers reach the state service") {
					return
				}
			}
		}
	}
}

// renewLease renews the leader lease once and extends the time for which the leader is entitled by
// it. After an outage of the state service, a renewal may succeed long after that time. The state
// service has not let the lease expire in between, so the term continues, unless a majority of the
// controllers has withdrawn its votes and another one has replaced the leader key. The lease does not
// show that, but the quorum lease is not renewed then.
func (e *Elector) renewLease(ctx context.Context, l *Leadership, leaseID uint64) error {
	sentAt := time.Now()
	if err := e.options.Store.RenewLease(ctx, leaseID); err != nil {
		return err
	}
	l.extendLease(sentAt.Add(limits.LeaseValidFor(e.options.LeaseDuration)))
	return nil
}
