// Package leader runs the terms in which this controller leads. In each term one actor owns the
// scheduler, and goroutines execute the effects that the scheduler decides on. Everything reaches
// the actor as a message, and the actor never blocks on I/O.
package leader

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// DispatcherOptions are the settings and collaborators of a Dispatcher.
type DispatcherOptions struct {
	Settings *config.Settings
	Options  config.Options // of the operators
	Store    *storage.Store
	Cloud    *CloudClient
	Sockets  *transport.SocketBudget // nil: unlimited
	Dialer   transport.Dialer        // for connections to workers; nil: TCP
	Log      *slog.Logger
}

// Dispatcher delivers messages to the actor of the current term, if this process leads. It outlives
// terms and is safe for concurrent use.
type Dispatcher struct {
	settings   *config.Settings
	options    config.Options
	store      *storage.Store
	cloud      *CloudClient
	sockets    *transport.SocketBudget // or nil
	dialer     transport.Dialer        // for connections to workers
	log        *slog.Logger
	onTermLost func(term uint64)
	current    atomic.Pointer[termActor] // nil while this process does not lead
}

// NewDispatcher returns a Dispatcher that has no term yet.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	return &Dispatcher{
		settings:   o.Settings,
		options:    o.Options,
		store:      o.Store,
		cloud:      o.Cloud,
		sockets:    o.Sockets,
		dialer:     o.Dialer,
		log:        o.Log,
		onTermLost: func(uint64) {},
	}
}

// OnTermLost sets the function that is called when a term turns out to be over. It must be called
// before the first term.
func (d *Dispatcher) OnTermLost(termLost func(term uint64)) { d.onTermLost = termLost }

// IsLeader reports whether this process leads, as far as it knows.
func (d *Dispatcher) IsLeader() bool { return d.current.Load() != nil }

// Entitled reports whether this process is surely the leader at this moment.
func (d *Dispatcher) Entitled() bool {
	t := d.current.Load()
	return t != nil && t.leadership.Entitled()
}

// HandleHeartbeat hands a worker's heartbeat to the term. It never blocks: the answer is 503 at once if
// this process does not lead or the mailbox is full. With sameConnection the heartbeat before on
// the same connection was answered 200, so that the worker has got that answer.
func (d *Dispatcher) HandleHeartbeat(body []byte, sameConnection bool, respond HeartbeatResponderFunc) {
	d.enqueueHeartbeat(heartbeatMessage{body: body, respond: respond, sameConnection: sameConnection})
}

// RelayedHeartbeat handles a heartbeat that came through another controller, and returns the answer.
func (d *Dispatcher) RelayedHeartbeat(ctx context.Context, body []byte, sameConnection bool) (int, []byte) {
	type response struct {
		status int
		body   []byte
	}
	responses := make(chan response, 1)
	d.enqueueHeartbeat(heartbeatMessage{
		body:           body,
		respond:        func(status int, body []byte) { responses <- response{status, body} },
		relayed:        true,
		sameConnection: sameConnection,
	})
	select {
	case r := <-responses:
		return r.status, r.body
	case <-ctx.Done():
		return http.StatusServiceUnavailable, nil
	}
}

func (d *Dispatcher) enqueueHeartbeat(msg heartbeatMessage) {
	t := d.current.Load()
	if t == nil {
		msg.respond(http.StatusServiceUnavailable, nil)
		return
	}
	msg.arrivedAt = time.Now()
	select {
	case t.mailbox <- msg:
	default:
		msg.respond(http.StatusServiceUnavailable, nil)
	}
}

// TaskCounts returns the task counts of a job if this process leads and knows the job.
func (d *Dispatcher) TaskCounts(ctx context.Context, job string) (peer.TaskCounts, bool) {
	t := d.current.Load()
	if t == nil {
		return peer.TaskCounts{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.TaskCountsTimeout)
	defer cancel()
	reply := make(chan scheduler.TaskCounts, 1)
	counts, ok := request(ctx, t, taskCountsMessage{job: job, reply: reply}, reply)
	return peer.TaskCounts{Done: counts.Done, Running: counts.Running}, ok && counts.Known
}

// ConfirmCancellation hands the record of a cancelled job to the term, for a controller that is
// about to confirm the cancellation to the user. It reports whether the term was entitled after its
// scheduler had processed the record: then no other controller was, and every later leader reads
// the record in the state service. The term's own watch may not see the record until long after,
// when the state service refuses this controller or all of them.
func (d *Dispatcher) ConfirmCancellation(ctx context.Context, job string, version uint64, record []byte) bool {
	t := d.current.Load()
	if t == nil {
		return false
	}
	change, err := t.decodeOpenJob(storage.OpenJobKey(job), record, version)
	if err != nil || !change.Record.Cancelled {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.CancelConfirmTimeout)
	defer cancel()
	reply := make(chan bool, 1)
	entitled, ok := request(ctx, t, cancellationMessage{change: change, reply: reply}, reply)
	return ok && entitled
}

// Inspect returns the status of the term if this process leads, and why a job waits if one is named.
func (d *Dispatcher) Inspect(ctx context.Context, job string) (*peerpb.StatusReply, bool) {
	t := d.current.Load()
	if t == nil {
		return nil, false
	}
	reply := make(chan scheduler.Snapshot, 1)
	snapshot, ok := request(ctx, t, inspectMessage{job: job, reply: reply}, reply)
	if !ok {
		return nil, false
	}
	return t.statusReply(snapshot), true
}

// RunTerm runs a term until its context ends or its state cannot be loaded before that.
//
// It does not wait for the goroutines that execute effects, write records and watch jobs: they may
// hang in a call, and the elector campaigns for the next term only after RunTerm has returned. They
// end with the context, and what they may still send is fenced by the term: by the leader's guard
// on writes, by the fencing token at workers, and by request names that are never used again.
func (d *Dispatcher) RunTerm(ctx context.Context, leadership *election.Leadership) {
	t := newTermActor(d, leadership)
	d.current.Store(t)
	defer d.current.Store(nil)
	defer t.rejectQueuedHeartbeats()
	defer t.workerClients.closeAll()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	revision, ok := t.loadState(ctx)
	if !ok {
		return
	}
	w := &writer{actor: t}
	go w.run(ctx)
	go t.watchOpenJobs(ctx, revision)
	t.run(ctx)
}
