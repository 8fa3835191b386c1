// Package leader runs the scheduler while this controller is the leader. Each term has one actor: a
// goroutine that owns the scheduler and receives all input as messages. The scheduler returns effects,
// such as writes to the state service and calls of the cloud. Other goroutines execute those that need
// I/O, so that the actor never blocks on I/O.
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
	"quillshunt/internal/metrics"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// DispatcherOptions are the settings and dependencies of a Dispatcher.
type DispatcherOptions struct {
	Settings *config.Settings
	Options  config.Options // set by the operators
	Store    *storage.Store
	Cloud    *CloudClient
	Sockets  *transport.SocketBudget // nil: unlimited
	Dialer   transport.Dialer        // for connections to workers; nil: TCP
	Metrics  *metrics.Metrics        // or nil
	Log      *slog.Logger
}

// Dispatcher runs the actor of each term and passes messages to the actor of the current term, if this
// process leads. One Dispatcher serves all terms of the process. It is safe for concurrent use.
type Dispatcher struct {
	settings     *config.Settings
	options      config.Options
	store        *storage.Store
	cloud        *CloudClient
	sockets      *transport.SocketBudget // or nil
	dialer       transport.Dialer        // for connections to workers
	metrics      *metrics.Metrics        // or nil
	log          *slog.Logger
	onTermLost   func(term uint64)
	currentActor atomic.Pointer[termActor] // nil while this process does not lead
}

// NewDispatcher returns a Dispatcher that does not lead yet.
func NewDispatcher(o DispatcherOptions) *Dispatcher {
	return &Dispatcher{
		settings:   o.Settings,
		options:    o.Options,
		store:      o.Store,
		cloud:      o.Cloud,
		sockets:    o.Sockets,
		dialer:     o.Dialer,
		metrics:    o.Metrics,
		log:        o.Log,
		onTermLost: func(uint64) {},
	}
}

// OnTermLost sets the function that is called when a write or a worker shows that there is a later
// leader, so that the term is over. It must be called before the first RunTerm.
func (d *Dispatcher) OnTermLost(termLost func(term uint64)) { d.onTermLost = termLost }

// IsLeader reports whether this process runs a term. Another controller may have become the leader
// since, without this process having detected it; see IsEntitled.
func (d *Dispatcher) IsLeader() bool { return d.currentActor.Load() != nil }

// IsEntitled reports whether this process is entitled to act as the leader at this moment. No other
// controller is entitled then.
func (d *Dispatcher) IsEntitled() bool {
	t := d.currentActor.Load()
	return t != nil && t.leadership.IsEntitled()
}

// StalledFor returns for how long the actor of the current term has been processing the same message, at the last
// check, or 0 if it goes on or this process does not lead. No worker is answered and no cancellation confirmed then.
func (d *Dispatcher) StalledFor() time.Duration {
	t := d.currentActor.Load()
	if t == nil {
		return 0
	}
	return t.turns.watchdog.StalledFor()
}

// HandleHeartbeat passes a worker's heartbeat to the actor. It never blocks: if this process does not lead
// or has handed over, or too many heartbeats wait, the heartbeat is answered with 503 at once. sameConnection
// means that the previous heartbeat on the same connection was answered with 200 and that the worker, as it
// has sent another one, has received that reply.
func (d *Dispatcher) HandleHeartbeat(body []byte, sameConnection bool, respond HeartbeatResponderFunc) {
	d.enqueueHeartbeat(heartbeatMessage{body: body, respond: respond, sameConnection: sameConnection})
}

// HandleRelayedHeartbeat passes to the actor a worker's heartbeat that another controller has relayed. It
// returns the HTTP status and the body of the reply. See HandleHeartbeat for sameConnection.
func (d *Dispatcher) HandleRelayedHeartbeat(ctx context.Context, body []byte, sameConnection bool) (int, []byte) {
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
	t := d.currentActor.Load()
	if t == nil || t.leadership.HasResigned() {
		msg.respond(http.StatusServiceUnavailable, nil)
		return
	}
	msg.arrivedAt = time.Now()
	select {
	case t.heartbeats <- msg:
	default:
		msg.respond(http.StatusServiceUnavailable, nil)
	}
}

// TaskCounts returns the numbers of done and running tasks of a job. It returns false if this process
// does not lead, if its scheduler does not know the job, or if the actor does not reply in time.
func (d *Dispatcher) TaskCounts(ctx context.Context, job string) (peer.TaskCounts, bool) {
	t := d.currentActor.Load()
	if t == nil {
		return peer.TaskCounts{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, limits.TaskCountsTimeout)
	defer cancel()
	reply := make(chan scheduler.TaskCounts, 1)
	counts, ok := requestReply(ctx, t, taskCountsMessage{job: job, sentAt: time.Now(), reply: reply}, reply)
	return peer.TaskCounts{Done: counts.Done, Running: counts.Running}, ok && counts.Known
}

// ConfirmCancellation passes the record of a cancelled job to the scheduler, before a controller
// confirms the cancellation to the user. It reports whether this leader was still entitled after the
// scheduler had processed the record, at the request of this call or before. If so, no other controller
// was the leader then, and every later leader reads the record from the state service. Waiting until the
// leader's own watch delivers the record could take long, as the state service may refuse the requests of
// this controller or of all controllers.
func (d *Dispatcher) ConfirmCancellation(ctx context.Context, job string, version uint64, record []byte) bool {
	t := d.currentActor.Load()
	if t == nil {
		return false
	}
	change, err := t.decodeOpenJob(storage.OpenJobKey(job), record, version)
	if err != nil || !change.Record.Cancelled {
		return false
	}
	if t.cancellations.contains(job, version) {
		return t.leadership.IsEntitled()
	}
	ctx, cancel := context.WithTimeout(ctx, limits.CancelConfirmTimeout)
	defer cancel()
	reply := make(chan bool, 1)
	entitled, ok := requestReply(ctx, t, cancellationMessage{change: change, sentAt: time.Now(), reply: reply}, reply)
	return ok && entitled
}

// Status returns the status of the current term, or false if this process does not lead. If a job is
// named, the status explains why it waits.
func (d *Dispatcher) Status(ctx context.Context, job string) (*peerpb.StatusReply, bool) {
	t := d.currentActor.Load()
	if t == nil {
		return nil, false
	}
	reply := make(chan scheduler.Snapshot, 1)
	snapshot, ok := requestReply(ctx, t, statusMessage{job: job, reply: reply}, reply)
	if !ok {
		return nil, false
	}
	return t.statusReply(snapshot), true
}

// RunTerm runs the actor of a term until the context ends.
//
// It does not wait for the goroutines that execute effects, write records and watch jobs, which end with
// the context. They may be blocked in a call, and waiting for them would delay the elector, which takes
// part in the next election only after RunTerm has returned. Requests that they still send are fenced by
// the term: writes by the condition on the leader key, commands by the fencing token, and rental requests
// by names that are never used again.
func (d *Dispatcher) RunTerm(ctx context.Context, leadership *election.Leadership) {
	t := newTermActor(d, leadership)
	d.currentActor.Store(t)
	defer d.currentActor.Store(nil)
	d.metrics.SetTerm(leadership.Term)
	defer d.metrics.EndTerm()
	defer t.rejectQueuedHeartbeats()
	defer t.workerClients.closeAll()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.turns.watch(ctx)
	revision, ok := t.loadState(ctx)
	if !ok {
		return
	}
	w := &writer{actor: t}
	go w.run(ctx)
	go t.watchOpenJobs(ctx, revision)
	t.run(ctx)
}
