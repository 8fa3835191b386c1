package leader

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// term is one term's actor.
type term struct {
	dispatcher          *Dispatcher
	leadership          *election.Leadership
	mailbox             chan any
	startedAt           time.Time
	scheduler           *scheduler.Scheduler
	writes              chan scheduler.WriteRecords
	log                 *slog.Logger
	urgentWrites        []scheduler.WriteRecords
	bulkWrites          []scheduler.WriteRecords     // those that can wait for all others
	workerClients       map[string]*transport.Client // by address
	maxWorkerClients    int                          // most of these
	probeSlots          chan struct{}                // probes under way; a take-over asks all machines at once
	longestWait         time.Duration                // longest wait of a report in the mailbox since the last summary
	lastSlowHeartbeatAt atomic.Int64                 // when a report was last taken that had waited for longer than BusyWait, in nanoseconds of the term
	lastCounters        resourceCounters
}

// drain answers what is left in the mailbox.
func (t *term) drain() {
	for {
		select {
		case msg := <-t.mailbox:
			if r, ok := msg.(heartbeatMessage); ok {
				r.reply(503, nil)
			}
		default:
			return
		}
	}
}

func (t *term) now() time.Duration { return time.Since(t.startedAt) }

// send leaves a message for the actor; it waits while the mailbox is full.
func (t *term) send(ctx context.Context, msg any) {
	select {
	case t.mailbox <- msg:
	case <-ctx.Done():
	}
}

// run is the actor's loop.
func (t *term) run(ctx context.Context) {
	tick := time.NewTicker(limits.TickInterval)
	defer tick.Stop()
	for {
		var writes chan scheduler.WriteRecords
		var next scheduler.WriteRecords
		queue := &t.urgentWrites
		if len(t.urgentWrites) == 0 {
			queue = &t.bulkWrites
		}
		if len(*queue) > 0 {
			writes, next = t.writes, (*queue)[0]
		}
		select {
		case <-ctx.Done():
			return
		case writes <- next:
			*queue = (*queue)[1:]
		case <-tick.C:
			t.releaseSockets()
			t.step(ctx, scheduler.Tick{Entitled: t.leadership.Entitled()})
		case msg := <-t.mailbox:
			switch msg := msg.(type) {
			case heartbeatMessage:
				t.handleHeartbeat(ctx, msg)
			case taskCountsMessage:
				t.step(ctx, scheduler.TaskCountsRequested{ID: msg.job, ReplyTo: msg.reply})
			case cancellationMessage:
				t.step(ctx, msg.change)
				msg.reply <- t.leadership.Entitled()
			case observedRevisionMessage:
				t.leadership.Observe(uint64(msg))
			case inspectMessage:
				t.step(ctx, scheduler.SnapshotRequested{Job: msg.job, ReplyTo: msg.reply})
			case scheduler.Event:
				t.step(ctx, msg)
			}
		}
	}
}

// handleHeartbeat takes a worker's report.
func (t *term) handleHeartbeat(ctx context.Context, msg heartbeatMessage) {
	wait := time.Since(msg.arrived)
	t.longestWait = max(t.longestWait, wait)
	if wait > limits.SlowHeartbeatWait {
		t.lastSlowHeartbeatAt.Store(int64(t.now()))
	}
	var r protocol.Heartbeat
	if err := protocol.Decode(msg.body, &r); err != nil || !r.Valid() {
		msg.reply(400, nil)
		return
	}
	if r.FencingToken > t.leadership.Term {
		t.dispatcher.termLost(t.leadership.Term) // the worker has seen a later leader
	}
	entitled := wait < limits.HeartbeatAnswerTimeout && t.leadership.Entitled()
	t.step(ctx, scheduler.HeartbeatReceived{Heartbeat: &r, ReplyTo: msg.reply, Entitled: entitled, Relayed: msg.relayed, SameConnection: msg.sameConnection})
}

// step takes an event through the scheduler and carries out the effects.
func (t *term) step(ctx context.Context, e scheduler.Event) {
	for _, eff := range t.scheduler.Step(e, t.now()) {
		switch eff := eff.(type) {
		case scheduler.HeartbeatReply:
			reply := eff.ReplyTo.(HeartbeatResponder)
			if eff.Redirect {
				reply(421, protocol.Encode(protocol.Redirect{Leader: t.dispatcher.settings.NodeName}))
				continue
			}
			if !eff.Accepted || !t.leadership.Entitled() {
				reply(503, nil)
				continue
			}
			reply(200, protocol.Encode(protocol.HeartbeatReply{FencingToken: t.leadership.Term, Commands: eff.Commands}))
		case scheduler.WriteRecords:
			if eff.Bulk {
				t.bulkWrites = append(t.bulkWrites, eff)
			} else {
				t.urgentWrites = append(t.urgentWrites, eff)
			}
		case scheduler.SendDirectCommands:
			go t.executeDirectCommands(ctx, eff, t.workerClient(eff.Address))
		case scheduler.ProbeMachine:
			go t.executeProbe(ctx, eff)
		case scheduler.RentMachines:
			go t.executeRental(ctx, eff.Request)
		case scheduler.DeleteMachines:
			go t.executeDeletion(ctx, eff.Machines)
		case scheduler.ListMachines:
			go t.listMachines(ctx)
		case scheduler.FetchMachineTypes:
			go t.refreshMachineTypes(ctx)
		case scheduler.TaskCounts:
			eff.ReplyTo.(chan scheduler.TaskCounts) <- eff
		case scheduler.SnapshotTaken:
			eff.ReplyTo.(chan scheduler.Snapshot) <- eff.Snapshot
		case scheduler.LogEntry:
			if eff.Message == scheduler.SummaryMessage {
				eff.Args = append(eff.Args, t.resourceUsage()...)
			}
			t.log.Log(ctx, eff.Level, eff.Message, eff.Args...)
		}
	}
}
