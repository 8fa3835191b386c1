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
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// termActor owns the scheduler during one term and processes the messages in its mailbox. Apart from
// channels and fields marked otherwise, only the goroutine that executes Dispatcher.RunTerm uses the
// fields.
type termActor struct {
	dispatcher *Dispatcher          // safe for concurrent use
	leadership *election.Leadership // safe for concurrent use
	startedAt  time.Time            // immutable
	log        *slog.Logger         // safe for concurrent use

	// Heartbeats have a queue of their own, so that other messages need not wait behind those of all machines.
	heartbeats    chan heartbeatMessage
	mailbox       chan message // all other messages
	cancellations *processedCancellations
	scheduler     *scheduler.Scheduler
	turns         turnWatch
	writes        writeQueue
	toWriter      chan scheduler.WriteRecords // received by the writer's goroutine
	workerClients workerClientPool
	probeSlots    chan struct{} // limits concurrent probes: a new leader probes all machines at once

	// The longest times since the last summary log entry.
	longestMailboxWait  time.Duration // of a heartbeat
	longestQuestionWait time.Duration // of a question about task counts or a cancellation
	longestStep         time.Duration // of the scheduler

	// lastSlowHeartbeatAt is when the actor last handled a heartbeat that had waited in the mailbox for
	// longer than limits.SlowHeartbeatThreshold, in nanoseconds since the term began; 0 if none has.
	// Goroutines that probe machines read it.
	lastSlowHeartbeatAt atomic.Int64
	// lastFencingToken is the highest fencing token that is reserved for the term. Goroutines that send direct commands
	// read it.
	lastFencingToken atomic.Uint64
	lastCounters     resourceCounters // at the last summary log entry
	decisions        metrics.Counts   // since the last summary log entry
}

// newTermActor returns the actor of a term that starts now.
func newTermActor(d *Dispatcher, leadership *election.Leadership) *termActor {
	facts := &d.settings.Deployment
	shares := limits.DivideSockets(facts.MachineLimits.MaxSockets, len(d.settings.Members))
	options := d.options
	if options.Fleet.MaxMachines == 0 {
		options.Fleet.MaxMachines = shares.MaxMachines
	}
	actor := &termActor{
		dispatcher:    d,
		leadership:    leadership,
		startedAt:     time.Now(),
		decisions:     metrics.Counts{},
		log:           d.log.With("term", leadership.Term),
		heartbeats:    make(chan heartbeatMessage, limits.HeartbeatQueueSize(shares)),
		mailbox:       make(chan message, limits.MailboxSize),
		cancellations: newProcessedCancellations(),
		toWriter:      make(chan scheduler.WriteRecords),
		probeSlots:    make(chan struct{}, shares.MaxProbes),
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
			CoreShare:  facts.MachineLimits.CoreShare,
			Options:    options,

			LastFencingToken: leadership.LastFencingToken(),
			TermKeyVersion:   leadership.KeyVersion, // the election writes both keys
		}, 0),
	}
	actor.turns.watchdog = newTurnWatchdog(actor.log, limits.Seconds(facts.Workers.LeaseS))
	actor.lastFencingToken.Store(actor.scheduler.LastFencingToken())
	return actor
}

// now returns the time since the term started. The scheduler uses it as its clock.
func (t *termActor) now() time.Duration { return time.Since(t.startedAt) }

// reportTermLost notifies the elector that there is a later leader, and that the term is thus over.
func (t *termActor) reportTermLost() { t.dispatcher.onTermLost(t.leadership.Term) }

// run processes messages, sends writes to the writer and passes ticks to the scheduler until the context
// ends.
func (t *termActor) run(ctx context.Context) {
	tick := time.NewTicker(limits.TickInterval)
	defer tick.Stop()
	for {
		t.turns.end()
		var toWriter chan scheduler.WriteRecords // nil, and thus never ready, if no write waits
		next, waiting := t.writes.peek()
		if waiting {
			toWriter = t.toWriter
		}
		select {
		case <-ctx.Done():
			return
		case toWriter <- next:
			t.writes.pop()
		case <-tick.C:
			t.turns.begin()
			t.workerClients.evict(t.dispatcher.sockets.ExcessOutbound())
			t.step(ctx, scheduler.Tick{Entitled: t.leadership.IsEntitled()})
		// If both queues have messages, select takes from either with the same probability.
		case heartbeat := <-t.heartbeats:
			t.turns.begin()
			t.handleHeartbeat(ctx, heartbeat)
		case msg := <-t.mailbox:
			t.turns.begin()
			t.handleMessage(ctx, msg)
		}
	}
}

