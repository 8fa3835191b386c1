package election

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestAtMostOneEntitledLeader checks under random faults that at most one controller is entitled
// and that terms never decrease. After the faults end, a leader must be elected.
func TestAtMostOneEntitledLeader(t *testing.T) {
	for seed := range uint64(generatedCases) {
		faults := faultCount
		if seed < firstCaseWithWithdrawal {
			faults = isolatedUntilWithdrawal
		}
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				c := newFaultyCluster(seed)
				k := &invariantChecker{t: t, seed: seed, cluster: c, leaderships: map[uint64]*Leadership{}}
				c.start()
				for range 25 {
					k.injectFault(random, faults)
					k.runFor(time.Duration(random.IntN(20)) * time.Second)
				}
				k.endFaults()
				k.runFor(2 * limits.LeaderLease)
				if c.leader() == nil {
					t.Fatalf("seed %d: no leader after the faults have ended", seed)
				}
				c.crash()
				time.Sleep(2 * time.Minute) // until all delayed transactions are applied
			})
		})
	}
}

// replacementOrder is an order of events in which a leader is replaced while it becomes reachable again.
type replacementOrder struct {
	controllers int
	unconfirmed bool // the leader's last heartbeat record was applied without a reply
	requests    int  // requests of the leader to the state service that are executed before the replacement
}

// TestReplacedLeaderStaysReplaced checks a leader that becomes reachable again at the moment at which it is
// replaced, in each order of the replacement and of its first requests to the state service. If its last
// heartbeat record was applied without a reply, its next one is refused, and it reads the stored record: two
// leaders would be entitled if it requested votes for that of its successor.
func TestReplacedLeaderStaysReplaced(t *testing.T) {
	const maxRequests = 6
	replaced := 0
	for _, controllers := range []int{3, 5} {
		for _, unconfirmed := range []bool{false, true} {
			for requests := range maxRequests {
				order := replacementOrder{controllers, unconfirmed, requests}
				t.Run(fmt.Sprintf("%+v", order), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						if checkReplacedLeader(t, order) {
							replaced++
						}
					})
				})
			}
		}
	}
	if replaced == 0 {
		t.Error("the leader was replaced in no order")
	}
}

// checkReplacedLeader checks one order and reports whether the replacement succeeded. If the leader has written
// another heartbeat record before, it must fail.
func checkReplacedLeader(t *testing.T, order replacementOrder) (succeeded bool) {
	c := newCluster(order.controllers, 8)
	defer c.crash()
	k := &invariantChecker{t: t, cluster: c, leaderships: map[uint64]*Leadership{}}
	c.start()
	k.runFor(15 * time.Second)
	leader := c.leader()
	if leader == nil {
		t.Fatal("no leader was elected")
	}
	old := leader.entitledLeadership()
	leader.isolate(time.Now().Add(time.Hour))
	leader.store.setRejected(time.Now().Add(time.Hour))
	if order.unconfirmed {
		record := protocol.Encode(storage.LeaderHeartbeat{Term: old.Term, Sequence: 100})
		c.service.CompareAndSwap(protocol.Transaction{
			Operations: []protocol.Operation{{Put: storage.KeyLeaderHeartbeat, Value: record}},
		})
	}
	for _, n := range c.nodes {
		n.store.setCaptureCampaigns(n != leader)
	}
	k.runUntil(time.Now().Add(time.Minute), func() bool { return c.capturedCampaign() != nil })
	campaign := c.capturedCampaign()
	if campaign == nil {
		t.Fatal("no node campaigned")
	}
	requests := 0
	leader.store.onRequest(func() {
		if requests == order.requests {
			status, _ := c.service.CompareAndSwap(*campaign)
			succeeded = status == http.StatusOK
			for _, n := range c.nodes {
				n.store.setCaptureCampaigns(false)
			}
		}
		requests++
	})
	leader.isolate(time.Time{})
	leader.store.setRejected(time.Time{})
	k.runFor(30 * time.Second)
	l := c.leader()
	if l == nil || (l.entitledLeadership().Term > old.Term) != succeeded {
		t.Errorf("entitled leadership is %v after term %d, replacement succeeded: %v", l, old.Term, succeeded)
	}
	return succeeded
}

// TestRestartedLeaderCampaignsAtOnce checks that a leader that restarts under the same name does
// not wait for its old lease to expire.
func TestRestartedLeaderCampaignsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newCluster(0, 0).addNode(rand.New(rand.NewPCG(1, 1)))
		n.start()
		time.Sleep(3 * time.Second)
		first := n.entitledLeadership()
		if first == nil {
			t.Fatal("no leader was elected")
		}
		n.crash()
		n.start()
		time.Sleep(3 * time.Second)
		if l := n.entitledLeadership(); l == nil || l.Term != first.LastFencingToken()+1 {
			t.Fatalf("leadership after a restart is %+v, want the next term", l)
		}
		n.crash()
	})
}

// TestTermBeginsAboveReservedTokens guards against a leader whose tokens its predecessor has used.
func TestTermBeginsAboveReservedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(0, 0)
		n := c.addNode(rand.New(rand.NewPCG(1, 1)))
		n.start()
		time.Sleep(3 * time.Second)
		first := n.entitledLeadership()
		if first == nil {
			t.Fatal("no leader was elected")
		}
		extended := first.LastFencingToken() + limits.FencingTokensPerReservation
		status, _ := c.service.CompareAndSwap(protocol.Transaction{
			Conditions: []protocol.Condition{{Key: storage.KeyTerm, Version: first.KeyVersion}},
			Operations: []protocol.Operation{
				{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: extended})},
			},
		})
		if status != http.StatusOK {
			t.Fatalf("reservation under the version of the leader key got status %d", status)
		}
		n.crash()
		n.start()
		time.Sleep(3 * time.Second)
		second := n.entitledLeadership()
		if second == nil || second.Term != extended+1 {
			t.Fatalf("leadership %+v after the reservation of token %d, want the next number as its term",
				second, extended)
		}
		if got := lastTerm(t, c.service); got != second.LastFencingToken() || got <= second.Term {
			t.Errorf("the term key reserves up to %d, want %d", got, second.LastFencingToken())
		}
		n.crash()
	})
}

// TestNoTermBeyondAttemptNumbers guards against attempt numbers that repeat.
func TestNoTermBeyondAttemptNumbers(t *testing.T) {
	for _, c := range []struct {
		last    uint64
		elected bool
	}{{limits.MaxTerm - 1, true}, {limits.MaxTerm, false}, {math.MaxUint64, false}} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(0, 0)
			n := cluster.addNode(rand.New(rand.NewPCG(1, 1)))
			cluster.service.CompareAndSwap(protocol.Transaction{Operations: []protocol.Operation{
				{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: c.last})},
			}})
			n.start()
			time.Sleep(3 * time.Second)
			if elected := n.entitledLeadership() != nil; elected != c.elected {
				t.Errorf("a leader is elected after token %d: %v, want %v", c.last, elected, c.elected)
			}
			n.crash()
		})
	}
}
