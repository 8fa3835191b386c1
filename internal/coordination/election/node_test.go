package election

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// cluster is a set of controllers that share one state service.
type cluster struct {
	service *standin.StateService
	nodes   []*node
}

// newCluster returns a cluster of the given size. Its nodes are not started. They do not crash and
// lose no messages unless a test makes them.
func newCluster(size int, seed uint64) *cluster {
	c := &cluster{service: standin.NewStateService()}
	for i := range size {
		c.addNode(rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return c
}

// addNode adds a node to the cluster without starting it.
func (c *cluster) addNode(random *rand.Rand) *node {
	n := &node{
		name:          fmt.Sprintf("controller-%d", len(c.nodes)),
		cluster:       c,
		store:         &unreliableStore{service: c.service, random: random},
		leaseDuration: limits.LeaderLease,
		voteLease:     limits.VoteLeaseMin,
	}
	c.nodes = append(c.nodes, n)
	return n
}

// leader returns the first entitled node, or nil if there is none.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.entitledLeadership() != nil {
			return n
		}
	}
	return nil
}

// heartbeatVersion returns the version of the stored heartbeat record.
func (c *cluster) heartbeatVersion() uint64 {
	key, _ := c.service.Get(storage.KeyLeaderHeartbeat)
	return key.Version
}

// setSlow sets whether all requests to the state service are slow.
func (c *cluster) setSlow(slow bool) {
	for _, n := range c.nodes {
		n.store.setSlow(slow)
	}
}

// hasMajorityWithdrawn reports whether a majority of the nodes has withdrawn its votes for the stored
// heartbeat record.
func (c *cluster) hasMajorityWithdrawn() bool {
	heartbeatVersion := c.heartbeatVersion()
	withdrawals := 0
	for _, item := range c.service.List(storage.PrefixVoteWithdrawal, "", limits.StatePageSize).Items {
		var w storage.VoteWithdrawal
		if protocol.Decode(item.Value, &w) == nil && w.HeartbeatVersion >= heartbeatVersion {
			withdrawals++
		}
	}
	return withdrawals > len(c.nodes)/2
}

// capturedCampaign returns the first captured campaign transaction of any node, or nil if there is none.
func (c *cluster) capturedCampaign() *protocol.Transaction {
	for _, n := range c.nodes {
		if campaigns := n.store.capturedCampaigns(); len(campaigns) > 0 {
			return &campaigns[0]
		}
	}
	return nil
}

func (c *cluster) start() {
	for _, n := range c.nodes {
		n.start()
	}
}

// startAndElect starts all nodes, lets them run for a while and returns the leader. The test fails if there is none.
func (c *cluster) startAndElect(t *testing.T, running time.Duration) *node {
	t.Helper()
	c.start()
	time.Sleep(running)
	leader := c.leader()
	if leader == nil {
		t.Fatal("no leader was elected")
	}
	return leader
}

func (c *cluster) crash() {
	for _, n := range c.nodes {
		n.crash()
	}
}

// node is a controller that can crash and restart. It implements Peers for its own elector.
type node struct {
	name          string
	cluster       *cluster
	store         *unreliableStore
	leaseDuration time.Duration
	voteLease     time.Duration // 0 if no node of the cluster needs votes
	cancel        context.CancelFunc
	done          chan struct{}

	mu            sync.Mutex
	elector       *Elector      // nil after a crash
	leadership    *Leadership   // nil while this node does not lead
	busy          bool          // the process reports a scheduling delay
	stalled       bool          // the process answers no requests of clients
	stuck         chan struct{} // unless nil, no term ends before this is closed
	runError      error         // result of the elector, once it has ended
	isolatedUntil time.Time     // until then, calls to and from other nodes fail
}

// start starts the process of the node.
func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	options := Options{
		Node:            n.name,
		Store:           n.store,
		LeaseDuration:   n.leaseDuration,
		VoteLease:       n.voteLease,
		SchedulingDelay: n.schedulingDelay,
		ClientsStalled:  n.isStalled,
		RunTerm:         n.runTerm,
		Log:             slog.New(slog.DiscardHandler),
	}
	if n.voteLease > 0 {
		options.Peers = n
	}
	e := New(options)
	n.mu.Lock()
	n.elector = e
	n.mu.Unlock()
	go func() {
		defer close(n.done)
		n.setRunError(e.Run(ctx))
	}()
}

