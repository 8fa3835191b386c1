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

// newTestActor returns an actor without a scheduler. Its mailbox has room for one message.
func newTestActor(leadership *election.Leadership) *termActor {
	actor := &termActor{
		dispatcher: &Dispatcher{onTermLost: func(uint64) {}},
		leadership: leadership,
		mailbox:    make(chan message, 1),
		probeSlots: make(chan struct{}, 1),
		startedAt:  time.Now(),
		log:        slog.New(slog.DiscardHandler),
	}
	actor.lastFencingToken.Store(leadership.LastFencingToken())
	return actor
}

// TestProbeNotSentAfterSlowHeartbeat checks that shortly after a heartbeat had to wait long in the mailbox,
// probes are reported as not sent, so that the scheduler does not regard their machines as unreachable.
func TestProbeNotSentAfterSlowHeartbeat(t *testing.T) {
	actor := newTestActor(election.NewLeadership(1, 1, time.Now().Add(time.Hour)))
	actor.startedAt = time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name      string
		sinceSlow time.Duration
		notSent   bool
	}{
		{"slow heartbeat just now", 0, true},
		{"last slow heartbeat long ago", 2 * limits.ProbePause, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			actor.lastSlowHeartbeatAt.Store(int64(actor.now() - c.sinceSlow))
			// No server listens at the address, so a probe that is sent fails at the connection.
			actor.executeProbe(context.Background(), scheduler.ProbeMachine{Machine: "m-1", Address: "127.0.0.1:1"})
			done := (<-actor.mailbox).(eventMessage).event.(scheduler.ProbeDone)
			if done.NotSent != c.notSent || done.Machine != "m-1" {
				t.Errorf("outcome %+v, want machine m-1 and NotSent %v", done, c.notSent)
			}
		})
	}
}
