package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// errCancellationUnconfirmed means that a job is cancelled according to its record, but that a leader which
// has not processed this record may still be entitled.
var errCancellationUnconfirmed = errors.New("cancellation stored but not confirmed by the leader yet")

// cancelJob marks a job as cancelled. It reports the job as aborted to the user only once the cancellation
// is confirmed, see confirmCancellation.
func (g *Gateway) cancelJob(ctx context.Context, id string) response {
	if !protocol.IsValidJobID(id) {
		return jobNotFoundResponse()
	}
	if status, ok := g.cachedFinalStatus(id); ok {
		return cachedStatusResponse(status)
	}
	for {
		// After an attempt without a result the record is read again. The loop ends with the context at
		// the latest, because reading the record fails then.
		if response, ok := g.tryCancel(ctx, id); ok {
			return response
		}
	}
}

// tryCancel reads a job's open record and marks the job as cancelled. It returns false if the record was
// changed between the read and the write, or if it is unknown whether the write was executed.
func (g *Gateway) tryCancel(ctx context.Context, id string) (response, bool) {
	open, err := g.read(ctx, id, storage.OpenJobKey(id))
	if err != nil {
		return g.retryLaterResponse(err), true
	}
	if open.Version == 0 {
		return g.cancelJobWithoutOpenRecord(ctx, id)
	}
	var record storage.OpenJob
	if err := protocol.Decode(open.Value, &record); err != nil {
		return g.retryLaterResponse(err), true
	}
	if record.Cancelled {
		return g.respondIfConfirmed(ctx, id, open), true
	}
	record.Cancelled, record.CancelledAtMs = true, time.Now().UnixMilli()
	data := protocol.Encode(record.TrimmedToLimit(g.settings.Deployment.State.ValueKB))
	revision, err := g.store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.OpenJobKey(id), Version: open.Version}},
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(id), Value: data}},
	})
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		return g.respondIfConfirmed(ctx, id, protocol.KeyValue{Version: revision, Value: data}), true
	case errors.As(err, &conflict), errors.Is(err, storage.ErrOutcomeUnknown):
		// The job finished or was cancelled since the read, or this write was executed and its reply
		// was lost.
		return response{}, false
	}
	return g.retryLaterResponse(err), true
}

// cancelJobWithoutOpenRecord handles the cancellation of a job for which no open record was found. It
// returns false if the job has one by now.
func (g *Gateway) cancelJobWithoutOpenRecord(ctx context.Context, id string) (response, bool) {
	status, found, err := g.readJobStatus(ctx, id)
	switch {
	case err != nil:
		return g.retryLaterResponse(err), true
	case !found:
		return jobNotFoundResponse(), true
	case status.State == protocol.JobDone || status.State == protocol.JobCancelled:
		return statusResponse(http.StatusOK, status), true
	}
	return response{}, false // the job was submitted between the two reads
}

// respondIfConfirmed handles the cancellation of a job that is cancelled according to its open record. If
// the cancellation is confirmed, it reports the job as aborted. Otherwise it asks the user to retry.
func (g *Gateway) respondIfConfirmed(ctx context.Context, id string, open protocol.KeyValue) response {
	if !g.confirmCancellation(ctx, id, open) {
		return g.retryLaterResponse(errCancellationUnconfirmed)
	}
	return statusResponse(http.StatusOK, protocol.JobStatus{ID: id, State: protocol.JobCancelled})
}

// confirmCancellation reports whether every leader, current or future, is certain to act on a
// cancellation that is stored in the state service. Only then may the cancellation be reported to the
// user. The leader's watch of the open jobs does not ensure this: if the state service first rejects the
// requests of the leader only and then those of all controllers, the votes of a majority keep the leader
// entitled, and it may not observe the cancellation until long after cancel_s, the time within which the
// job's tasks must be gone. So one of these conditions must hold after the job's record was written:
//   - The leader has replied that it has processed the job's record and was entitled afterwards. Then no
//     other controller was entitled at that time, and later leaders read the record.
//   - The leader has written a heartbeat record according to which it has observed the revision of the
//     job's record. Such a write succeeds only while no later term has begun.
//   - There is no leader key. Then its lease has expired, so that no leader is entitled, and the next
//     leader reads the job's record.
func (g *Gateway) confirmCancellation(ctx context.Context, id string, open protocol.KeyValue) bool {
	confirmed := g.dispatcher.ConfirmCancellation(ctx, id, open.Version, open.Value) ||
		g.peers.ConfirmCancellation(ctx, g.leaderName(), id, open.Version, open.Value) ||
		g.hasLeaderObservedRevision(ctx, id, open.Version)
	if confirmed {
		g.finalStates.put(id, protocol.JobCancelled) // later leaders cannot change it
	}
	return confirmed
}

// hasLeaderObservedRevision reports whether the leader has observed a revision of a job's record according to
// its heartbeat record, or there is no leader key. It returns false if a record cannot be read.
func (g *Gateway) hasLeaderObservedRevision(ctx context.Context, id string, revision uint64) bool {
	stored, err := g.read(ctx, id, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	if stored.Version != 0 {
		var heartbeat storage.LeaderHeartbeat
		if protocol.Decode(stored.Value, &heartbeat) == nil && heartbeat.ObservedRevision >= revision {
			return true
		}
	}
	leaderKey, err := g.read(ctx, id, storage.KeyLeader)
	return err == nil && leaderKey.Version == 0
}
