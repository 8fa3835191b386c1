package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// parseSubmission reads a submission. Where the workers know no gangs, there is no such shape.
func (g *Gateway) parseSubmission(body []byte) (*protocol.Spec, error) {
	spec, err := protocol.ParseSpec(body)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	if spec.Gang() && !g.Settings.Facts.Workers.Gangs() {
		return nil, fmt.Errorf("%w: Shape: %s is not known to the workers here", protocol.ErrInvalid, spec.Shape)
	}
	return spec, nil
}

func (g *Gateway) isMalformed(body []byte) bool {
	_, err := g.parseSubmission(body)
	return err != nil
}

// submitJob accepts a job: the answer is given only after the record is known to be written.
func (g *Gateway) submitJob(ctx context.Context, body []byte) (int, any) {
	spec, err := g.parseSubmission(body)
	if err != nil {
		return 400, errorBody{Error: err.Error()}
	}
	if st, over := g.finalState(spec.ID); over {
		return 200, st
	}
	types := g.machineTypes.Load()
	if types == nil {
		return g.retryLater(errors.New("machine types not known yet"))
	}
	if why := g.rejectionReason(spec, *types); why != "" {
		return g.rejectUnlessAccepted(ctx, spec.ID, 422, why)
	}
	rec := storage.OpenJob{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
	if !storage.FitsValueLimit(rec, g.Settings.Facts.State.ValueKB) {
		return g.rejectUnlessAccepted(ctx, spec.ID, 400, "too long")
	}
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.OpenJobKey(spec.ID)}, {Key: storage.FinalJobKey(spec.ID)}},
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(spec.ID), Value: protocol.Encode(rec)}},
	}
	_, err = g.Store.CompareAndSwap(ctx, txn)
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		return 201, protocol.JobStatus{ID: spec.ID, State: protocol.Pending}
	case errors.As(err, &conflict), errors.Is(err, storage.ErrOutcomeUnknown):
		// It is there already, or may have been written just now. What is not there yet may still
		// be: the user asks again, and the guards make sure that it is written once.
		st, known, rerr := g.readJobStatus(ctx, spec.ID)
		if rerr != nil {
			return g.retryLater(rerr)
		}
		if known {
			return 200, st
		}
		return g.retryLater(err)
	case errors.Is(err, storage.ErrBadRequest):
		g.Log.Error("submission not storable", "job", spec.ID, "err", err)
		return 400, errorBody{Error: "cannot be stored"}
	}
	return g.retryLater(err)
}

// rejectUnlessAccepted refuses a submission. A job that was accepted stays accepted, even if
// machine types or limits have changed since.
func (g *Gateway) rejectUnlessAccepted(ctx context.Context, id string, status int, why string) (int, any) {
	st, known, err := g.readJobStatus(ctx, id)
	if err != nil {
		return g.retryLater(err)
	}
	if known {
		return 200, st
	}
	return status, errorBody{Error: why}
}

// rejectionReason says why a job can never run, or "".
func (g *Gateway) rejectionReason(spec *protocol.Spec, types []protocol.MachineType) string {
	for _, t := range g.Settings.Facts.Teams {
		if t.Name == spec.Team {
			if !scheduler.CanEverRun(spec, types, t.CPUsMax, t.GPUsMax) {
				return "no allowed machine type holds a task, or the team's limit is below one task, or below all tasks of a gang"
			}
			return ""
		}
	}
	return "unknown team"
}
