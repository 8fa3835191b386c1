package leader

import (
	"context"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
)

// executeEffect carries out one effect. What needs I/O runs in a goroutine of its own that reports its
// outcome as an event; RunTerm says why nobody waits for these.
func (t *termActor) executeEffect(ctx context.Context, effect scheduler.Effect) {
	switch effect := effect.(type) {
	case scheduler.HeartbeatReply:
		t.answerHeartbeat(effect)
	case scheduler.WriteRecords:
		t.writes.add(effect)
	case scheduler.SendDirectCommands:
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
	case scheduler.TaskCounts:
		effect.ReplyTo <- effect
	case scheduler.SnapshotTaken:
		effect.ReplyTo <- effect.Snapshot
	case scheduler.LogEntry:
		t.writeLogEntry(ctx, effect)
	}
}

// answerHeartbeat answers a worker. Its lease is renewed only by a leader that is still entitled.
func (t *termActor) answerHeartbeat(reply scheduler.HeartbeatReply) {
	switch {
	case reply.Redirect:
		reply.ReplyTo.Redirect(protocol.Redirect{Leader: t.dispatcher.settings.NodeName})
	case !reply.Accepted || !t.leadership.Entitled():
		reply.ReplyTo.Reject()
	default:
		reply.ReplyTo.Accept(protocol.HeartbeatReply{FencingToken: t.leadership.Term, Commands: reply.Commands})
	}
}

// writeLogEntry writes a line of the scheduler's log. The summary line also gets the resource usage.
func (t *termActor) writeLogEntry(ctx context.Context, entry scheduler.LogEntry) {
	if entry.Message == scheduler.SummaryMessage {
		entry.Args = append(entry.Args, t.resourceUsage()...)
	}
	t.log.Log(ctx, entry.Level, entry.Message, entry.Args...)
}
