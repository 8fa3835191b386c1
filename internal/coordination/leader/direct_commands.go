package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// executeDirectCommands sends commands to a worker at once, instead of in the reply to its next
// heartbeat.
func (t *termActor) executeDirectCommands(
	ctx context.Context, effect scheduler.SendDirectCommands, worker *transport.Client,
) {
	done := scheduler.DirectCommandsDone{ID: effect.ID, Machine: effect.Machine}
	if !t.leadership.IsEntitled() {
		done.NotExecuted = true
		t.sendEvent(ctx, done)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, limits.DirectCommandTimeout)
	defer cancel()
	heartbeat, err := sendDirectCommands(callCtx, worker, protocol.DirectCommands{
		FencingToken: effect.FencingToken,
		Incarnation:  effect.Incarnation,
		Commands:     effect.Commands,
	})
	var rejected *commandsRejectedError
	switch {
	case err == nil:
		done.Heartbeat = heartbeat
	case errors.Is(err, transport.ErrNotSent):
		done.NotExecuted = true
	case errors.As(err, &rejected):
		done.NotExecuted = true
		t.checkFencingToken(rejected.heartbeat)
	}
	t.logDirectCommands(effect, err)
	t.sendEvent(ctx, done)
}

// sendDirectCommands sends commands to a worker and returns the heartbeat in its reply, which shows
// the worker's state after the commands. The error is a commandsRejectedError if the worker rejected
// the commands, and wraps transport.ErrNotSent if the request was not sent. After any other error the
// commands may have been executed.
func sendDirectCommands(
	ctx context.Context, worker *transport.Client, commands protocol.DirectCommands,
) (*protocol.Heartbeat, error) {
	response, err := worker.Do(ctx, http.MethodPost, "/do", protocol.Encode(commands))
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return nil, &statusError{service: "worker", operation: "send commands", status: response.Status}
	}
	var heartbeat protocol.Heartbeat
	if err := protocol.Decode(response.Body, &heartbeat); err != nil {
		return nil, fmt.Errorf("worker: send commands: decode reply: %w", err)
	}
	if response.Status == http.StatusConflict {
		return nil, &commandsRejectedError{&heartbeat}
	}
	return &heartbeat, nil
}
