package election

import (
	"context"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// suspicion is what speaks against the leader that is followed: when it was first followed, its
// heartbeat, when that was read, and whether we have let go of it on record.
type suspicion struct {
	leaderVersion uint64 // of the leader key
	followedAt    time.Time
	heartbeat     uint64
	since         time.Time // zero: it is not doubted
	withdrawn     bool
}

// mayReplaceLeader goes on with a doubt, or begins one. It tells whether the leader may be
// replaced, guarded by the heartbeat.
func (e *Elector) mayReplaceLeader(ctx context.Context, d *suspicion) bool {
	if !e.voter.leaderSilent(d.followedAt) {
		d.since = time.Time{}
		return false
	}
	if !d.since.IsZero() && time.Since(d.since) <= limits.LeaseSurelyOver(e.voter.lease) {
		return false
	}
	p, err := e.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	if d.since.IsZero() || p.Version != d.heartbeat {
		d.heartbeat, d.since, d.withdrawn = p.Version, time.Now(), false
		return false
	}
	if !e.voter.withdraw(d.heartbeat) {
		return false
	}
	if !d.withdrawn {
		_, err := e.Store.CompareAndSwap(ctx, protocol.Transaction{Operations: []protocol.Operation{{Put: storage.VoteWithdrawalKey(e.Node), Value: protocol.Encode(storage.VoteWithdrawal{Heartbeat: d.heartbeat})}}})
		if err != nil {
			return false
		}
		d.withdrawn = true
	}
	let := 0
	_, err = e.Store.List(ctx, storage.PrefixVoteWithdrawal, func(p protocol.KeyValue) error {
		var l storage.VoteWithdrawal
		if err := protocol.Decode(p.Value, &l); err != nil {
			return err
		}
		if l.Heartbeat >= d.heartbeat {
			let++
		}
		return nil
	})
	return err == nil && let >= e.quorum()
}
