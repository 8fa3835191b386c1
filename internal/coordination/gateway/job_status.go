package gateway

import (
	"context"
	"fmt"

	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// finalState tells what became of a job, if that is known here to be so for good.
func (g *Gateway) finalState(id string) (protocol.JobStatus, bool) {
	f, ok := g.finalStates.get(id)
	return protocol.JobStatus{ID: id, State: f}, ok
}

// readJobStatus reads a job's state. It looks at the open record first and then at the final one;
// as a job moves from the one to the other in one transaction, it is never missed.
func (g *Gateway) readJobStatus(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	if st, over := g.finalState(id); over {
		return st, true, nil
	}
	st := protocol.JobStatus{ID: id}
	p, err := g.Store.Get(ctx, storage.OpenJobKey(id))
	if err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	if p.Version != 0 {
		var o storage.OpenJob
		if err := protocol.Decode(p.Value, &o); err != nil {
			return st, false, fmt.Errorf("read %s: %w", id, err)
		}
		st.State = protocol.Pending
		if o.Cancelled {
			// "aborted" is a confirmation, also to a poll. "pending" may be an older answer than
			// another controller's.
			if !g.confirmCancellation(ctx, id, p) {
				return st, false, errUnconfirmed
			}
			st.State = protocol.Aborted
		}
		return st, true, nil
	}
	p, err = g.Store.Get(ctx, storage.FinalJobKey(id))
	if err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	if p.Version == 0 {
		return st, false, nil
	}
	var f storage.FinalJob
	if err := protocol.Decode(p.Value, &f); err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	g.finalStates.put(id, f.State)
	st.State = f.State
	return st, true, nil
}

// showJob answers a poll.
func (g *Gateway) showJob(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return 404, errorBody{Error: "no such job"}
	}
	st, known, err := g.readJobStatus(ctx, id)
	if err != nil {
		return g.retryLater(err)
	}
	if !known {
		return 404, errorBody{Error: "no such job"}
	}
	if st.State == protocol.Pending {
		if c, ok := g.taskCounts(ctx, id); ok {
			st.Done, st.Running = &c.Done, &c.Running
			if c.Running > 0 {
				st.State = protocol.Running
			}
		}
	}
	return 200, st
}

func (g *Gateway) taskCounts(ctx context.Context, id string) (peer.TaskCounts, bool) {
	if g.Dispatcher.IsLeader() {
		return g.Dispatcher.TaskCounts(ctx, id)
	}
	return g.Peers.TaskCounts(ctx, g.Leader(), id)
}
