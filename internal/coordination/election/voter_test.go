package election

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/standin"
)

// loyalPeers are others of whom two of four always pledge: with the leader's own pledge just enough.
type loyalPeers struct{ Peers }

func (loyalPeers) Size() int                            { return 4 }
func (loyalPeers) FindConnected(context.Context) string { return "" }
func (loyalPeers) RequestVotes(_ context.Context, _ uint64, nonces map[string]uint64) map[string]Vote {
	return map[string]Vote{"a": {Granted: nonces["a"] == 1, ProcessNonce: 1}, "b": {Granted: nonces["b"] == 1, ProcessNonce: 1}}
}

// TestOwnVote: a leader's own pledge counts like any other. While it does, it does not let go of
// itself, and once it has let go, it does not count.
func TestOwnVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		var lead atomic.Pointer[Leadership]
		n := &unreliableStore{s: s, r: rand.New(rand.NewPCG(5, 1))}
		e := New(Options{Node: "rig-0", Store: n, Peers: loyalPeers{}, LeaseDuration: limits.LeaderLease, VoteLease: limits.VoteLeaseMin,
			Lead: func(ctx context.Context, given *Leadership) {
				lead.Store(given)
				<-ctx.Done()
			},
			Log: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		s.SetUnavailable(true) // pledges alone count
		time.Sleep(2 * limits.VoteLeaseMin)
		m := lead.Load()
		if m == nil || !m.Entitled() {
			t.Fatal("not entitled by a majority of pledges")
		}
		if e.voter.withdraw(1 << 60) {
			t.Error("let go of itself while entitled")
		}
		e.voter.mu.Lock()
		e.voter.withdrawnUpTo = 1 << 60
		e.voter.mu.Unlock()
		time.Sleep(limits.LeaseExpiredAfter(limits.VoteLeaseMin))
		if m.Entitled() {
			t.Error("entitled by less than a majority")
		}
		cancel()
		<-done
	})
}

// TestRestartedVoter: a process that has just come back neither lets go of a leader, as the one
// before it may have pledged to it, nor pledges to one that does not know it yet, as the one before
// may have let go of that.
func TestRestartedVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &voter{lease: limits.VoteLeaseMin, nonce: 7, startedAt: time.Now()}
		if p.withdraw(10) {
			t.Error("let go right after the start")
		}
		if p.vote(10, 6).Granted || p.vote(10, 0).Granted {
			t.Error("pledged to a leader that takes it for another process")
		}
		if a := p.vote(10, 7); !a.Granted || a.ProcessNonce != 7 {
			t.Errorf("not pledged: %+v", a)
		}
		time.Sleep(limits.VoteLeaseMin)
		if p.withdraw(10) {
			t.Error("let go while its pledge may be live")
		}
		time.Sleep(limits.VoteLeaseMin)
		if !p.withdraw(10) {
			t.Error("not let go")
		}
		if p.vote(10, 7).Granted || p.vote(9, 7).Granted {
			t.Error("pledged again to a leader that it had let go of")
		}
		if !p.vote(11, 7).Granted {
			t.Error("not pledged to a leader with a later beat")
		}
	})
}
