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

// newTestActor returns a term without a scheduler, whose mailbox has room for one message.
func newTestActor(leadership *election.Leadership) *termActor {
	return &termActor{
		dispatcher: &Dispatcher{onTermLost: func(uint64) {}},
		leadership: leadership,
		mailbox:    make(chan message, 1),
		probeSlots: make(chan struct{}, 1),
		startedAt:  time.Now(),
		log:        slog.New(slog.DiscardHandler),
	}
}

// TestProbeNotSentAfterSlowHeartbeat: while heartbeats wait in the mailbox, probes are not sent, and that
// says nothing about their machines.
func TestProbeNotSentAfterSlowHeartbeat(t *testing.T) {
	actor := newTestActor(election.NewLeadership(1, 1, time.Now().Add(time.Hour)))
	actor.startedAt = time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name              string
		sinceSlow         time.Duration
		heartbeatsAreSlow bool
	}{
		{"heartbeats wait", 0, true},
		{"heartbeats waited long ago", 2 * limits.SlowHeartbeatMemory, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			actor.lastSlowHeartbeatAt.Store(int64(actor.now() - c.sinceSlow))
			// Nothing listens at the address: a probe that is sent is refused.
			actor.executeProbe(context.Background(), scheduler.ProbeMachine{Machine: "m-1", Address: "127.0.0.1:1"})
			done := (<-actor.mailbox).(eventMessage).event.(scheduler.ProbeDone)
			if done.NotSent != c.heartbeatsAreSlow || done.Machine != "m-1" {
				t.Errorf("probe done: %+v", done)
			}
		})
	}
}
