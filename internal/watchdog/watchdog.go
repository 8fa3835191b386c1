// Package watchdog detects goroutines that do not go on any more, for example because they wait for themselves or
// never leave a loop, although their process and its other goroutines run.
package watchdog

import (
	"log/slog"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
)

// Options configure a Watchdog.
type Options struct {
	Interval     time.Duration // between two ticks
	StalledTicks int           // ticks in a row without progress after which the goroutine counts as stalled
	Log          *slog.Logger
	LogArgs      []any  // added to each log entry
	StalledText  string // message of the log entry when the goroutine counts as stalled
	ResumedText  string // message of the log entry when it goes on after that
}

// Watchdog counts the ticks in a row at which a goroutine has not gone on. It counts ticks and does not compare
// times, so that a process that was stopped for a while causes no alarm.
type Watchdog struct {
	options     Options
	missedTicks atomic.Int64 // ticks in a row without progress; written by Tick and Reset
}

// New returns a watchdog of a goroutine that goes on.
func New(options Options) *Watchdog { return &Watchdog{options: options} }

// Tick records whether the goroutine has gone on since the last tick. It is called at each interval, by one goroutine
// at a time. When the goroutine begins to count as stalled, the stacks of all goroutines are written to the log.
func (w *Watchdog) Tick(goesOn bool) {
	if goesOn {
		if stalled := w.StalledFor(); stalled > 0 {
			w.options.Log.Warn(w.options.ResumedText, w.logArgs("stalled", stalled)...)
		}
		w.missedTicks.Store(0)
		return
	}
	if w.missedTicks.Add(1) == int64(w.options.StalledTicks) {
		args := w.logArgs("stalled", w.StalledFor(), "goroutines", allStacks())
		w.options.Log.Error(w.options.StalledText, args...)
	}
}

// Reset forgets the missed ticks, because a new goroutine has replaced the one that was watched.
func (w *Watchdog) Reset() { w.missedTicks.Store(0) }

// StalledFor returns for how long the goroutine has not gone on, or 0 if it does not count as stalled. It may be
// called by any goroutine.
func (w *Watchdog) StalledFor() time.Duration {
	missed := w.missedTicks.Load()
	if missed < int64(w.options.StalledTicks) {
		return 0
	}
	return time.Duration(missed) * w.options.Interval
}

// logArgs returns the arguments of a log entry.
func (w *Watchdog) logArgs(args ...any) []any { return slices.Concat(w.options.LogArgs, args) }

// allStacks returns the stacks of all goroutines, up to limits.MaxStackDumpBytes.
func allStacks() string {
	buffer := make([]byte, limits.MaxStackDumpBytes)
	return string(buffer[:runtime.Stack(buffer, true)])
}
