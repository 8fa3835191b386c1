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

// errMachineTypesUnknown means that no submission can be checked yet.
var errMachineTypesUnknown = errors.New("machine types not known yet")

// submitJob accepts a job. It answers 201 only once the record is known to be written.
func (g *Gateway) submitJob(ctx context.Context, body []byte) response {
	spec, err := g.parseSubmission(body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	if status, ok := g.finalStatus(spec.ID); ok {
		return statusResponse(http.StatusOK, status)
	}
	types := g.machineTypes.Load()
	if types == nil {
		return g.retryLater(errMachineTypesUnknown)
	}
	if reason := g.rejectionReason(spec, *types); reason != "" {
		return g.rejectUnlessAccepted(ctx, spec.ID, http.StatusUnprocessableEntity, reason)
	}
	record := storage.OpenJob{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
	if !storage.FitsValueLimit(record, g.settings.Facts.State.ValueKB) {
		return g.rejectUnlessAccepted(ctx, spec.ID, http.StatusBadRequest, "too long")
	}
	return g.storeSubmission(ctx, record)
}

// storeSubmission writes the record of a new job, unless the job exists.
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
		// The job exists, or may just have been written. If it does not exist now it may still be
		// written: the user retries, and the conditions make sure that it is written only once.
		status, found, readErr := g.readJobStatus(ctx, id)
		if readErr != nil {
			return g.retryLater(readErr)
		}
		if !found {
			return g.retryLater(err)
		}
		return statusResponse(http.StatusOK, status)
	case errors.Is(err, storage.ErrBadRequest):
		g.log.Error("submission not storable", "job", id, "err", err)
		return errorResponse(http.StatusBadRequest, "cannot be stored")
	}
	return g.retryLater(err)
}

// parseSubmission decodes and validates a submission. A gang is malformed where the settings say
// that the workers do not support gangs.
func (g *Gateway) parseSubmission(body []byte) (*protocol.Spec, error) {
	spec, err := protocol.ParseSpec(body)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	if spec.IsGang() && !g.settings.Facts.Workers.Gangs() {
		return nil, fmt.Errorf("%w: Shape: %s is not known to the workers here", protocol.ErrInvalid, spec.Shape)
	}
	return spec, nil
}

// isMalformed reports whether a submission can never be accepted.
func (g *Gateway) isMalformed(body []byte) bool {
	_, err := g.parseSubmission(body)
	return err != nil
}

// rejectUnlessAccepted rejects a submission, unless the job was accepted before: then it stays
// accepted, even if machine types or limits have changed since.
func (g *Gateway) rejectUnlessAccepted(ctx context.Context, id string, status int, reason string) response {
	accepted, found, err := g.readJobStatus(ctx, id)
	switch {
	case err != nil:
		return g.retryLater(err)
	case found:
		return statusResponse(http.StatusOK, accepted)
	}
	return errorResponse(status, reason)
}

// rejectionReason returns why a job can never run, or "".
func (g *Gateway) rejectionReason(spec *protocol.Spec, types []protocol.MachineType) string {
	for _, team := range g.settings.Facts.Teams {
		if team.Name != spec.Team {
			continue
		}
		if !scheduler.CanEverRun(spec, types, team.CPUsMax, team.GPUsMax) {
			return "no allowed machine type holds a task, " +
				"or the team's limit is below one task, or below all tasks of a gang"
		}
		return ""
	}
	return "unknown team"
}
