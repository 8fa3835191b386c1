package leader

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// resourceCounters is what had been used up at the last summary.
type resourceCounters struct {
	at              time.Time
	cpu             time.Duration
	writes, refused int64
}

// resourceUsage tells, for the summary line, how the process stands against its limits: what waits
// in the mailbox and for how long, processor time as a share of a core, memory of the heap, and
// changes sent to and calls refused by the state service since the line before.
func (t *term) resourceUsage() []any {
	last := t.lastCounters
	t.lastCounters = resourceCounters{at: time.Now()}
	t.lastCounters.writes, t.lastCounters.refused = t.dispatcher.store.Counters()
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	args := []any{"mailbox", len(t.mailbox), "longest_wait", t.longestWait.Round(time.Millisecond), "heap_mb", heap[0].Value.Uint64() >> 20,
		"writes", t.lastCounters.writes - last.writes, "refused", t.lastCounters.refused - last.refused}
	t.longestWait = 0
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		t.lastCounters.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		if wall := t.lastCounters.at.Sub(last.at); !last.at.IsZero() && wall > 0 {
			args = append(args, "cpu", math.Round(1000*float64(t.lastCounters.cpu-last.cpu)/float64(wall))/1000)
		}
	}
	return args
}
