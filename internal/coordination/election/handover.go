package election

import (
	"context"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// isolated reports whether this leader may be cut off from the state service, so that it should look
// for a controller that is not: the lease was renewed too long ago, and the last renewal failed for
// a reason that is not in this process.
func (e *Elector) isolated(ctx context.Context, sinceRenewal time.Duration, err error) bool {
	return e.options.Peers != nil && sinceRenewal > limits.IsolationThreshold && e.blamesStateService(ctx, err)
}

// blamesStateService reports whether a failed renewal is evidence that the state service is
// unreachable. Where no answer came and this process is far behind, it may only have missed the
// answer. A handover would then cost a recovery of the scheduler's state, on a controller that is
// as busy. If this one is cut off all the same, missing votes and heartbeats end the term.
func (e *Elector) blamesStateService(ctx context.Context, err error) bool {
	if !storage.IsTimeout(err) {
		return true
	}
	delay := e.options.Delay(ctx)
	if delay <= limits.MaxSchedulingDelay {
		return true
	}
	e.options.Log.Warn("process delayed, cannot tell whether the state service is unreachable",
		"delay", delay.Round(time.Millisecond))
	return false
}

// schedulingDelay returns how much later than it should this process wakes from a short sleep.
func schedulingDelay(ctx context.Context) time.Duration {
	began := time.Now()
	storage.Sleep(ctx, limits.SchedulingDelaySample)
	return time.Since(began) - limits.SchedulingDelaySample
}

// handOver resigns if another controller reaches the state service, and reports whether it did. The
// order matters: the leadership ends for good before the successor hears of it. If all offers are
// lost, the successor campaigns once the lease expires or a majority has withdrawn its votes.
func (e *Elector) handOver(ctx context.Context, l *Leadership) bool {
	successor := e.options.Peers.FindConnected(ctx)
	if successor == "" {
		return false // an outage for all: the term goes on while the lease lasts
	}
	l.resigned.Store(true)
	e.options.Log.Warn("isolated from the state service, handing over the leadership",
		"term", l.Term, "successor", successor)
	for range limits.HandoverAttempts {
		err := e.options.Peers.OfferLeadership(ctx, successor, l.Term, l.KeyVersion)
		if err == nil {
			break
		}
		e.options.Log.Info("leadership offer failed", "term", l.Term, "err", err)
	}
	return true
}
