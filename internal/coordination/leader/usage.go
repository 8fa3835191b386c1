package leader

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// resourceCounters are the counters of the process at the time of a summary line.
type resourceCounters struct {
	at              time.Time
	cpu             time.Duration
	writes, refused int64
}

// resourceUsage returns, as arguments of the summary line, how the process stands against its
// limits: the messages in the mailbox and their longest wait, processor time as a share of a core,
// heap memory, and the changes sent to and calls refused by the state service since the line before.
func (t *termActor) resourceUsage() []any {
	last := t.lastCounters
	t.lastCounters = resourceCounters{at: time.Now()}
	t.lastCounters.writes, t.lastCounters.refused = t.dispatcher.store.Counters()
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	args := []any{
		"mailbox", len(t.mailbox),
		"longest_wait", t.longestMailboxWait.Round(time.Millisecond),
		"heap_mb", heap[0].Value.Uint64() >> 20,
		"writes", t.lastCounters.writes - last.writes,
		"refused", t.lastCounters.refused - last.refused,
	}
	t.longestMailboxWait = 0
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return args
	}
	t.lastCounters.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	elapsed := t.lastCounters.at.Sub(last.at)
	if last.at.IsZero() || elapsed <= 0 {
		return args
	}
	cores := float64(t.lastCounters.cpu-last.cpu) / float64(elapsed)
	return append(args, "cpu", math.Round(1000*cores)/1000)
}
