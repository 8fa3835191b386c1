package election

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quillshunt/internal/limits"
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
