package election

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
)

// startLeaderAndFollower starts a cluster of two controllers, of which the first has become the leader.
func startLeaderAndFollower() *cluster {
	c := newCluster(2, 2)
	for _, n := range c.nodes {
		n.start()
		time.Sleep(3 * time.Second)
	}
	return c
}

// TestHandover checks that a leader hands over long before the leader lease expires if the state
// service rejects the requests of this leader alone. It must keep the leadership while the state
// service is unavailable to all controllers.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startLeaderAndFollower()
		defer c.crash()
		first, second := c.nodes[0], c.nodes[1]
		c.service.SetUnavailable(true)
		time.Sleep(limits.LeaderLease / 2)
		if first.entitledLeadership() == nil {
			t.Fatal("lost the leadership while the state service is unavailable to all controllers")
		}
		c.service.SetUnavailable(false)
		time.Sleep(5 * time.Second)
		first.store.setRejected(time.Now().Add(time.Hour))
		old := first.entitledLeadership()
		time.Sleep(limits.LeaderLease / 2)
		if old == nil || old.IsEntitled() {
			t.Fatal("the old leader was not entitled before, or is still entitled after the handover")
		}
		if first.entitledLeadership() != nil || second.entitledLeadership() == nil {
			t.Fatal("the leadership was not handed over to the other controller")
		}
	})
}

// TestBusyLeaderKeepsLeadership checks that a leader whose renewals time out does not hand over
// while its own process is scheduled late. Otherwise it must hand over.
func TestBusyLeaderKeepsLeadership(t *testing.T) {
	for name, busy := range map[string]bool{"busy": true, "not busy": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startLeaderAndFollower()
				defer c.crash()
				leader := c.nodes[0]
				if busy {
					leader.setBusy()
				}
				leader.store.setUnanswered(time.Now().Add(15 * time.Second))
				time.Sleep(20 * time.Second)
				if kept := leader.entitledLeadership() != nil; kept != busy {
					t.Errorf("process busy: %v, leadership kept: %v; want the same", busy, kept)
				}
			})
		})
	}
}

// TestRateLimitedLeaderKeepsLeadership guards against leaders that hand over to one another because all
// controllers together exceed the rate of the state service, which replies 429 at random.
func TestRateLimitedLeaderKeepsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startLeaderAndFollower()
		defer c.crash()
		leader := c.nodes[0]
		term := leader.entitledLeadership().Term
		leader.store.setRateLimited(time.Now().Add(limits.LeaderLease / 3))
		time.Sleep(limits.LeaderLease / 2)
		if kept := leader.entitledLeadership(); kept == nil || kept.Term != term {
			t.Errorf("leadership is %+v after replies with status 429, want that of term %d", kept, term)
		}
	})
}

// TestStalledLeaderHandsOver checks that a leader that answers no requests of clients any more hands over to a
// controller that does, long before the leader lease expires, and keeps the leadership if there is none.
func TestStalledLeaderHandsOver(t *testing.T) {
	for name, allStalled := range map[string]bool{"leader alone": false, "all controllers": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(3, 9)
				defer c.crash()
				stalled := c.startAndElect(t, 5*time.Second)
				term := stalled.entitledLeadership().Term
				for _, n := range c.nodes {
					n.setStalled(n == stalled || allStalled)
				}
				k := &invariantChecker{t: t, cluster: c, leaderships: map[uint64]*Leadership{}}
				k.runFor(limits.LeaderLease / 2)
				leader := c.leader()
				if leader == nil || (leader == stalled) != allStalled {
					t.Fatalf("leader is %v, want the stalled one: %v", leader, allStalled)
				}
				if kept := leader.entitledLeadership().Term == term; kept != allStalled {
					t.Errorf("term kept: %v, want %v", kept, allStalled)
				}
			})
		})
	}
}

// TestStuckTermEndsTheProcess guards against a leader that keeps lease and votes for ever although the goroutine of its
// term does not go on: it hands over, and as its term does not end, its elector returns an error, so that the process
// ends and is started again. A term that ends late but in time has no such effect.
func TestStuckTermEndsTheProcess(t *testing.T) {
	for name, stuckForever := range map[string]bool{"ends late": false, "never ends": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(3, 9)
				defer c.crash()
				stuck := c.startAndElect(t, 5*time.Second)
				stuck.setStalled(true)
				release := stuck.setStuck()
				resigned := stuck.entitledLeadership()
				k := &invariantChecker{t: t, cluster: c, leaderships: map[uint64]*Leadership{}}
				for end := time.Now().Add(limits.LeaderLease / 2); resigned.IsEntitled() && time.Now().Before(end); {
					k.runFor(time.Second)
				}
				if !stuckForever {
					k.runFor(limits.TermEndTimeout / 2)
					stuck.setStalled(false)
					release()
				}
				k.runFor(limits.TermEndTimeout + limits.LeaderLease/2)
				if leader := c.leader(); leader == nil || leader == stuck {
					t.Errorf("the leader is %v, want another one than the stuck one", leader)
				}
				if err := stuck.electionError(); errors.Is(err, ErrTermDoesNotEnd) != stuckForever {
					t.Errorf("the elector of the stuck leader returned %v; never ends: %v", err, stuckForever)
				}
				if stuckForever {
					release()
				}
			})
		})
	}
}

// successorPeers simulates other controllers, one of which can reach the state service. It calls
// onOffer for each offer of the leadership.
type successorPeers struct {
	Peers
	onOffer func()
}

func (successorPeers) FindCandidate(context.Context) string { return "controller-1" }

func (s successorPeers) OfferLeadership(context.Context, string, uint64, uint64) error {
	s.onOffer()
	return nil
}

// TestResignsBeforeOffer checks that the leader is no longer entitled when it offers the
// leadership, and that a late renewal of the leader lease does not make it entitled again.
func TestResignsBeforeOffer(t *testing.T) {
	l := NewLeadership(1, 1, time.Now().Add(time.Hour))
	if !l.IsEntitled() {
		t.Fatal("not entitled before the handover")
	}
	offers := 0
	peers := successorPeers{onOffer: func() {
		offers++
		l.extendLease(time.Now().Add(2 * time.Hour))
		if l.IsEntitled() {
			t.Error("still entitled when the leadership is offered")
		}
	}}
	e := New(Options{Node: "controller-0", Peers: peers, Log: slog.New(slog.DiscardHandler)})
	if !e.handOver(context.Background(), l, "test") || offers != 1 {
		t.Errorf("handOver returned false, or offered the leadership %d times, want once", offers)
	}
}
