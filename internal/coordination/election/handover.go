package election

import (
	"context"
	"errors"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// mayBeIsolated reports whether this leader may be cut off from the state service and should look
// for a controller that is not. It returns true if no renewal of the leader lease has succeeded for
// longer than limits.IsolationThreshold and the cause of the last failure is not in this process.
func (e *Elector) mayBeIsolated(ctx context.Context, sinceRenewal time.Duration, err error) bool {
	return e.options.Peers != nil && sinceRenewal > limits.IsolationThreshold && e.isStateServiceFault(ctx, err)
}

// isStateServiceFault reports whether a failed renewal is evidence that the state service is
// unreachable. A timeout is no evidence while this process is scheduled late, because the reply may
// have arrived in time but been read too late. A handover would then only cause a recovery of the
// scheduler's state on another controller, which is just as busy. If this controller is cut off
// after all, it stops being entitled, because it gets no votes and can write no heartbeat records.
func (e *Elector) isStateServiceFault(ctx context.Context, err error) bool {
	if errors.Is(err, storage.ErrRateLimited) {
		return false // the state service is reachable, and its rate is exceeded for all controllers
	}
	if !storage.IsTimeout(err) {
		return true
	}
	delay := e.options.SchedulingDelay(ctx)
	if delay <= limits.MaxSchedulingDelay {
		return true
	}
	e.options.Log.Warn("handover skipped", "delay", delay.Round(time.Millisecond),
		"reason", "this process is scheduled too late to tell whether the state service is unreachable")
	return false
}

// measureSchedulingDelay returns how much later than requested this process wakes from a short
// sleep.
func measureSchedulingDelay(ctx context.Context) time.Duration {
	start := time.Now()
	storage.SleepContext(ctx, limits.SchedulingDelaySample)
	return time.Since(start) - limits.SchedulingDelaySample
}

// handOver resigns for the given reason if another controller can reach the state service and answers
// requests of clients, and reports whether it resigned. It must stop being entitled, irrevocably, before
// the successor receives the offer. If all offers are lost, another controller campaigns once the leader
// lease has expired or a majority has withdrawn its votes.
func (e *Elector) handOver(ctx context.Context, l *Leadership, reason string) bool {
	if e.options.Peers == nil {
		return false
	}
	successor := e.options.Peers.FindCandidate(ctx)
	if successor == "" {
		return false // probably an outage for all controllers: the term continues while the leader lease is valid
	}
	l.resigned.Store(true)
	e.options.Log.Warn("handing over the leadership", "term", l.Term, "successor", successor,
		"reason", reason)
	for range limits.HandoverAttempts {
		err := e.options.Peers.OfferLeadership(ctx, successor, l.Term, l.KeyVersion)
		if err == nil {
			break
		}
		e.options.Log.Info("leadership offer failed", "term", l.Term, "successor", successor, "err", err)
	}
	return true
}
