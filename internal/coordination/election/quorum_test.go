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

// quorumFixture is the quorum renewer of a leader in term 1, and the state service that it uses.
type quorumFixture struct {
	t       *testing.T
	service *standin.StateService
	renewer *quorumRenewer
}

// newQuorumFixture returns the renewer of a leader whose keys are written and whose quorum lease has
// expired.
func newQuorumFixture(t *testing.T) *quorumFixture {
	f := &quorumFixture{t: t, service: standin.NewStateService()}
	elector := New(Options{
		Node:          "controller-0",
		Store:         &unreliableStore{service: f.service, random: rand.New(rand.NewPCG(6, 1))},
		Peers:         votingPeers{},
		LeaseDuration: limits.LeaderLease,
		VoteLease:     limits.VoteLeaseMin,
		Log:           slog.New(slog.DiscardHandler),
	})
	l := NewLeadership(1, f.put(storage.KeyLeader, 1), time.Now().Add(time.Hour))
	l.requireQuorum(time.Now())
	f.renewer = &quorumRenewer{
		elector: elector, leadership: l, heartbeatVersion: f.put(storage.KeyLeaderHeartbeat, l.Term),
	}
	return f
}

// put writes a heartbeat record of a term to a key, and returns its version.
func (f *quorumFixture) put(key string, term uint64) uint64 {
	f.t.Helper()
	_, reply := f.service.CompareAndSwap(protocol.Transaction{
		Operations: []protocol.Operation{{Put: key, Value: protocol.Encode(storage.LeaderHeartbeat{Term: term})}},
	})
	return reply.Revision
}

// storedVersion returns the version of the stored heartbeat record.
func (f *quorumFixture) storedVersion() uint64 {
	key, _ := f.service.Get(storage.KeyLeaderHeartbeat)
	return key.Version
}

// TestHeartbeatConditions checks that the leader writes its heartbeat record only over the last
// version that it knows, and only while the leader key is its own. If a record of its own term has
// another version, the leader must use that version for its next write.
func TestHeartbeatConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuorumFixture(t)
		r, l, ctx := f.renewer, f.renewer.leadership, context.Background()

		unknown := f.put(storage.KeyLeaderHeartbeat, l.Term)
		if r.writeHeartbeat(ctx) || f.storedVersion() != unknown || r.heartbeatVersion != unknown || l.IsEntitled() {
			t.Errorf("write over an unknown version: record has version %d, known %d, want %d; entitled: %v",
				f.storedVersion(), r.heartbeatVersion, unknown, l.IsEntitled())
		}
		if r.writeHeartbeat(ctx) || f.storedVersion() == unknown || r.heartbeatVersion != f.storedVersion() ||
			!l.IsEntitled() {
			t.Errorf("write over a known version: record has version %d, known %d, want equal; entitled: %v",
				f.storedVersion(), r.heartbeatVersion, l.IsEntitled())
		}
		f.put(storage.KeyLeader, 2)
		if last := f.storedVersion(); !r.writeHeartbeat(ctx) || f.storedVersion() != last {
			t.Error("heartbeat record written, or loss of the leadership not reported, after the leader was replaced")
		}
	})
}

// TestSuccessorsHeartbeatNotAdopted checks that a leader requests no votes for a heartbeat record that
// its term has not written: the leader is replaced between the failed write of its heartbeat record and
// the read of the stored one, or the record is missing.
func TestSuccessorsHeartbeatNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuorumFixture(t)
		r := f.renewer
		known := r.heartbeatVersion

		f.put(storage.KeyLeaderHeartbeat, 2)
		if superseded := r.writeHeartbeat(context.Background()); !superseded || r.heartbeatVersion != known {
			t.Errorf("record of term 2: superseded %v, want true; version %d known, want %d",
				superseded, r.heartbeatVersion, known)
		}
		f.service.CompareAndSwap(protocol.Transaction{
			Operations: []protocol.Operation{{Delete: storage.KeyLeaderHeartbeat}},
		})
		if superseded := r.writeHeartbeat(context.Background()); superseded || r.heartbeatVersion != known {
			t.Errorf("no record: superseded %v, want false; version %d known, want %d",
				superseded, r.heartbeatVersion, known)
		}
	})
}
