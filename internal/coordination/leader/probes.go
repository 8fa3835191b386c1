package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// executeProbe learns a machine's session and shows it our term; what it answers then is not
// changed by earlier leaders any more.
func (t *term) executeProbe(ctx context.Context, p scheduler.ProbeMachine) {
	select {
	case t.probeSlots <- struct{}{}:
		defer func() { <-t.probeSlots }()
	case <-ctx.Done():
		return
	}
	if late := t.lastSlowHeartbeatAt.Load(); late != 0 && t.now()-time.Duration(late) < limits.SlowHeartbeatMemory {
		// Reports wait. They prove as much, and what waits is late for its worker's lease; a probe
		// can come later.
		t.send(ctx, scheduler.ProbeDone{Machine: p.Machine, NotSent: true})
		return
	}
	pctx, cancel := context.WithTimeout(ctx, limits.ProbeTimeout)
	defer cancel()
	c := transport.NewClient(p.Address, 1, limits.MaxBodyBytes).WithSockets(t.dispatcher.sockets).WithDialer(t.dispatcher.dialer)
	defer c.Close()
	began := time.Now()
	r, err := t.probeWorker(pctx, c)
	if err != nil {
		t.log.Debug("probe", "machine", p.Machine, "err", err)
		r = nil
	}
	t.send(ctx, scheduler.ProbeDone{Machine: p.Machine, Heartbeat: r, Took: time.Since(began), NotSent: errors.Is(err, transport.ErrSocketBudget)})
}

func (t *term) probeWorker(ctx context.Context, c *transport.Client) (*protocol.Heartbeat, error) {
	m, err := c.Do(ctx, "GET", "/status", nil)
	if err != nil {
		return nil, err
	}
	var r protocol.Heartbeat
	if m.Status != 200 {
		return nil, fmt.Errorf("%w: status: status %d", errWorker, m.Status)
	}
	if err := protocol.Decode(m.Body, &r); err != nil {
		return nil, fmt.Errorf("%w: status: %w", errWorker, err)
	}
	if !t.leadership.Entitled() {
		return nil, fmt.Errorf("%w: no longer entitled", errWorker)
	}
	status, fresh, err := t.sendDirectCommands(ctx, c, protocol.DirectCommands{FencingToken: t.leadership.Term, Incarnation: r.Incarnation})
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("%w: do: status %d", errWorker, status)
	}
	return fresh, nil
}
