package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// errUnconfirmed means that a job is cancelled, but a leader that does not know of it may be entitled.
var errUnconfirmed = errors.New("cancellation not confirmed yet")

// cancelJob marks a job as cancelled, and makes sure that the leader knows before the user does.
func (g *Gateway) cancelJob(ctx context.Context, id string) response {
	if !protocol.ValidJobID(id) {
		return jobNotFound()
	}
	if status, ok := g.finalStatus(id); ok {
		return statusResponse(http.StatusOK, status)
	}
	for {
		// A try that finds the record changed is followed by another one. The end of the context ends
		// the loop, as reading the record fails then.
		if answer, ok := g.tryCancel(ctx, id); ok {
			return answer
		}
	}
}

// tryCancel reads a job's record and marks it as cancelled. It returns false if the record changed
// in between, or may have.
func (g *Gateway) tryCancel(ctx context.Context, id string) (response, bool) {
	open, err := g.store.Get(ctx, storage.OpenJobKey(id))
	if err != nil {
		return g.retryLater(err), true
	}
	if open.Version == 0 {
		return g.cancelJobNotOpen(ctx, id)
	}
	var record storage.OpenJob
	if err := protocol.Decode(open.Value, &record); err != nil {
		return g.retryLater(err), true
	}
	if record.Cancelled {
		return g.answerCancelled(ctx, id, open), true
	}
	record.Cancelled, record.CancelledAtMs = true, time.Now().UnixMilli()
	data := protocol.Encode(record.Shortened(g.settings.Facts.State.ValueKB))
	revision, err := g.store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.OpenJobKey(id), Version: open.Version}},
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(id), Value: data}},
	})
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		return g.answerCancelled(ctx, id, protocol.KeyValue{Version: revision, Value: data}), true
	case errors.As(err, &conflict), errors.Is(err, storage.ErrOutcomeUnknown):
		// The job finished or was cancelled in between, or this write was executed and its answer lost.
		return response{}, false
	}
	return g.retryLater(err), true
}

// cancelJobNotOpen answers the cancellation of a job that has no open record. It returns false if
// the job has one after all.
func (g *Gateway) cancelJobNotOpen(ctx context.Context, id string) (response, bool) {
	status, found, err := g.readJobStatus(ctx, id)
	switch {
	case err != nil:
		return g.retryLater(err), true
	case !found:
		return jobNotFound(), true
	case status.State == protocol.JobDone || status.State == protocol.JobCancelled:
		return statusResponse(http.StatusOK, status), true
	}
	return response{}, false // submitted between the two reads
}

// answerCancelled answers the cancellation of a job whose record says that it is cancelled.
func (g *Gateway) answerCancelled(ctx context.Context, id string, open protocol.KeyValue) response {
	if !g.confirmCancellation(ctx, id, open) {
		return g.retryLater(errUnconfirmed)
	}
	return statusResponse(http.StatusOK, protocol.JobStatus{ID: id, State: protocol.JobCancelled})
}

// confirmCancellation reports whether a cancellation that is in the state service binds every
// leader, so that the user may be told. The leader's own watch does not make sure of that: if the
// state service refuses first the leader alone and then everybody, the leader goes on by the votes
// of a quorum and sees nothing of the cancellation until cancel_s is long over. So one of these must
// hold after the record was written:
//   - the leader says that it knows the record, and was entitled then: no other was, and later
//     leaders read the record;
//   - the leader has written a heartbeat that covers the record: such a write succeeds only while no
//     later term has begun;
//   - there is no leader key: its lease has expired, so no leader is entitled, and the next one
//     reads the record.
func (g *Gateway) confirmCancellation(ctx context.Context, id string, open protocol.KeyValue) bool {
	confirmed := g.dispatcher.ConfirmCancellation(ctx, id, open.Version, open.Value) ||
		g.peers.ConfirmCancellation(ctx, g.leaderName(), id, open.Version, open.Value) ||
		g.coveredByLeaderHeartbeat(ctx, open.Version)
	if confirmed {
		g.finalStates.put(id, protocol.JobCancelled) // whatever leader comes
	}
	return confirmed
}

// coveredByLeaderHeartbeat reports whether the leader has observed a revision, by the heartbeat that
// it writes, or there is no leader.
func (g *Gateway) coveredByLeaderHeartbeat(ctx context.Context, revision uint64) bool {
	stored, err := g.store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	if stored.Version != 0 {
		var heartbeat storage.LeaderHeartbeat
		if protocol.Decode(stored.Value, &heartbeat) == nil && heartbeat.ObservedRevision >= revision {
			return true
		}
	}
	leaderKey, err := g.store.Get(ctx, storage.KeyLeader)
	return err == nil && leaderKey.Version == 0
}
