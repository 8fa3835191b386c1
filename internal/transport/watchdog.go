package transport

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
)

// loopWatchdog detects an event loop that does not run any more, for example because it waits for itself: no
// request is answered then, although the process and its other goroutines go on. It counts ticks and does not
// compare times, so that a process that was stopped for a while causes no alarm.
type loopWatchdog struct {
	log     *slog.Logger
	addr    string
	stalled *atomic.Int64 // for how long the loop has not run, in nanoseconds

	turnPending atomic.Bool // the event loop was asked to run a turn and has not ended it
	missedTicks int         // ticks in a row at which a turn was pending
}

// beginTurn is called at each tick. It reports whether the event loop is to run a turn now, after which it calls
// endTurn. If the turn of an earlier tick is still pending, it records that, and writes the stacks of all
// goroutines to the log once the loop counts as stalled.
func (w *loopWatchdog) beginTurn() bool {
	if w.turnPending.CompareAndSwap(false, true) {
		if w.missedTicks >= limits.LoopStalledTicks {
			w.log.Warn("event loop runs again", "addr", w.addr, "stalled", w.stalledFor())
		}
		w.missedTicks = 0
		w.stalled.Store(0)
		return true
	}
	w.missedTicks++
	if w.missedTicks < limits.LoopStalledTicks {
		return false
	}
	w.stalled.Store(int64(w.stalledFor()))
	if w.missedTicks == limits.LoopStalledTicks {
		w.log.Error("event loop does not run; no request is answered", "addr", w.addr,
			"stalled", w.stalledFor(), "goroutines", allStacks())
	}
	return false
}

// endTurn is called on the event loop at the end of a turn.
func (w *loopWatchdog) endTurn() { w.turnPending.Store(false) }

// stalledFor returns for how long turns have been pending.
func (w *loopWatchdog) stalledFor() time.Duration {
	return time.Duration(w.missedTicks) * limits.ConnSweepInterval
}

// allStacks returns the stacks of all goroutines, up to limits.MaxStackDumpBytes.
func allStacks() string {
	buffer := make([]byte, limits.MaxStackDumpBytes)
	return string(buffer[:runtime.Stack(buffer, true)])
}
