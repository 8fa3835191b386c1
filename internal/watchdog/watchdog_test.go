package watchdog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestWatchdogCountsTicks checks when a goroutine counts as stalled: after StalledTicks ticks in a row without
// progress, however much time has passed, as a process that was stopped has no ticks. The log has the stacks of all
// goroutines once.
func TestWatchdogCountsTicks(t *testing.T) {
	const interval, stalledTicks = 2 * time.Second, 4
	var log bytes.Buffer
	w := New(Options{
		Interval: interval, StalledTicks: stalledTicks, Log: slog.New(slog.NewTextHandler(&log, nil)),
		StalledText: "does not go on", ResumedText: "goes on again",
	})
	w.Tick(true)
	for ticks := range stalledTicks - 1 {
		if w.Tick(false); w.StalledFor() != 0 {
			t.Fatalf("stalled for %v after %d ticks", w.StalledFor(), ticks+1)
		}
	}
	for ticks := stalledTicks; ticks < stalledTicks+3; ticks++ {
		if w.Tick(false); w.StalledFor() != time.Duration(ticks)*interval {
			t.Errorf("stalled for %v after %d ticks", w.StalledFor(), ticks)
		}
	}
	if n := strings.Count(log.String(), "TestWatchdogCountsTicks"); n != 1 {
		t.Errorf("the log has the stack of this test %d times, want once:\n%s", n, log.String())
	}
	if w.Tick(true); w.StalledFor() != 0 || strings.Count(log.String(), "goes on again") != 1 {
		t.Errorf("stalled for %v after the goroutine went on; log:\n%s", w.StalledFor(), log.String())
	}
	w.Tick(false)
	if w.Reset(); w.StalledFor() != 0 {
		t.Errorf("stalled for %v after a reset", w.StalledFor())
	}
}
