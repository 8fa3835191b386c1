package leader

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// resourceCounters are the process's cumulative counters at the time of a summary entry in the log.
type resourceCounters struct {
	at                             time.Time
	cpu                            time.Duration // processor time used
	writeOperations, rejectedCalls int64         // see storage.Store.Counters
}

// resourceUsage returns the resource usage of the process as arguments of the log's summary entry: the
// number of messages that wait for the actor, the longest wait of a heartbeat and of a question of a user,
// the longest step of the scheduler, the heap memory, the write operations sent to the state service, the
// calls that it rejected, and the processor cores used. All but the number of messages and the heap memory
// cover the time since the previous summary.
func (t *termActor) resourceUsage() []any {
	last := t.lastCounters
	t.lastCounters = resourceCounters{at: time.Now()}
	t.lastCounters.writeOperations, t.lastCounters.rejectedCalls = t.dispatcher.store.Counters()
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	args := []any{
		"mailbox", t.queuedMessages(),
		"longest_wait", t.longestMailboxWait.Round(time.Millisecond),
		"longest_question_wait", t.longestQuestionWait.Round(time.Millisecond),
		"longest_step", t.longestStep.Round(time.Millisecond),
		"heap_mb", heap[0].Value.Uint64() >> 20,
		"writes", t.lastCounters.writeOperations - last.writeOperations,
		"refused", t.lastCounters.rejectedCalls - last.rejectedCalls,
	}
	t.longestMailboxWait, t.longestQuestionWait, t.longestStep = 0, 0, 0
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
