package leader

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/watchdog"
)

// turnWatch detects an actor that never ends the processing of a message. The process then still renews its lease and
// its votes, as other goroutines do that, so that no other controller replaces the leader on its own account.
type turnWatch struct {
	watchdog *watchdog.Watchdog
	started  uint64        // number of the last turn; used by the actor only
	current  atomic.Uint64 // number of the turn in progress; 0 between two turns
}

// newTurnWatchdog returns the watchdog of the actor of a term.
func newTurnWatchdog(log *slog.Logger, workerLease time.Duration) *watchdog.Watchdog {
	return watchdog.New(watchdog.Options{
		Interval:     limits.TurnCheckInterval,
		StalledTicks: limits.TurnStalledTicks(workerLease),
		Log:          log,
		StalledText:  "scheduler does not go on; no worker is answered",
		ResumedText:  "scheduler goes on again",
	})
}

// begin records that the actor begins to process a message.
func (w *turnWatch) begin() {
	w.started++
	w.current.Store(w.started)
}

// end records that the actor waits for the next message.
func (w *turnWatch) end() { w.current.Store(0) }

// watch checks at each interval whether the turn of the last check is still in progress, until the context ends.
func (w *turnWatch) watch(ctx context.Context) {
	ticker := time.NewTicker(limits.TurnCheckInterval)
	defer ticker.Stop()
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			current := w.current.Load()
			w.watchdog.Tick(current == 0 || current != last)
			last = current
		}
	}
}
