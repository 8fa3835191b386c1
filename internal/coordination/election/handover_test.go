package election

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
)

// TestHandover: a leader that alone is rejected by the state service is replaced long before its
// lease expires, and one that is rejected like all others is not.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 2)
		defer c.crash()
		first, second := c.nodes[0], c.nodes[1]
		first.start()
		time.Sleep(3 * time.Second)
		second.start()
		time.Sleep(3 * time.Second)
		c.service.SetUnavailable(true)
		time.Sleep(limits.LeaderLease / 2)
		if first.entitledLeadership() == nil {
			t.Fatal("handed over in an outage for all")
		}
		c.service.SetUnavailable(false)
		time.Sleep(5 * time.Second)
		first.store.setRejected(time.Now().Add(time.Hour))
		old := first.entitledLeadership()
		time.Sleep(limits.LeaderLease / 2)
		if old == nil || old.Entitled() {
			t.Fatal("still entitled after handing over")
		}
		if first.entitledLeadership() != nil || second.entitledLeadership() == nil {
			t.Fatal("not handed over")
		}
	})
}

// TestBusyLeaderKeepsLeadership: a leader that gets no answers because its own process is behind does not hand
// over; one whose process is not behind does.
func TestBusyLeaderKeepsLeadership(t *testing.T) {
	for name, busy := range map[string]bool{"busy": true, "not busy": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(2, 2)
				defer c.crash()
				for _, n := range c.nodes {
					n.start()
					time.Sleep(3 * time.Second)
				}
				leader := c.nodes[0]
				if busy {
					leader.setBusy()
				}
				leader.store.setUnanswered(time.Now().Add(15 * time.Second))
				time.Sleep(20 * time.Second)
				if kept := leader.entitledLeadership() != nil; kept != busy {
					t.Errorf("busy: %v, still leads: %v", busy, kept)
				}
			})
		})
	}
}

// successorPeers are others of whom one reaches the state service. It runs a check when it gets an
// offer.
type successorPeers struct {
	Peers
	onOffer func()
}

func (successorPeers) FindConnected(context.Context) string { return "controller-1" }

func (s successorPeers) OfferLeadership(context.Context, string, uint64, uint64) error {
	s.onOffer()
	return nil
}

// TestResignsBeforeOffer: the leadership has ended for good when its successor hears of it, whatever
// a late renewal says.
func TestResignsBeforeOffer(t *testing.T) {
	l := NewLeadership(1, 1, time.Now().Add(time.Hour))
	if !l.Entitled() {
		t.Fatal("not entitled at first")
	}
	offers := 0
	peers := successorPeers{onOffer: func() {
		offers++
		l.extendLease(time.Now().Add(2 * time.Hour))
		if l.Entitled() {
			t.Error("still entitled when the leadership is offered")
		}
	}}
	e := New(Options{Node: "controller-0", Peers: peers, Log: slog.New(slog.DiscardHandler)})
	if !e.handOver(context.Background(), l) || offers != 1 {
		t.Errorf("not handed over, or not by one offer: %d", offers)
	}
}
