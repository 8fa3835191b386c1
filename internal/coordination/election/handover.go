package election

import (
	"context"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// blamesStateService tells whether a failed renewal speaks against our way to the state service.
// Where no answer came and this process is far behind, it may be only that: a hand-over would then
// cost a rebuild, which a controller that is as busy has to make. If it is cut off all the same,
// its votes and heartbeats end the term.
func (e *Elector) blamesStateService(ctx context.Context, err error) bool {
	if !storage.IsTimeout(err) {
		return true
	}
	behind := e.Delay(ctx)
	if behind <= limits.DelayMax {
		return true
	}
	e.Log.Warn("too busy to tell whether the state service is out of reach", "behind", behind.Round(time.Millisecond))
	return false
}

// schedulingDelay tells how much too late this process wakes from a short sleep.
func schedulingDelay(ctx context.Context) time.Duration {
	began := time.Now()
	storage.Sleep(ctx, limits.DelaySample)
	return time.Since(began) - limits.DelaySample
}

// handOver gives the term up if another controller reaches the state service while we do not. The
// order matters: the leadership ends for good before the successor hears of it.
func (e *Elector) handOver(ctx context.Context, m *Leadership) bool {
	node := e.Peers.FindConnected(ctx)
	if node == "" {
		return false // an outage for all: go on for the rest of the hold
	}
	m.resigned.Store(true)
	e.Log.Warn("alone without the state service, handing over", "term", m.Term, "successor", node)
	for range limits.OfferTries {
		err := e.Peers.OfferLeadership(ctx, node, m.Term, m.KeyVersion)
		if err == nil {
			break
		}
		e.Log.Info("successor not told", "term", m.Term, "err", err)
	}
	return true
}
