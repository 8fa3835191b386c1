package election

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// TestIsolatedLeader checks a leader that cannot reach the other controllers. If it cannot reach the
// state service either, it must stop being entitled, and another controller must lead long before
// the leader lease expires. If it can, it must stay entitled by writing heartbeat records.
func TestIsolatedLeader(t *testing.T) {
	for i := range 12 {
		fromStateService := i%2 == 0
		// The phase varies the time at which the followers' watches of the leader key time out.
		phase := time.Duration(i/2) * limits.WatchDuration / 6
		t.Run(fmt.Sprintf("isolated from state service %v, phase %v", fromStateService, phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkIsolatedLeader(t, fromStateService, phase) })
		})
	}
}

func checkIsolatedLeader(t *testing.T, fromStateService bool, phase time.Duration) {
	c := newCluster(5, 3)
	defer c.crash()
	for _, n := range c.nodes {
		n.start()
		time.Sleep(time.Second / 10)
	}
	time.Sleep(10*time.Second + phase)
	isolated := c.leader()
	if isolated == nil {
		t.Fatal("no leader was elected")
	}
	old := isolated.entitledLeadership()
	isolated.isolate(time.Now().Add(time.Hour))
	if fromStateService {
		isolated.store.setRejected(time.Now().Add(time.Hour))
	}
	time.Sleep(2*limits.VoteLeaseMin + 3*time.Second)
	replaced := false
	for _, n := range c.nodes {
		replaced = replaced || (n != isolated && n.entitledLeadership() != nil)
	}
	if old.IsEntitled() == fromStateService || replaced != fromStateService {
		t.Errorf("isolated from state service: %v; old leader entitled: %v, want %v; another entitled: %v, want %v",
			fromStateService, old.IsEntitled(), !fromStateService, replaced, fromStateService)
	}
}

// TestLateReplacementFails checks that a campaign to replace an unreachable leader fails if it is
// applied late, after that leader has become reachable and entitled again.
func TestLateReplacementFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(5, 4)
		defer c.crash()
		leader := c.startAndElect(t, 15*time.Second)
		isolate := func(until time.Time) {
			leader.isolate(until)
			leader.store.setRejected(until)
		}
		for _, n := range c.nodes {
			n.store.setCaptureCampaigns(true)
		}
		isolate(time.Now().Add(time.Hour))
		time.Sleep(2*limits.VoteLeaseMin + time.Second)
		isolate(time.Time{})
		time.Sleep(limits.VoteLeaseMin)
		if leader.entitledLeadership() == nil {
			t.Error("the leader is not entitled after its isolation has ended")
		}
		campaigns := 0
		for _, n := range c.nodes {
			for _, campaign := range n.store.capturedCampaigns() {
				campaigns++
				if status, _ := c.service.CompareAndSwap(campaign); status == http.StatusOK {
					t.Error("a late campaign replaced an entitled leader")
				}
			}
			n.store.setCaptureCampaigns(false)
		}
		if campaigns == 0 {
			t.Error("no node campaigned")
		}
	})
}

// TestLateCampaignFails checks that a campaign fails if it is applied late, after another
// controller has led a term and its lease has expired. The late campaign would reuse the number of
// that term. A campaign may name the next term instead, if its node has read the leader key before
// and the term key after the other controller won. That campaign reuses no number and may succeed.
func TestLateCampaignFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 7)
		late, winner := c.nodes[0], c.nodes[1]
		late.leaseDuration = limits.LeaderLeaseMax
		late.store.setCaptureCampaigns(true)
		late.start()
		time.Sleep(3 * time.Second)
		winner.start()
		time.Sleep(3 * time.Second)
		l := winner.entitledLeadership()
		if l == nil || l.Term != 1 {
			t.Fatalf("leadership of the second node is %+v, want term 1", l)
		}
		c.crash()
		time.Sleep(2 * limits.LeaderLease)
		if key, _ := c.service.Get(storage.KeyLeader); key.Version != 0 {
			t.Fatal("the lease of the winner has not expired")
		}
		campaignsForSameTerm := 0
		for _, campaign := range late.store.capturedCampaigns() {
			if checkLateCampaign(t, c.service, campaign, l) == l.Term {
				campaignsForSameTerm++
			}
		}
		if campaignsForSameTerm == 0 {
			t.Errorf("no campaign for term %d was captured", l.Term)
		}
	})
}

// checkLateCampaign applies a campaign after another controller has led a term, and returns the term
// that the campaign names. A campaign that names a later term must have the condition that the term
// key is unchanged since the other controller won; any other campaign must fail. The number in the
// term key must not decrease.
func checkLateCampaign(
	t *testing.T, service *standin.StateService, campaign protocol.Transaction, other *Leadership,
) (term uint64) {
	t.Helper()
	var candidate storage.LeaderRecord
	if err := protocol.Decode(campaign.Operations[0].Value, &candidate); err != nil {
		t.Fatal(err)
	}
	termBefore := lastTerm(t, service)
	status, _ := service.CompareAndSwap(campaign)
	unchangedTerm := protocol.Condition{Key: storage.KeyTerm, Version: other.KeyVersion}
	switch {
	case candidate.Term <= other.Term && status != http.StatusConflict:
		t.Errorf("a late campaign for term %d got status %d, want %d", candidate.Term, status, http.StatusConflict)
	case candidate.Term > other.Term && !slices.Contains(campaign.Conditions, unchangedTerm):
		t.Errorf("a late campaign for term %d has the conditions %+v, want %+v among them",
			candidate.Term, campaign.Conditions, unchangedTerm)
	}
	if termAfter := lastTerm(t, service); termAfter < termBefore {
		t.Errorf("a late campaign for term %d changed the term key from %d to %d",
			candidate.Term, termBefore, termAfter)
	}
	return candidate.Term
}

// lastTerm returns the number in the term key.
func lastTerm(t *testing.T, service *standin.StateService) uint64 {
	t.Helper()
	key, _ := service.Get(storage.KeyTerm)
	var last storage.TermRecord
	if err := protocol.Decode(key.Value, &last); err != nil {
		t.Fatal(err)
	}
	return last.Term
}
