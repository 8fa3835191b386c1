package leader

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
)

// TestProbesYieldToHeartbeats: while reports wait in the mailbox, probes do not go out, and that says nothing
// about their machines.
func TestProbesYieldToHeartbeats(t *testing.T) {
	term := &term{dispatcher: &Dispatcher{}, leadership: election.NewLeadership(1, 1, time.Now().Add(time.Hour)), mailbox: make(chan any, 1), probeSlots: make(chan struct{}, 1),
		startedAt: time.Now().Add(-time.Minute), log: slog.New(slog.DiscardHandler)}
	for _, busy := range []bool{true, false} {
		if busy {
			term.lastSlowHeartbeatAt.Store(int64(term.now()))
		} else {
			term.lastSlowHeartbeatAt.Store(int64(term.now() - 2*limits.SlowHeartbeatMemory))
		}
		term.executeProbe(context.Background(), scheduler.ProbeMachine{Machine: "m-1", Address: "127.0.0.1:1"}) // refused, if it is asked
		if done := (<-term.mailbox).(scheduler.ProbeDone); done.NotSent != busy || done.Machine != "m-1" {
			t.Errorf("busy %v: %+v", busy, done)
		}
	}
}