// handleMessage processes one message.
func (t *termActor) handleMessage(ctx context.Context, msg message) {
	switch msg := msg.(type) {
	case eventMessage:
		t.step(ctx, msg.event)
	case observedRevisionMessage:
		t.leadership.SetObservedRevision(msg.revision)
		t.dispatcher.metrics.SetObservedRevision(msg.revision)
	case taskCountsMessage:
		t.recordQuestionWait(msg.sentAt)
		t.step(ctx, scheduler.TaskCountsRequested{JobID: msg.job, ReplyTo: msg.reply})
	case cancellationMessage:
		t.recordQuestionWait(msg.sentAt)
		t.step(ctx, msg.change)
		msg.reply <- t.leadership.IsEntitled()
	case statusMessage:
		t.step(ctx, scheduler.SnapshotRequested{JobID: msg.job, ReplyTo: msg.reply})
	}
}

// handleHeartbeat decodes a worker's heartbeat and passes it to the scheduler.
func (t *termActor) handleHeartbeat(ctx context.Context, msg heartbeatMessage) {
	wait := time.Since(msg.arrivedAt)
	t.longestMailboxWait = max(t.longestMailboxWait, wait)
	t.dispatcher.metrics.SetMailbox(t.queuedMessages(), wait)
	if wait > limits.SlowHeartbeatThreshold {
		t.lastSlowHeartbeatAt.Store(int64(t.now()))
	}
	var heartbeat protocol.Heartbeat
	if err := protocol.Decode(msg.body, &heartbeat); err != nil || !heartbeat.IsValid() {
		msg.respond(http.StatusBadRequest, nil)
		return
	}
	t.checkFencingToken(&heartbeat)
	t.step(ctx, scheduler.HeartbeatReceived{
		Heartbeat:      &heartbeat,
		ReplyTo:        msg.respond,
		Entitled:       wait < limits.HeartbeatReplyTimeout && t.leadership.IsEntitled(),
		Relayed:        msg.relayed,
		SameConnection: msg.sameConnection,
	})
}

// step passes an event to the scheduler and executes the resulting effects.
func (t *termActor) step(ctx context.Context, event scheduler.Event) {
	if change, ok := event.(scheduler.JobChanged); ok {
		event = t.addTimesSince(change)
	}
	startedAt := t.now()
	effects := t.scheduler.Step(event, startedAt)
	took := t.now() - startedAt
	t.longestStep = max(t.longestStep, took)
	if took <= limits.SlowHeartbeatThreshold && !t.hasRecentSlowHeartbeat() {
		took = 0 // no heartbeat has waited long
	}
	t.scheduler.RecordDuration(took)
	t.lastFencingToken.Store(t.scheduler.LastFencingToken()) // before any effect sends a token to a worker
	t.cancellations.handleEvent(event)
	for _, effect := range effects {
		t.executeEffect(ctx, effect)
	}
}

// recordQuestionWait records how long a question of a user that is handled now has waited in the mailbox.
func (t *termActor) recordQuestionWait(sentAt time.Time) {
	t.longestQuestionWait = max(t.longestQuestionWait, time.Since(sentAt))
}

// queuedMessages returns the number of messages that wait for the actor.
func (t *termActor) queuedMessages() int { return len(t.heartbeats) + len(t.mailbox) }

// rejectQueuedHeartbeats answers the heartbeats that still wait with 503.
func (t *termActor) rejectQueuedHeartbeats() {
	for {
		select {
		case heartbeat := <-t.heartbeats:
			heartbeat.respond(http.StatusServiceUnavailable, nil)
		default:
			return
		}
	}
}
