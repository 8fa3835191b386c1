package election

import (
	"fmt"
	"math"
	"math/rand/v2"
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

// invariantChecker checks the invariants of a cluster: at most one node is entitled, the terms of
// entitled nodes never decrease, and no term is used twice.
type invariantChecker struct {
	t           *testing.T
	seed        uint64
	cluster     *cluster
	highestTerm uint64
	leaderships map[uint64]*Leadership // by term
}

func (k *invariantChecker) check() {
	k.t.Helper()
	var entitled []string
	for _, n := range k.cluster.nodes {
		l := n.entitledLeadership()
		if l == nil {
			continue
		}
		entitled = append(entitled, fmt.Sprintf("%s in term %d", n.name, l.Term))
		if l.Term < k.highestTerm {
			k.t.Fatalf("seed %d: entitled in term %d after term %d", k.seed, l.Term, k.highestTerm)
		}
		k.highestTerm = l.Term
		if k.leaderships[l.Term] == nil {
			k.leaderships[l.Term] = l
		}
		if k.leaderships[l.Term] != l {
			k.t.Fatalf("seed %d: term %d used twice", k.seed, l.Term)
		}
	}
	if len(entitled) > 1 {
		k.t.Fatalf("seed %d: several nodes are entitled: %v", k.seed, entitled)
	}
}

// runFor advances the time by d and checks the invariants every 50 milliseconds.
func (k *invariantChecker) runFor(d time.Duration) {
	k.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		k.check()
	}
}

// runUntil advances the time until the condition holds or the given time is reached.
func (k *invariantChecker) runUntil(end time.Time, condition func() bool) {
	k.t.Helper()
	for time.Now().Before(end) && !condition() {
		k.runFor(50 * time.Millisecond)
	}
}

// Faults that injectFault chooses from.
const (
	crashAndRestart = iota
	stateServiceOutage
	stateServiceRejects
	noFault
	crashRepeatedly // restarts at once, possibly during an election
	isolatedFromAll // from the state service and the other nodes
	isolatedFromPeers
	isolatedUntilWithdrawal // reaches all others again at the moment at which it may be replaced
	faultCount
)

// Numbers of generated cases. The cases from firstCaseWithWithdrawal on also have the fault
// isolatedUntilWithdrawal.
const (
	firstCaseWithWithdrawal = 30
	generatedCases          = 60
)

// injectFault injects a random fault, one of the first faults. Half of the time it hits the leader, if
// there is one; otherwise a random node.
func (k *invariantChecker) injectFault(random *rand.Rand, faults int) {
	k.t.Helper()
	n := k.cluster.nodes[random.IntN(len(k.cluster.nodes))]
	if random.IntN(2) == 0 {
		if leader := k.cluster.leader(); leader != nil {
			n = leader
		}
	}
	until := time.Now().Add(time.Duration(random.IntN(60)) * time.Second)
	switch random.IntN(faults) {
	case crashAndRestart:
		n.crash()
		k.runFor(time.Duration(random.IntN(9000)) * time.Millisecond)
		n.start()
	case crashRepeatedly:
		for range 1 + random.IntN(4) {
			n.crash()
			n.start()
			k.runFor(time.Duration(random.IntN(400)) * time.Millisecond)
		}
	case isolatedFromAll:
		n.store.setRejected(until)
		n.isolate(until)
	case isolatedFromPeers:
		n.isolate(until)
	case stateServiceOutage:
		k.cluster.service.SetUnavailable(true)
		k.runFor(time.Duration(random.IntN(50)) * time.Second)
		k.cluster.service.SetUnavailable(false)
	case stateServiceRejects:
		n.store.setRejected(time.Now().Add(time.Duration(random.IntN(60)) * time.Second))
	case isolatedUntilWithdrawal:
		k.isolateUntilWithdrawal(n)
	}
}

// isolateUntilWithdrawal isolates a node from the other controllers, and from the state service once a
// heartbeat record was written without a reply. It ends this as soon as a majority has withdrawn its votes
// for the stored heartbeat record, or after a minute. The state service is slow, so that the node's next
// requests and the campaign that replaces it are applied in any order.
func (k *invariantChecker) isolateUntilWithdrawal(isolated *node) {
	k.t.Helper()
	until := time.Now().Add(time.Minute)
	isolated.isolate(until)
	isolated.store.setLosesReplies(true)
	before := k.cluster.heartbeatVersion()
	k.runUntil(time.Now().Add(limits.VoteLeaseMin), func() bool { return k.cluster.heartbeatVersion() != before })
	isolated.store.setRejected(until)
	isolated.store.setLosesReplies(false)
	k.cluster.setSlow(true)
	k.runUntil(until, k.cluster.hasMajorityWithdrawn)
	isolated.store.setRejected(time.Time{})
	isolated.isolate(time.Time{})
	k.runFor(4 * slowRequestMax * time.Millisecond)
	k.cluster.setSlow(false)
}

// endFaults ends all isolation, rejections and message losses.
func (k *invariantChecker) endFaults() {
	for _, n := range k.cluster.nodes {
		n.store.setReliable()
		n.isolate(time.Time{})
	}
}

// newFaultyCluster returns a cluster of 3 or 5 nodes that lose messages. The seed determines its
// size, the durations of its leases and whether it uses votes.
func newFaultyCluster(seed uint64) *cluster {
	c := newCluster(0, seed)
	size := 3 + int(seed/2)%2*2
	for i := range size {
		n := c.addNode(rand.New(rand.NewPCG(seed, uint64(10+i))))
		n.store.lossRate = 0.1
		n.leaseDuration = time.Duration(10+25*(seed%3)) * time.Second
		if seed%4 == 0 {
			n.voteLease = 0
		}
	}
	return c
}

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
		c.start()
		time.Sleep(15 * time.Second)
		leader := c.leader()
		if leader == nil {
			t.Fatal("no leader was elected")
		}
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
