package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// errMachineTypesUnknown means that submissions cannot be checked against the machine types yet.
var errMachineTypesUnknown = errors.New("machine types not read from the state service yet")

// submitJob validates a submission and stores the job. It responds with 201 only once the job's record is
// known to be written.
func (g *Gateway) submitJob(ctx context.Context, body []byte) response {
	spec, err := g.parseSubmission(body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	if status, ok := g.cachedFinalStatus(spec.ID); ok {
		return cachedStatusResponse(status)
	}
	types := g.machineTypes.Load()
	if types == nil {
		return g.retryLaterResponse(errMachineTypesUnknown)
	}
	if reason := g.rejectionReason(spec, *types); reason != "" {
		return g.rejectUnlessAccepted(ctx, spec.ID, http.StatusUnprocessableEntity, reason)
	}
	record := storage.OpenJob{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
	if !storage.FitsValueLimit(record, g.settings.Deployment.State.ValueKB) {
		return g.rejectUnlessAccepted(ctx, spec.ID, http.StatusBadRequest, "too long")
	}
	return g.storeSubmission(ctx, record)
}

// storeSubmission writes the open record of a new job, unless the job exists already.
func (g *Gateway) storeSubmission(ctx context.Context, record storage.OpenJob) response {
	id := record.Spec.ID
	_, err := g.store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.OpenJobKey(id)}, {Key: storage.FinalJobKey(id)}},
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(id), Value: protocol.Encode(record)}},
	})
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		return statusResponse(http.StatusCreated, protocol.JobStatus{ID: id, State: protocol.JobPending})
	case errors.As(err, &conflict), errors.Is(err, storage.ErrOutcomeUnknown):
		// The job existed already, or it is unknown whether this write was executed. If the job is not
		// found now, the write may still be executed later. The user is then asked to retry, and the
		// conditions of the transaction ensure that the job is stored only once.
		status, found, readErr := g.readJobStatus(ctx, id)
		if readErr != nil {
			return g.retryLaterResponse(readErr)
		}
		if !found {
			return g.retryLaterResponse(err)
		}
		return statusResponse(http.StatusOK, status)
	case errors.Is(err, storage.ErrBadRequest):
		g.log.Error("job record rejected by the state service", "job", id, "err", err)
		return errorResponse(http.StatusBadRequest, "cannot be stored")
	}
	return g.retryLaterResponse(err)
}

// parseSubmission decodes and validates a submission. A gang is invalid if the workers do not support
// gangs according to the settings.
func (g *Gateway) parseSubmission(body []byte) (*protocol.Spec, error) {
	spec, err := protocol.ParseSpec(body)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	if spec.IsGang() && !g.settings.Deployment.Workers.SupportsGangs() {
		return nil, fmt.Errorf("%w: Shape: %s is not known to the workers here", protocol.ErrInvalid, spec.Shape)
	}
	return spec, nil
}

// isMalformed reports whether a submission is invalid, so that it would be rejected however often it is
// retried.
func (g *Gateway) isMalformed(body []byte) bool {
	_, err := g.parseSubmission(body)
	return err != nil
}

// rejectUnlessAccepted rejects a submission, unless the job was accepted before. An accepted job stays
// accepted, even if it would be rejected now because machine types or limits have changed since.
func (g *Gateway) rejectUnlessAccepted(ctx context.Context, id string, status int, reason string) response {
	accepted, found, err := g.readJobStatus(ctx, id)
	switch {
	case err != nil:
		return g.retryLaterResponse(err)
	case found:
		return statusResponse(http.StatusOK, accepted)
	}
	return errorResponse(status, reason)
}

// rejectionReason returns why a job can never run, or "" if it can.
func (g *Gateway) rejectionReason(spec *protocol.Spec, types []protocol.MachineType) string {
	for _, team := range g.settings.Deployment.Teams {
		if team.Name != spec.Team {
			continue
		}
		if !scheduler.CanEverRun(spec, types, team.MaxCPUs, team.MaxGPUs) {
			return "no allowed machine type holds a task, " +
				"or the team's limit is below one task, or below all tasks of a gang"
		}
		return ""
	}
	return "unknown team"
}
