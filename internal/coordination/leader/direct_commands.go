package leader

import (
	"context"
	"errors"
	"fmt"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// errWorker marks an answer of a worker that is not what was asked for.
var errWorker = errors.New("worker")

// sendDirectCommands sends commands to a worker and returns its report after them. The status is
// 200, or 409 if nothing was executed.
func (t *term) sendDirectCommands(ctx context.Context, c *transport.Client, d protocol.DirectCommands) (int, *protocol.Heartbeat, error) {
	m, err := c.Do(ctx, "POST", "/do", protocol.Encode(d))
	if err != nil {
		return 0, nil, err
	}
	if m.Status != 200 && m.Status != 409 {
		return m.Status, nil, fmt.Errorf("%w: do: status %d", errWorker, m.Status)
	}
	var r protocol.Heartbeat
	if err := protocol.Decode(m.Body, &r); err != nil {
		return m.Status, nil, fmt.Errorf("%w: do: %w", errWorker, err)
	}
	return m.Status, &r, nil
}

// executeDirectCommands carries out a direct command.
func (t *term) executeDirectCommands(ctx context.Context, d scheduler.SendDirectCommands, c *transport.Client) {
	done := scheduler.DirectCommandsDone{ID: d.ID, Machine: d.Machine}
	if !t.leadership.Entitled() {
		done.NotExecuted = true
		t.send(ctx, done)
		return
	}
	cctx, cancel := context.WithTimeout(ctx, limits.DirectCommandTimeout)
	defer cancel()
	status, r, err := t.sendDirectCommands(cctx, c, protocol.DirectCommands{FencingToken: t.leadership.Term, Incarnation: d.Incarnation, Commands: d.Commands})
	switch {
	case errors.Is(err, transport.ErrNotSent):
		done.NotExecuted = true
	case err != nil:
		t.log.Debug("direct command", "machine", d.Machine, "err", err)
	case status == 409:
		done.NotExecuted = true
		if r.FencingToken > t.leadership.Term {
			t.dispatcher.termLost(t.leadership.Term)
		}
	default:
		done.Heartbeat = r
	}
	t.send(ctx, done)
}
