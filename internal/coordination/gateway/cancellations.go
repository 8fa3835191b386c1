package gateway

import (
	"context"
	"errors"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

var errUnconfirmed = errors.New("cancellation not confirmed yet")

// confirmCancellation tells whether a cancellation that is in the state service binds whoever may
// lead, so that the user may be told. The leader's own watch does not see to that: if the state
// service refuses the leader alone and then everybody, it goes on by pledges and hears nothing of
// the cancellation until cancel_s is long over. So one of these must hold, after the record was
// there:
//   - the leader says that it knows, and was entitled then. No other was, and later ones read the record;
//   - the leader has written a heartbeat that covers the record. Such a write succeeds only while no later term has begun;
//   - there is no leader key. Its hold is over, so no leader is entitled, and the next one reads the record.
func (g *Gateway) confirmCancellation(ctx context.Context, id string, p protocol.KeyValue) bool {
	known := g.Dispatcher.ConfirmCancellation(ctx, id, p.Version, p.Value) || g.Peers.ConfirmCancellation(ctx, g.Leader(), id, p.Version, p.Value) || g.coveredByHeartbeat(ctx, p.Version)
	if known {
		g.finalStates.put(id, protocol.Aborted) // it stays so, whatever leader comes
	}
	return known
}

func (g *Gateway) coveredByHeartbeat(ctx context.Context, stamp uint64) bool {
	p, err := g.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	var heartbeat storage.LeaderHeartbeat
	if p.Version != 0 && protocol.Decode(p.Value, &heartbeat) == nil && heartbeat.ObservedRevision >= stamp {
		return true
	}
	p, err = g.Store.Get(ctx, storage.KeyLeader)
	return err == nil && p.Version == 0
}

// answerCancelled answers a cancellation whose record is there.
func (g *Gateway) answerCancelled(ctx context.Context, id string, p protocol.KeyValue) (int, any) {
	if !g.confirmCancellation(ctx, id, p) {
		return g.retryLater(errUnconfirmed)
	}
	return 200, protocol.JobStatus{ID: id, State: protocol.Aborted}
}

// cancelJob marks a job as cancelled, and has the leader know of it before the user does.
func (g *Gateway) cancelJob(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return 404, errorBody{Error: "no such job"}
	}
	if st, over := g.finalState(id); over {
		return 200, st
	}
	for {
		p, err := g.Store.Get(ctx, storage.OpenJobKey(id))
		if err != nil {
			return g.retryLater(err)
		}
		if p.Version == 0 {
			st, known, err := g.readJobStatus(ctx, id)
			switch {
			case err != nil:
				return g.retryLater(err)
			case !known:
				return 404, errorBody{Error: "no such job"}
			case st.State == protocol.Done || st.State == protocol.Aborted:
				return 200, st
			}
			continue // submitted between the two reads
		}
		var o storage.OpenJob
		if err := protocol.Decode(p.Value, &o); err != nil {
			return g.retryLater(err)
		}
		if o.Cancelled {
			return g.answerCancelled(ctx, id, p)
		}
		o.Cancelled, o.CancelledAtMs = true, time.Now().UnixMilli()
		data := protocol.Encode(o.Shortened(g.Settings.Facts.State.ValueKB))
		rev, err := g.Store.CompareAndSwap(ctx, protocol.Transaction{
			Conditions: []protocol.Condition{{Key: storage.OpenJobKey(id), Version: p.Version}},
			Operations: []protocol.Operation{{Put: storage.OpenJobKey(id), Value: data}},
		})
		if err == nil {
			return g.answerCancelled(ctx, id, protocol.KeyValue{Version: rev, Value: data})
		}
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, storage.ErrOutcomeUnknown) {
			return g.retryLater(err)
		}
		// It finished or was cancelled meanwhile, or this write was carried out and its answer
		// lost: look again, within the user's time. The context ends the loop.
	}
}
