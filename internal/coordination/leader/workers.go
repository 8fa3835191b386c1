package leader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

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

// workerClient returns the client of a worker's address.
func (t *term) workerClient(addr string) *transport.Client {
	c := t.workerClients[addr]
	if c == nil {
		if len(t.workerClients) >= t.maxWorkerClients {
			t.closeWorkerClients(1)
		}
		c = transport.NewClient(addr, 1, limits.MaxBodyBytes).WithSockets(t.dispatcher.sockets).WithDialer(t.dispatcher.dialer)
		t.workerClients[addr] = c
	}
	return c
}

// releaseSockets gives up connections to workers where what comes in needs the sockets.
func (t *term) releaseSockets() { t.closeWorkerClients(t.dispatcher.sockets.Excess()) }

// closeWorkerClients drops at least n kept connections to workers, any ones; a connection is cheap
// to make again.
func (t *term) closeWorkerClients(n int) {
	for addr, c := range t.workerClients {
		if n <= 0 {
			return
		}
		n -= max(c.Close(), 1)
		delete(t.workerClients, addr)
	}
}

// closeAllWorkerClients drops the kept connections to workers.
func (t *term) closeAllWorkerClients() { t.closeWorkerClients(math.MaxInt) }

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
