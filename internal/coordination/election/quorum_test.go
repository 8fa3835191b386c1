package election

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// TestHeartbeatConditions checks that the leader writes its heartbeat record only over the last
// version that it knows, and only while the leader key is its own. If the record has another
// version, the leader must use that version for its next write.
func TestHeartbeatConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewStateService()
		put := func(key string) uint64 {
			t.Helper()
			_, reply := service.CompareAndSwap(protocol.Transaction{
				Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(storage.LeaderHeartbeat{})}},
			})
			return reply.Revision
		}
		version := func() uint64 {
			key, _ := service.Get(storage.KeyLeaderHeartbeat)
			return key.Version
		}
		e := New(Options{
			Node:          "controller-0",
			Store:         &unreliableStore{service: service, random: rand.New(rand.NewPCG(6, 1))},
			Peers:         votingPeers{},
			LeaseDuration: limits.LeaderLease,
			VoteLease:     limits.VoteLeaseMin,
			Log:           slog.New(slog.DiscardHandler),
		})
		ctx := context.Background()
		l := NewLeadership(1, put(storage.KeyLeader), time.Now().Add(time.Hour))
		l.requireQuorum(time.Now())
		r := &quorumRenewer{elector: e, leadership: l, heartbeatVersion: put(storage.KeyLeaderHeartbeat)}

		unknown := put(storage.KeyLeaderHeartbeat)
		if r.writeHeartbeat(ctx) || version() != unknown || r.heartbeatVersion != unknown || l.IsEntitled() {
			t.Errorf("write over an unknown version: record has version %d, known %d, want %d; entitled: %v",
				version(), r.heartbeatVersion, unknown, l.IsEntitled())
		}
		if r.writeHeartbeat(ctx) || version() == unknown || r.heartbeatVersion != version() || !l.IsEntitled() {
			t.Errorf("write over a known version: record has version %d, known %d, want equal; entitled: %v",
				version(), r.heartbeatVersion, l.IsEntitled())
		}
		put(storage.KeyLeader)
		if last := version(); !r.writeHeartbeat(ctx) || version() != last {
			t.Error("heartbeat record written, or loss of the leadership not reported, after the leader was replaced")
		}
	})
}
