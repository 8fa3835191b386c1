package leader

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// noNetwork is a dialer for a network without hosts.
func noNetwork(context.Context, string) (net.Conn, error) { return nil, errors.New("no network") }

// busyLeader is an entitled leader whose actor takes a given time for each heartbeat.
type busyLeader struct {
	dispatcher *Dispatcher
	record     []byte // of a cancelled job
	ended      chan struct{}
}

const cancelledJob = "job-000001"

// startBusyLeader starts the actor of a leader in a synctest bubble. It ends with the context.
func startBusyLeader(ctx context.Context) *busyLeader {
	settings := &config.Settings{}
	settings.Deployment.Teams = []config.Team{{Name: "red", MaxCPUs: 100}}
	settings.Deployment.Workers = config.WorkerTimes{HeartbeatIntervalS: 5, LeaseS: 27, CancelWithinS: 47}
	settings.Deployment.MachineLimits.MaxSockets = 10_000
	l := &busyLeader{dispatcher: NewDispatcher(DispatcherOptions{
		Settings: settings, Options: config.DefaultOptions(), Log: slog.New(slog.DiscardHandler),
		Store: storage.New("state:1", settings.Deployment.State).WithDialer(noNetwork),
		Cloud: NewCloudClient("cloud:1", 1, noNetwork),
	})}
	l.record = protocol.Encode(storage.OpenJob{
		Spec:      protocol.Spec{ID: cancelledJob, Team: "red", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 1},
		Cancelled: true, CancelledAtMs: time.Now().UnixMilli(),
	})
	actor := newTermActor(l.dispatcher, election.NewLeadership(2, 1, time.Now().Add(time.Hour)))
	l.dispatcher.currentActor.Store(actor)
	l.ended = make(chan struct{})
	go func() {
		defer close(l.ended)
		actor.run(ctx)
	}()
	return l
}

// queueHeartbeats queues malformed heartbeats, for each of which the actor takes some time.
func (l *busyLeader) queueHeartbeats(count int, took time.Duration) {
	for range count {
		l.dispatcher.HandleHeartbeat([]byte("malformed"), false, func(int, []byte) { time.Sleep(took) })
	}
}

func (l *busyLeader) confirm(ctx context.Context) bool {
	return l.dispatcher.ConfirmCancellation(ctx, cancelledJob, 1, l.record)
}

// withBusyLeader runs a test with a busy leader in a synctest bubble.
func withBusyLeader(t *testing.T, test func(ctx context.Context, t *testing.T, l *busyLeader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		l := startBusyLeader(ctx)
		defer func() {
			cancel()
			<-l.ended
		}()
		test(ctx, t, l)
	})
}

// TestCancellationIsConfirmedBehindHeartbeats guards against cancelled jobs without an answer while the heartbeats
// of a large fleet wait for the leader.
func TestCancellationIsConfirmedBehindHeartbeats(t *testing.T) {
	withBusyLeader(t, func(ctx context.Context, t *testing.T, l *busyLeader) {
		l.queueHeartbeats(4000, 2*time.Millisecond)
		sentAt := time.Now()
		if !l.confirm(ctx) {
			t.Errorf("a cancellation is not confirmed within %v", time.Since(sentAt))
		}
	})
}

// TestLateConfirmationIsKept guards against cancelled jobs without an answer while each step of the leader takes
// longer than the caller waits.
func TestLateConfirmationIsKept(t *testing.T) {
	withBusyLeader(t, func(ctx context.Context, t *testing.T, l *busyLeader) {
		const step = 4 * limits.CancelConfirmTimeout
		l.queueHeartbeats(1, step)
		synctest.Wait() // the actor is busy
		if l.confirm(ctx) {
			t.Error("a cancellation is confirmed that the leader has not processed")
		}
		time.Sleep(2 * step)
		l.queueHeartbeats(1, step)
		synctest.Wait()
		if !l.confirm(ctx) {
			t.Error("a cancellation is not confirmed although the leader has processed it")
		}
	})
}
