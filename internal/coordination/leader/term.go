package leader

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// term is the actor of one term. What run and the methods it calls use is owned by the actor's
// goroutine, but for the fields that say otherwise.
type term struct {
	dispatcher *Dispatcher          // immutable here
	leadership *election.Leadership // safe for concurrent use
	startedAt  time.Time            // immutable
	log        *slog.Logger         // safe for concurrent use

	mailbox       chan message
	scheduler     *scheduler.Scheduler
	writes        writeQueue
	writer        chan scheduler.WriteRecords // to the writer's goroutine
	workerClients workerClientPool
	probeSlots    chan struct{} // bounds the probes in flight: a failover probes all machines at once

	longestWait time.Duration // longest wait of a heartbeat in the mailbox since the last summary
	// lastSlowHeartbeatAt is when a heartbeat was last handled that had waited for longer than
	// SlowHeartbeatWait, in nanoseconds since the term began. Probes read it too.
	lastSlowHeartbeatAt atomic.Int64
	lastCounters        resourceCounters
}

// newTerm returns the actor of a term that begins now.
func newTerm(d *Dispatcher, leadership *election.Leadership) *term {
	facts := &d.settings.Facts
	shares := limits.DivideSockets(facts.Machine.MaxSockets, len(d.settings.Members))
	options := d.options
	if options.Fleet.MaxMachines == 0 {
		options.Fleet.MaxMachines = shares.MaxMachines
	}
	return &term{
		dispatcher: d,
		leadership: leadership,
		startedAt:  time.Now(),
		log:        d.log.With("term", leadership.Term),
		mailbox:    make(chan message, limits.MailboxSize(shares)),
		writer:     make(chan scheduler.WriteRecords),
		probeSlots: make(chan struct{}, shares.Probes),
		workerClients: workerClientPool{
			newClient:  d.newWorkerClient,
			byAddress:  map[string]*transport.Client{},
			maxClients: shares.MaxMachines,
		},
		scheduler: scheduler.New(scheduler.Config{
			Term:       leadership.Term,
			Teams:      facts.Teams,
			Objectives: facts.Objectives,
			Workers:    facts.Workers,
			State:      facts.State,
			ListLag:    limits.Seconds(facts.Cloud.ListLagS),
			CloudRPS:   facts.Cloud.RPS * limits.CloudRateShare,
			CoreShare:  facts.Machine.CoreShare,
			Options:    options,
		}, 0),
	}
}

// now is the time since the term began, which is the scheduler's clock.
func (t *term) now() time.Duration { return time.Since(t.startedAt) }

// reportLost notifies the elector that the term is over: a later leader has been seen.
func (t *term) reportLost() { t.dispatcher.termLost(t.leadership.Term) }

// run is the actor's loop.
func (t *term) run(ctx context.Context) {
	tick := time.NewTicker(limits.TickInterval)
	defer tick.Stop()
	for {
		var writer chan scheduler.WriteRecords // nil, which is never ready, while nothing is to be written
		next, waiting := t.writes.first()
		if waiting {
			writer = t.writer
		}
		select {
		case <-ctx.Done():
			return
		case writer <- next:
			t.writes.removeFirst()
		case <-tick.C:
			t.workerClients.close(t.dispatcher.sockets.Excess())
			t.step(ctx, scheduler.Tick{Entitled: t.leadership.Entitled()})
		case msg := <-t.mailbox:
			t.handle(ctx, msg)
		}
	}
}

// handle processes one message.
func (t *term) handle(ctx context.Context, msg message) {
	switch msg := msg.(type) {
	case heartbeatMessage:
		t.handleHeartbeat(ctx, msg)
	case eventMessage:
		t.step(ctx, msg.event)
	case observedRevisionMessage:
		t.leadership.SetObservedRevision(msg.revision)
	case taskCountsMessage:
		t.step(ctx, scheduler.TaskCountsRequested{JobID: msg.job, ReplyTo: msg.reply})
	case cancellationMessage:
		t.step(ctx, msg.change)
		msg.reply <- t.leadership.Entitled()
	case inspectMessage:
		t.step(ctx, scheduler.SnapshotRequested{JobID: msg.job, ReplyTo: msg.reply})
	}
}

// handleHeartbeat decodes a worker's heartbeat and hands it to the scheduler.
func (t *term) handleHeartbeat(ctx context.Context, msg heartbeatMessage) {
	wait := time.Since(msg.arrivedAt)
	t.longestWait = max(t.longestWait, wait)
	if wait > limits.SlowHeartbeatWait {
		t.lastSlowHeartbeatAt.Store(int64(t.now()))
	}
	var heartbeat protocol.Heartbeat
	if err := protocol.Decode(msg.body, &heartbeat); err != nil || !heartbeat.Valid() {
		msg.respond(http.StatusBadRequest, nil)
		return
	}
	if heartbeat.FencingToken > t.leadership.Term {
		t.reportLost() // the worker has seen a later leader
	}
	t.step(ctx, scheduler.HeartbeatReceived{
		Heartbeat:      &heartbeat,
		ReplyTo:        msg.respond,
		Entitled:       wait < limits.HeartbeatAnswerTimeout && t.leadership.Entitled(),
		Relayed:        msg.relayed,
		SameConnection: msg.sameConnection,
	})
}

// step hands an event to the scheduler and executes the effects.
func (t *term) step(ctx context.Context, event scheduler.Event) {
	for _, effect := range t.scheduler.Step(event, t.now()) {
		t.execute(ctx, effect)
	}
}

// drain answers the heartbeats that are left in the mailbox.
func (t *term) drain() {
	for {
		select {
		case msg := <-t.mailbox:
			if heartbeat, ok := msg.(heartbeatMessage); ok {
				heartbeat.respond(http.StatusServiceUnavailable, nil)
			}
		default:
			return
		}
	}
}
