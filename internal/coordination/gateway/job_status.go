package gateway

import (
	"context"
	"fmt"
	"net/http"

	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// showJob answers a user who polls the status of a job. While the job is open it asks the leader for
// the counts of its tasks.
func (g *Gateway) showJob(ctx context.Context, id string) response {
	if !protocol.ValidJobID(id) {
		return jobNotFound()
	}
	status, found, err := g.readJobStatus(ctx, id)
	switch {
	case err != nil:
		return g.retryLater(err)
	case !found:
		return jobNotFound()
	}
	if status.State == protocol.JobPending {
		if counts, ok := g.taskCounts(ctx, id); ok {
			status.Done, status.Running = &counts.Done, &counts.Running
			if counts.Running > 0 {
				status.State = protocol.JobRunning
			}
		}
	}
	return statusResponse(http.StatusOK, status)
}

// taskCounts asks the leader for a job's counts.
func (g *Gateway) taskCounts(ctx context.Context, id string) (peer.TaskCounts, bool) {
	if g.dispatcher.IsLeader() {
		return g.dispatcher.TaskCounts(ctx, id)
	}
	return g.peers.TaskCounts(ctx, g.leaderName(), id)
}

// finalStatus returns the status of a job that is known here to be over.
func (g *Gateway) finalStatus(id string) (protocol.JobStatus, bool) {
	state, ok := g.finalStates.get(id)
	return protocol.JobStatus{ID: id, State: state}, ok
}

// readJobStatus reads a job's status, and whether there is such a job. It reads the open record
// before the final one: as a job moves from the one to the other in one transaction, it is never
// missed. The error is errUnconfirmed if the job is cancelled and the user cannot be told so yet.
func (g *Gateway) readJobStatus(ctx context.Context, id string) (status protocol.JobStatus, found bool, err error) {
	if status, ok := g.finalStatus(id); ok {
		return status, true, nil
	}
	open, err := g.store.Get(ctx, storage.OpenJobKey(id))
	if err != nil {
		return status, false, fmt.Errorf("read %s: %w", id, err)
	}
	if open.Version != 0 {
		return g.openJobStatus(ctx, id, open)
	}
	final, err := g.store.Get(ctx, storage.FinalJobKey(id))
	if err != nil {
		return status, false, fmt.Errorf("read %s: %w", id, err)
	}
	if final.Version == 0 {
		return status, false, nil
	}
	var record storage.FinalJob
	if err := protocol.Decode(final.Value, &record); err != nil {
		return status, false, fmt.Errorf("read %s: %w", id, err)
	}
	g.finalStates.put(id, record.State)
	return protocol.JobStatus{ID: id, State: record.State}, true, nil
}

// openJobStatus returns the status of a job by its open record.
func (g *Gateway) openJobStatus(
	ctx context.Context, id string, open protocol.KeyValue,
) (status protocol.JobStatus, found bool, err error) {
	var record storage.OpenJob
	if err := protocol.Decode(open.Value, &record); err != nil {
		return status, false, fmt.Errorf("read %s: %w", id, err)
	}
	if !record.Cancelled {
		return protocol.JobStatus{ID: id, State: protocol.JobPending}, true, nil
	}
	// "aborted" is a confirmation, also as the answer to a poll. "pending" would contradict what
	// another controller may have confirmed already.
	if !g.confirmCancellation(ctx, id, open) {
		return status, false, errUnconfirmed
	}
	return protocol.JobStatus{ID: id, State: protocol.JobCancelled}, true, nil
}
