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

// executeProbe asks a machine for its tasks and shows it the fencing token of this term. After that
// earlier leaders cannot change any more what it answered.
func (t *term) executeProbe(ctx context.Context, probe scheduler.ProbeMachine) {
	select {
	case t.probeSlots <- struct{}{}:
		defer func() { <-t.probeSlots }()
	case <-ctx.Done():
		return
	}
	if t.heartbeatsAreSlow() {
		// A waiting heartbeat proves as much as a probe, and it may be late for the worker's lease.
		// The probe can be sent later.
		t.sendEvent(ctx, scheduler.ProbeDone{Machine: probe.Machine, NotSent: true})
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, limits.ProbeTimeout)
	defer cancel()
	worker := t.dispatcher.newWorkerClient(probe.Address)
	defer worker.Close()
	startedAt := time.Now()
	heartbeat, err := t.probeWorker(probeCtx, worker)
	if err != nil {
		t.log.Debug("probe failed", "machine", probe.Machine, "err", err)
	}
	t.sendEvent(ctx, scheduler.ProbeDone{
		Machine:   probe.Machine,
		Heartbeat: heartbeat,
		Elapsed:   time.Since(startedAt),
		NotSent:   errors.Is(err, transport.ErrSocketBudget),
	})
}

// heartbeatsAreSlow reports whether a heartbeat has waited long in the mailbox a short while ago.
func (t *term) heartbeatsAreSlow() bool {
	slowAt := t.lastSlowHeartbeatAt.Load()
	return slowAt != 0 && t.now()-time.Duration(slowAt) < limits.SlowHeartbeatMemory
}

// probeWorker asks a worker for its incarnation, sends it an empty list of commands with this term's
// fencing token, and returns the heartbeat that it answers with. Without an error the heartbeat is
// not nil.
func (t *term) probeWorker(ctx context.Context, worker *transport.Client) (*protocol.Heartbeat, error) {
	answer, err := worker.Do(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, &statusError{service: "worker", request: "status", status: answer.Status}
	}
	var heartbeat protocol.Heartbeat
	if err := protocol.Decode(answer.Body, &heartbeat); err != nil {
		return nil, fmt.Errorf("worker: status: %w", err)
	}
	if !t.leadership.Entitled() {
		return nil, fmt.Errorf("worker: %w", errNotEntitled)
	}
	return sendDirectCommands(ctx, worker, protocol.DirectCommands{
		FencingToken: t.leadership.Term,
		Incarnation:  heartbeat.Incarnation,
	})
}
