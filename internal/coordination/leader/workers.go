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

// direct sends commands to a worker and returns its report after them. The status is 200, or 409 if nothing was executed.
func (t *term) direct(ctx context.Context, c *transport.Client, d protocol.Direct) (int, *protocol.Report, error) {
	m, err := c.Do(ctx, "POST", "/do", protocol.Encode(d))
	if err != nil {
		return 0, nil, err
	}
	if m.Status != 200 && m.Status != 409 {
		return m.Status, nil, fmt.Errorf("%w: do: status %d", errWorker, m.Status)
	}
	var r protocol.Report
	if err := protocol.Decode(m.Body, &r); err != nil {
		return m.Status, nil, fmt.Errorf("%w: do: %w", errWorker, err)
	}
	return m.Status, &r, nil
}

// probe learns a machine's session and shows it our term; what it answers then is not changed by earlier leaders any more.
func (t *term) probe(ctx context.Context, p scheduler.ProbeOut) {
	select {
	case t.probes <- struct{}{}:
		defer func() { <-t.probes }()
	case <-ctx.Done():
		return
	}
	if late := t.late.Load(); late != 0 && t.now()-time.Duration(late) < limits.BusyFor {
		// Reports wait. They prove as much, and what waits is late for its worker's lease; a probe can come later.
		t.post(ctx, scheduler.ProbeDone{Rig: p.Rig, Unasked: true})
		return
	}
	pctx, cancel := context.WithTimeout(ctx, limits.ProbeTimeout)
	defer cancel()
	c := transport.NewClient(p.Address, 1, limits.MaxBodyBytes).Within(t.d.sockets).Over(t.d.dialer)
	defer c.Close()
	r, err := t.probeReport(pctx, c)
	if err != nil {
		t.log.Debug("probe", "machine", p.Rig, "err", err)
		r = nil
	}
	t.post(ctx, scheduler.ProbeDone{Rig: p.Rig, Report: r, Unasked: errors.Is(err, transport.ErrNoSocket)})
}

func (t *term) probeReport(ctx context.Context, c *transport.Client) (*protocol.Report, error) {
	m, err := c.Do(ctx, "GET", "/status", nil)
	if err != nil {
		return nil, err
	}
	var r protocol.Report
	if m.Status != 200 {
		return nil, fmt.Errorf("%w: status: status %d", errWorker, m.Status)
	}
	if err := protocol.Decode(m.Body, &r); err != nil {
		return nil, fmt.Errorf("%w: status: %w", errWorker, err)
	}
	if !t.m.Entitled() {
		return nil, fmt.Errorf("%w: no longer entitled", errWorker)
	}
	status, fresh, err := t.direct(ctx, c, protocol.Direct{Token: t.m.Term, Session: r.Session})
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("%w: do: status %d", errWorker, status)
	}
	return fresh, nil
}

// worker returns the client of a worker's address.
func (t *term) worker(addr string) *transport.Client {
	c := t.workers[addr]
	if c == nil {
		if len(t.workers) >= t.clients {
			t.giveUp(1)
		}
		c = transport.NewClient(addr, 1, limits.MaxBodyBytes).Within(t.d.sockets).Over(t.d.dialer)
		t.workers[addr] = c
	}
	return c
}

// makeRoom gives up connections to workers where what comes in needs the sockets.
func (t *term) makeRoom() { t.giveUp(t.d.sockets.Excess()) }

// giveUp drops at least n kept connections to workers, any ones; a connection is cheap to make again.
func (t *term) giveUp(n int) {
	for addr, c := range t.workers {
		if n <= 0 {
			return
		}
		n -= max(c.Close(), 1)
		delete(t.workers, addr)
	}
}

// hangUp drops the kept connections to workers.
func (t *term) hangUp() { t.giveUp(math.MaxInt) }

// send carries out a direct command.
func (t *term) send(ctx context.Context, d scheduler.DirectOut, c *transport.Client) {
	done := scheduler.DirectDone{ID: d.ID, Rig: d.Rig}
	if !t.m.Entitled() {
		done.Refused = true
		t.post(ctx, done)
		return
	}
	cctx, cancel := context.WithTimeout(ctx, limits.DirectTimeout)
	defer cancel()
	status, r, err := t.direct(cctx, c, protocol.Direct{Token: t.m.Term, Session: d.Shift, Commands: d.Orders})
	switch {
	case errors.Is(err, transport.ErrNotSent):
		done.Refused = true
	case err != nil:
		t.log.Debug("direct command", "machine", d.Rig, "err", err)
	case status == 409:
		done.Refused = true
		if r.Token > t.m.Term {
			t.d.lost(t.m.Term)
		}
	default:
		done.Report = r
	}
	t.post(ctx, done)
}
