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

// TestHeartbeatConditions: a heartbeat record is written only over the last one that the leader
// knows of, and only under its own leader key. One that it does not know of replaces the last one.
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
		k := &quorumRenewer{elector: e, leadership: l, heartbeatVersion: put(storage.KeyLeaderHeartbeat)}

		unknown := put(storage.KeyLeaderHeartbeat)
		if k.writeHeartbeat(ctx) || version() != unknown || k.heartbeatVersion != unknown || l.Entitled() {
			t.Errorf("wrote over version %d: version %d, known %d", unknown, version(), k.heartbeatVersion)
		}
		if k.writeHeartbeat(ctx) || version() == unknown || k.heartbeatVersion != version() || !l.Entitled() {
			t.Errorf("not written over a known version: version %d, known %d", version(), k.heartbeatVersion)
		}
		put(storage.KeyLeader)
		if last := version(); !k.writeHeartbeat(ctx) || version() != last {
			t.Error("wrote a heartbeat although there is another leader")
		}
	})
}
