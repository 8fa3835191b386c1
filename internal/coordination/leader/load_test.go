package leader

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// replyRecorder records whether a heartbeat was accepted.
type replyRecorder struct{ accepted bool }

func (r *replyRecorder) Accept(protocol.HeartbeatReply) { r.accepted = true }
func (r *replyRecorder) Redirect(protocol.Redirect)     {}
func (r *replyRecorder) Reject()                        {}

// TestLoadGoesOnAfterFailedPage guards against a term that never begins: the records take more requests than the
// state service answers in a row, and a load that began anew after a failed page would never read them all.
func TestLoadGoesOnAfterFailedPage(t *testing.T) {
	const pages, rejectEvery = 8, 5
	f := newWriterFixture(t)
	for i := range pages * limits.StatePageSize {
		f.putRecord(storage.OpenJobKey(fmt.Sprintf("job-%06d", i)), storage.OpenJob{
			Spec: protocol.Spec{ID: "x", Team: "red", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 1},
		})
	}
	f.state.SetRejectEvery(rejectEvery)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, events, ok := f.actor.readRecordsWithRetries(ctx)
	if !ok || len(events) != pages*limits.StatePageSize {
		t.Errorf("%d of %d records are read within 10 s", len(events), pages*limits.StatePageSize)
	}
}

// TestCancellationAgesWhileRecordsAreRead checks a new leader that takes long to read its records, after it
// has read the record of a cancelled job. The time until then counts too: the leader must not renew the lease
// of a worker that runs a task of the job beyond cancel_s of the cancellation.
func TestCancellationAgesWhileRecordsAreRead(t *testing.T) {
	const workerLease, cancelWithin = 27 * time.Second, 47 * time.Second
	for _, reading := range []time.Duration{0, 5 * time.Second, 21 * time.Second, 40 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			cancelledAt := time.Now()
			settings := &config.Settings{}
			settings.Deployment.MaxClockSkewMs = 100
			settings.Deployment.Teams = []config.Team{{Name: "red", MaxCPUs: 100}}
			settings.Deployment.Workers = config.WorkerTimes{
				HeartbeatIntervalS: 3, LeaseS: workerLease.Seconds(), CancelWithinS: cancelWithin.Seconds(),
			}
			settings.Deployment.MachineLimits.MaxSockets = 900
			dispatcher := NewDispatcher(DispatcherOptions{
				Settings: settings, Options: config.DefaultOptions(), Log: slog.New(slog.DiscardHandler),
			})
			actor := newTermActor(dispatcher, election.NewLeadership(2, 1, time.Now().Add(time.Hour)))
			record := protocol.Encode(storage.OpenJob{
				Spec:      protocol.Spec{ID: "job-1", Team: "red", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 1},
				Cancelled: true, CancelledAtMs: cancelledAt.UnixMilli(),
			})
			change, err := actor.decodeOpenJob(storage.OpenJobKey("job-1"), record, 1)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(reading)
			actor.step(context.Background(), change)
			reply := &replyRecorder{}
			actor.step(context.Background(), scheduler.HeartbeatReceived{
				Entitled: true,
				ReplyTo:  reply,
				Heartbeat: &protocol.Heartbeat{
					Machine: "m-1", Address: "x:1", MachineType: "s8", Zone: "a",
					Incarnation: 1, Sequence: 1, FencingToken: 1,
					Tasks: []protocol.TaskStatus{{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}},
				},
			})
			if endsInTime := reading+workerLease <= cancelWithin; reply.accepted != endsInTime {
				t.Errorf("heartbeat %v after the cancellation: accepted %v, want %v",
					reading, reply.accepted, endsInTime)
			}
		})
	}
}
