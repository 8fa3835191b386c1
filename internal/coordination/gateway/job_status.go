package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// read reads a record of a job, or one on which the answer about the job depends. The job about which users
// have asked longest without an answer goes first.
func (g *Gateway) read(ctx context.Context, id, key string) (protocol.KeyValue, error) {
	return g.reader.Get(ctx, key, g.questions.since(id, time.Now()))
}

// recordUnanswered records that a question about a job, which arrived at a time, was not answered.
func (g *Gateway) recordUnanswered(id string, arrivedAt time.Time, outcome metrics.Outcome) {
	since, report := g.questions.recordFailure(id, arrivedAt, g.store.ReachableSince())
	if report {
		g.metrics.CountViolation(metrics.InvariantAnswerAge)
		g.log.Error("questions about a job are not answered", "job", id, "since", since, "reason", outcome)
	}
}

// getJob answers a poll of a job's status. For an open job the response includes the numbers of done and
// running tasks, if the leader replies in time.
func (g *Gateway) getJob(ctx context.Context, id string) response {
	if !protocol.IsValidJobID(id) {
		return jobNotFoundResponse()
	}
	if status, ok := g.cachedFinalStatus(id); ok {
		return cachedStatusResponse(status)
	}
	status, found, err := g.readJobStatus(ctx, id)
	switch {
	case err != nil:
		return g.retryLaterResponse(err)
	case !found:
		return jobNotFoundResponse()
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

// taskCounts asks the leader for the numbers of done and running tasks of a job. It returns false if the
// leader does not reply or does not know the job, or if too many such requests are in progress.
func (g *Gateway) taskCounts(ctx context.Context, id string) (peer.TaskCounts, bool) {
	select {
	case g.countSlots <- struct{}{}:
		defer func() { <-g.countSlots }()
	default:
		return peer.TaskCounts{}, false
	}
	if g.dispatcher.IsLeader() {
		return g.dispatcher.TaskCounts(ctx, id)
	}
	return g.peers.TaskCounts(ctx, g.leaderName(), id)
}

// cachedFinalStatus returns a job's status if its final state is cached.
func (g *Gateway) cachedFinalStatus(id string) (protocol.JobStatus, bool) {
	state, ok := g.finalStates.get(id)
	return protocol.JobStatus{ID: id, State: state}, ok
}

// readJobStatus reads a job's status from the state service unless it is cached, and reports whether the
// job exists. It reads the open record before the final one: one transaction replaces the open record
// with the final one, so a job that exists is never missed. The error is errCancellationUnconfirmed if
// the job is cancelled and this must not be reported to the user yet.
func (g *Gateway) readJobStatus(ctx context.Context, id string) (status protocol.JobStatus, found bool, err error) {
	if status, ok := g.cachedFinalStatus(id); ok {
		return status, true, nil
	}
	open, err := g.read(ctx, id, storage.OpenJobKey(id))
	if err != nil {
		return status, false, fmt.Errorf("read open record of %s: %w", id, err)
	}
	if open.Version != 0 {
		return g.openJobStatus(ctx, id, open)
	}
	final, err := g.read(ctx, id, storage.FinalJobKey(id))
	if err != nil {
		return status, false, fmt.Errorf("read final record of %s: %w", id, err)
	}
	if final.Version == 0 {
		return status, false, nil
	}
	var record storage.FinalJob
	if err := protocol.Decode(final.Value, &record); err != nil {
		return status, false, fmt.Errorf("decode final record of %s: %w", id, err)
	}
	g.finalStates.put(id, record.State)
	return protocol.JobStatus{ID: id, State: record.State}, true, nil
}

// openJobStatus returns the status of a job that has an open record. See readJobStatus for the results.
func (g *Gateway) openJobStatus(
	ctx context.Context, id string, open protocol.KeyValue,
) (status protocol.JobStatus, found bool, err error) {
	var record storage.OpenJob
	if err := protocol.Decode(open.Value, &record); err != nil {
		return status, false, fmt.Errorf("decode open record of %s: %w", id, err)
	}
	if !record.Cancelled {
		return protocol.JobStatus{ID: id, State: protocol.JobPending}, true, nil
	}
	// A status of "aborted" confirms the cancellation to the user, also in the response to a poll. A
	// status of "pending" could contradict a confirmation that another controller has given already.
	if !g.confirmCancellation(ctx, id, open) {
		return status, false, errCancellationUnconfirmed
	}
	return protocol.JobStatus{ID: id, State: protocol.JobCancelled}, true, nil
}
