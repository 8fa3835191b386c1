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
		t.post(ctx, scheduler.ProbeDone{Machine: p.Machine, NotSent: true})
		return
	}
	pctx, cancel := context.WithTimeout(ctx, limits.ProbeTimeout)
	defer cancel()
	c := transport.NewClient(p.Address, 1, limits.MaxBodyBytes).Within(t.runner.sockets).Over(t.runner.dialer)
	defer c.Close()
	began := time.Now()
	r, err := t.probeReport(pctx, c)
	if err != nil {
		t.log.Debug("probe", "machine", p.Machine, "err", err)
		r = nil
	}
	t.post(ctx, scheduler.ProbeDone{Machine: p.Machine, Report: r, Took: time.Since(began), NotSent: errors.Is(err, transport.ErrNoSocket)})
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
	if !t.leadership.Entitled() {
		return nil, fmt.Errorf("%w: no longer entitled", errWorker)
	}
	status, fresh, err := t.direct(ctx, c, protocol.Direct{Token: t.leadership.Term, Session: r.Session})
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
			t.closeSome(1)
		}
		c = transport.NewClient(addr, 1, limits.MaxBodyBytes).Within(t.runner.sockets).Over(t.runner.dialer)
		t.workers[addr] = c
	}
	return c
}

// makeRoom gives up connections to workers where what comes in needs the sockets.
func (t *term) makeRoom() { t.closeSome(t.runner.sockets.Excess()) }

// closeSome drops at least n kept connections to workers, any ones; a connection is cheap to make again.
func (t *term) closeSome(n int) {
	for addr, c := range t.workers {
		if n <= 0 {
			return
		}
		n -= max(c.Close(), 1)
		delete(t.workers, addr)
	}
}

// closeConnections drops the kept connections to workers.
func (t *term) closeConnections() { t.closeSome(math.MaxInt) }

// send carries out a direct command.
func (t *term) send(ctx context.Context, d scheduler.DirectOut, c *transport.Client) {
	done := scheduler.DirectDone{ID: d.ID, Machine: d.Machine}
	if !t.leadership.Entitled() {
		done.Refused = true
		t.post(ctx, done)
		return
	}
	cctx, cancel := context.WithTimeout(ctx, limits.DirectTimeout)
	defer cancel()
	status, r, err := t.direct(cctx, c, protocol.Direct{Token: t.leadership.Term, Session: d.Session, Commands: d.Commands})
	switch {
	case errors.Is(err, transport.ErrNotSent):
		done.Refused = true
	case err != nil:
		t.log.Debug("direct command", "machine", d.Machine, "err", err)
	case status == 409:
		done.Refused = true
		if r.Token > t.leadership.Term {
			t.runner.lost(t.leadership.Term)
		}
	default:
		done.Report = r
	}
	t.post(ctx, done)
}
