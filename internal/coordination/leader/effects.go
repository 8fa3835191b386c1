package leader

import (
	"context"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
)

// executeEffect executes one effect of the scheduler. Effects that need I/O run in goroutines of their
// own, which send the outcome as an event. RunTerm documents why it does not wait for these.
func (t *termActor) executeEffect(ctx context.Context, effect scheduler.Effect) {
	switch effect := effect.(type) {
	case scheduler.HeartbeatReply:
		t.replyToHeartbeat(effect)
	case scheduler.WriteRecords:
		t.writes.add(effect)
	case scheduler.SendDirectCommands:
		t.countCommands(metrics.ChannelDirect, effect.Commands)
		go t.executeDirectCommands(ctx, effect, t.workerClients.get(effect.Address))
	case scheduler.ProbeMachine:
		go t.executeProbe(ctx, effect)
	case scheduler.RentMachines:
		go t.executeRental(ctx, effect.Request)
	case scheduler.DeleteMachines:
		go t.executeDeletion(ctx, effect.Machines)
	case scheduler.ListMachines:
		go t.executeListMachines(ctx)
	case scheduler.FetchMachineTypes:
		go t.refreshMachineTypes(ctx)
	case scheduler.AttemptRestarted:
		t.reportRestartedAttempt(effect)
	case scheduler.CommandsWithheld:
		t.countWithheld(effect)
	case scheduler.TaskCounts:
		effect.ReplyTo <- effect
	case scheduler.SnapshotTaken:
		effect.ReplyTo <- effect.Snapshot
	case scheduler.LogEntry:
		t.writeLogEntry(ctx, effect)
	}
}

// replyToHeartbeat sends the reply to a worker's heartbeat. It renews the worker lease only if this
// leader is still entitled.
func (t *termActor) replyToHeartbeat(reply scheduler.HeartbeatReply) {
	switch {
	case reply.Redirect:
		t.countHeartbeat(metrics.HeartbeatRedirected)
		reply.ReplyTo.Redirect(protocol.Redirect{Leader: t.dispatcher.settings.NodeName})
	case !reply.Accepted:
		t.countHeartbeat(string(reply.Reason))
		reply.ReplyTo.Reject()
	case !t.leadership.IsEntitled():
		t.countHeartbeat(string(scheduler.WithheldNotEntitled))
		reply.ReplyTo.Reject()
	default:
		t.countHeartbeat(metrics.HeartbeatAccepted)
		t.countCommands(metrics.ChannelHeartbeat, reply.Commands)
		t.logForgets(reply)
		reply.ReplyTo.Accept(protocol.HeartbeatReply{FencingToken: reply.FencingToken, Commands: reply.Commands})
	}
}

// writeLogEntry writes a log entry of the scheduler. It adds the decisions and the resource usage to the summary
// entry.
func (t *termActor) writeLogEntry(ctx context.Context, entry scheduler.LogEntry) {
	if entry.Message == scheduler.SummaryMessage {
		entry.Args = append(entry.Args, "decisions", t.takeDecisions())
		entry.Args = append(entry.Args, t.resourceUsage()...)
	}
	t.log.Log(ctx, entry.Level, entry.Message, entry.Args...)
}
