package transport

import (
	"log/slog"
	"sync/atomic"

	"quillshunt/internal/limits"
	"quillshunt/internal/watchdog"
)

// loopWatchdog detects an event loop that does not run any more, for example because it waits for itself: no
// request is answered then, although the process and its other goroutines go on.
type loopWatchdog struct {
	watchdog    *watchdog.Watchdog
	turnPending atomic.Bool // the event loop was asked to run a turn and has not ended it
}

// newLoopWatchdog returns the watchdog of the event loop of a server.
func newLoopWatchdog(log *slog.Logger, addr string) *watchdog.Watchdog {
	return watchdog.New(watchdog.Options{
		Interval:     limits.ConnSweepInterval,
		StalledTicks: limits.LoopStalledTicks,
		Log:          log,
		LogArgs:      []any{"addr", addr},
		StalledText:  "event loop does not run; no request is answered",
		ResumedText:  "event loop runs again",
	})
}

// beginTurn is called at each tick. It reports whether the event loop is to run a turn now, after which it calls
// endTurn. Otherwise the turn of an earlier tick is still pending.
func (w *loopWatchdog) beginTurn() bool {
	mayBegin := w.turnPending.CompareAndSwap(false, true)
	w.watchdog.Tick(mayBegin)
	return mayBegin
}

// endTurn is called on the event loop at the end of a turn.
func (w *loopWatchdog) endTurn() { w.turnPending.Store(false) }