// crash stops the process of the node.
func (n *node) crash() {
	n.mu.Lock()
	n.elector = nil
	n.mu.Unlock()
	n.cancel()
	<-n.done
}

func (n *node) runTerm(ctx context.Context, l *Leadership) {
	n.setLeadership(l)
	<-ctx.Done()
	if stuck := n.stuckTerm(); stuck != nil {
		<-stuck
	}
	n.setLeadership(nil)
}

func (n *node) setLeadership(l *Leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leadership = l
}

// runningElector returns the elector of the node's process, or nil after a crash.
func (n *node) runningElector() *Elector {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.elector
}

// entitledLeadership returns the node's leadership, or nil if the node is not entitled.
func (n *node) entitledLeadership() *Leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil && n.leadership.IsEntitled() {
		return n.leadership
	}
	return nil
}

// schedulingDelay returns one second while the node is busy, and the measured scheduling delay
// otherwise.
func (n *node) schedulingDelay(ctx context.Context) time.Duration {
	n.mu.Lock()
	busy := n.busy
	n.mu.Unlock()
	if busy {
		return time.Second
	}
	return measureSchedulingDelay(ctx)
}

func (n *node) isStalled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalled
}

func (n *node) setStalled(stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled = stalled
}

// setStuck makes the terms of the node go on until the returned function is called.
func (n *node) setStuck() (release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stuck := make(chan struct{})
	n.stuck = stuck
	return func() { close(stuck) }
}

func (n *node) stuckTerm() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stuck
}

func (n *node) setRunError(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runError = err
}

// electionError returns the result of the node's elector, or nil if it has not ended.
func (n *node) electionError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runError
}

func (n *node) setBusy() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = true
}

// isolate cuts the node off from all other nodes until the given time.
func (n *node) isolate(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolatedUntil = until
}

func (n *node) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.isolatedUntil)
}

// canReach reports whether calls between two nodes can succeed.
func (n *node) canReach(other *node) bool { return !n.isIsolated() && !other.isIsolated() }

// callPeer simulates a request to another node: it waits for a random delay and returns that node's
// elector. It returns nil if the request is lost.
func (n *node) callPeer(other *node) *Elector {
	time.Sleep(n.store.randomDelay(200, time.Millisecond))
	if other == n || !n.canReach(other) || n.store.losesMessage() {
		return nil
	}
	return other.runningElector()
}

func (n *node) Size() int { return len(n.cluster.nodes) - 1 }

func (n *node) RequestVotes(_ context.Context, heartbeatVersion uint64, nonces map[string]uint64) map[string]Vote {
	votes := map[string]Vote{}
	for _, other := range n.cluster.nodes {
		e := n.callPeer(other)
		if e == nil {
			continue
		}
		vote := e.Vote(heartbeatVersion, nonces[other.name])
		if !n.store.losesMessage() { // otherwise the reply is lost
			votes[other.name] = vote
		}
	}
	return votes
}

func (n *node) FindCandidate(ctx context.Context) string {
	for _, other := range n.cluster.nodes {
		if other == n || !n.canReach(other) || n.store.withProbability(0.2) {
			continue
		}
		if other.runningElector() != nil && other.runningElector().CanLead(ctx) {
			return other.name
		}
	}
	return ""
}

// OfferLeadership delivers the offer after a random delay, or loses it at random.
func (n *node) OfferLeadership(_ context.Context, name string, term, keyVersion uint64) error {
	for _, other := range n.cluster.nodes {
		if other.name != name || !n.canReach(other) || n.store.withProbability(0.2) {
			continue
		}
		time.AfterFunc(n.store.randomDelay(2000, time.Millisecond), func() {
			if e := other.runningElector(); e != nil {
				e.AcceptOffer(term, keyVersion)
			}
		})
		return nil
	}
	return storage.ErrOutcomeUnknown
}
