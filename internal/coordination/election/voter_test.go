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

// votingPeers simulates four other controllers, two of which grant their votes once the leader knows
// their nonces. With the leader's own vote, this is exactly a majority.
type votingPeers struct{ Peers }

func (votingPeers) Size() int                            { return 4 }
func (votingPeers) FindCandidate(context.Context) string { return "" }
func (votingPeers) RequestVotes(_ context.Context, _ uint64, nonces map[string]uint64) map[string]Vote {
	return map[string]Vote{
		"a": {Granted: nonces["a"] == 1, ProcessNonce: 1},
		"b": {Granted: nonces["b"] == 1, ProcessNonce: 1},
	}
}

// TestLeaderOwnVote checks that a leader's own vote counts like any other: the leader cannot
// withdraw it while it is valid, and it does not count after its withdrawal.
func TestLeaderOwnVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.NewStateService()
		var leadership atomic.Pointer[Leadership]
		e := New(Options{
			Node:          "controller-0",
			Store:         &unreliableStore{service: service, random: rand.New(rand.NewPCG(5, 1))},
			Peers:         votingPeers{},
			LeaseDuration: limits.LeaderLease,
			VoteLease:     limits.VoteLeaseMin,
			RunTerm: func(ctx context.Context, l *Leadership) {
				leadership.Store(l)
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
		service.SetUnavailable(true) // no heartbeat records, only votes
		time.Sleep(2 * limits.VoteLeaseMin)
		l := leadership.Load()
		if l == nil || !l.IsEntitled() {
			t.Fatal("not entitled by the votes of a majority")
		}
		if e.voter.withdraw(1 << 60) {
			t.Error("the leader withdrew its own vote while it was valid")
		}
		e.voter.mu.Lock()
		e.voter.withdrawnUpTo = 1 << 60
		e.voter.mu.Unlock()
		time.Sleep(limits.LeaseExpiredAfter(limits.VoteLeaseMin))
		if l.IsEntitled() {
			t.Error("still entitled without the votes of a majority")
		}
		cancel()
		<-done
	})
}

// TestRestartedVoter checks a process that has just started. It must not withdraw its vote yet,
// because the previous process may have granted one. It must not grant a vote to a leader that does
// not know its nonce, because the previous process may have withdrawn the vote.
func TestRestartedVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &voter{voteLease: limits.VoteLeaseMin, nonce: 7, startedAt: time.Now()}
		if v.withdraw(10) {
			t.Error("withdrew a vote right after the start")
		}
		if v.vote(10, 6).Granted || v.vote(10, 0).Granted {
			t.Error("granted a vote to a leader that expects another process")
		}
		if vote := v.vote(10, 7); !vote.Granted || vote.ProcessNonce != 7 {
			t.Errorf("vote is %+v, want granted by nonce 7", vote)
		}
		time.Sleep(limits.VoteLeaseMin)
		if v.withdraw(10) {
			t.Error("withdrew a vote that may still be valid")
		}
		time.Sleep(limits.VoteLeaseMin)
		if !v.withdraw(10) {
			t.Error("vote not withdrawn after it has expired")
		}
		if v.vote(10, 7).Granted || v.vote(9, 7).Granted {
			t.Error("granted a vote for a heartbeat version for which it was withdrawn")
		}
		if !v.vote(11, 7).Granted {
			t.Error("vote not granted for a later heartbeat version")
		}
	})
}
