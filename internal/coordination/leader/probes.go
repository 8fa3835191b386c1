package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// executeProbe asks the worker on a machine for its tasks and sends it a fencing token of this term. From
// then on the worker rejects commands of earlier terms, so that earlier leaders can no longer change
// what it has reported.
func (t *termActor) executeProbe(ctx context.Context, probe scheduler.ProbeMachine) {
	select {
	case t.probeSlots <- struct{}{}:
		defer func() { <-t.probeSlots }()
	case <-ctx.Done():
		return
	}
	if t.hasRecentSlowHeartbeat() {
		// A queued heartbeat gives the scheduler the same information as a probe, and its reply must
		// reach the worker before the worker lease expires. The probe can be sent later.
		t.sendEvent(ctx, scheduler.ProbeDone{Machine: probe.Machine, NotSent: true})
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, limits.ProbeTimeout)
	defer cancel()
	worker := t.dispatcher.newWorkerClient(probe.Address)
	defer worker.CloseIdleConnections()
	startedAt := time.Now()
	heartbeat, err := t.probeWorker(probeCtx, worker, probe.FencingToken)
	if err != nil {
		t.log.Debug("probe of machine failed", "machine", probe.Machine, "err", err)
	}
	t.sendEvent(ctx, scheduler.ProbeDone{
		Machine:   probe.Machine,
		Heartbeat: heartbeat,
		Elapsed:   time.Since(startedAt),
		NotSent:   errors.Is(err, transport.ErrSocketBudgetExhausted),
	})
}

// hasRecentSlowHeartbeat reports whether, within the last limits.ProbePause, a heartbeat was handled
// that had waited in the mailbox for longer than limits.SlowHeartbeatThreshold.
func (t *termActor) hasRecentSlowHeartbeat() bool {
	slowAt := t.lastSlowHeartbeatAt.Load()
	return slowAt != 0 && t.now()-time.Duration(slowAt) < limits.ProbePause
}

// probeWorker asks a worker for its incarnation, sends it an empty list of commands with a fencing token of this
// term, and returns the heartbeat in the second reply. The heartbeat is not nil if the error is nil.
func (t *termActor) probeWorker(
	ctx context.Context, worker *transport.Client, fencingToken uint64,
) (*protocol.Heartbeat, error) {
	response, err := worker.Do(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, &statusError{service: "worker", operation: "get status", status: response.Status}
	}
	var heartbeat protocol.Heartbeat
	if err := protocol.Decode(response.Body, &heartbeat); err != nil {
		return nil, fmt.Errorf("worker: get status: decode reply: %w", err)
	}
	if !t.leadership.IsEntitled() {
		return nil, fmt.Errorf("worker: send commands: %w", errNotEntitled)
	}
	return sendDirectCommands(ctx, worker, protocol.DirectCommands{
		FencingToken: fencingToken,
		Incarnation:  heartbeat.Incarnation,
	})
}
