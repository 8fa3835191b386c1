package election

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// node is a controller that crashes and comes back.
type node struct {
	name   string
	store  *unreliableStore
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	leads  *Leadership
	e      *Elector
	others *[]*node
	life   time.Duration
	busy   bool      // its process is behind
	mute   bool      // leads without the others, and all nodes do
	cut    time.Time // speaks with nobody until then
}

func (n *node) pledge() time.Duration {
	if n.mute {
		return 0
	}
	return limits.VoteLeaseMin
}

// delay is how far the node's process is behind: a second while it is busy, else what it measures.
func (n *node) delay(ctx context.Context) time.Duration {
	n.mu.Lock()
	busy := n.busy
	n.mu.Unlock()
	if busy {
		return time.Second
	}
	return schedulingDelay(ctx)
}

func (n *node) setBusy() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = true
}

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.cut)
}

// reach is another node's elector, or nil; what is said is lost now and then, and comes late.
func (n *node) reach(o *node) *Elector {
	n.store.mu.Lock()
	d := time.Duration(n.store.r.IntN(200)) * time.Millisecond
	n.store.mu.Unlock()
	time.Sleep(d)
	if o == n || n.isCut() || o.isCut() || n.store.loses() {
		return nil
	}
	return o.up()
}

func (n *node) Size() int { return len(*n.others) - 1 }

func (n *node) RequestVotes(_ context.Context, heartbeat uint64, nonces map[string]uint64) map[string]Vote {
	out := map[string]Vote{}
	for _, o := range *n.others {
		if e := n.reach(o); e != nil {
			a := e.Vote(heartbeat, nonces[o.name])
			if !n.store.loses() { // else the answer is lost
				out[o.name] = a
			}
		}
	}
	return out
}

// FindConnected and Take reach the other nodes directly; what is said may be lost or late.
func (n *node) FindConnected(ctx context.Context) string {
	for _, o := range *n.others {
		if o != n && !n.isCut() && !o.isCut() && !n.store.chance(0.2) && o.up() != nil && o.up().StateReachable(ctx) {
			return o.name
		}
	}
	return ""
}

func (n *node) OfferLeadership(_ context.Context, name string, term, stamp uint64) error {
	for _, o := range *n.others {
		if o.name != name || n.isCut() || o.isCut() || n.store.chance(0.2) {
			continue
		}
		n.store.mu.Lock()
		d := time.Duration(n.store.r.IntN(2000)) * time.Millisecond
		n.store.mu.Unlock()
		time.AfterFunc(d, func() {
			if e := o.up(); e != nil {
				e.AcceptOffer(term, stamp)
			}
		})
		return nil
	}
	return storage.ErrOutcomeUnknown
}

func (n *node) up() *Elector {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.e
}

func (n *node) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	options := Options{Node: n.name, Store: n.store, LeaseDuration: n.life, VoteLease: n.pledge(), Delay: n.delay,
		Lead: func(ctx context.Context, m *Leadership) {
			n.mu.Lock()
			n.leads = m
			n.mu.Unlock()
			<-ctx.Done()
			n.mu.Lock()
			n.leads = nil
			n.mu.Unlock()
		},
		Log: slog.New(slog.DiscardHandler),
	}
	if !n.mute {
		options.Peers = n
	}
	e := New(options)
	n.mu.Lock()
	n.e = e
	n.mu.Unlock()
	go func() {
		defer close(n.done)
		e.Run(ctx)
	}()
}

func (n *node) crash() {
	n.mu.Lock()
	n.e = nil
	n.mu.Unlock()
	n.cancel()
	<-n.done
}

func (n *node) entitled() *Leadership {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leads != nil && n.leads.Entitled() {
		return n.leads
	}
	return nil
}

// newNodes are controllers of one state service that neither crash nor lose anything by themselves;
// they are not started.
func newNodes(s *standin.StateService, size int, seed uint64) []*node {
	nodes := make([]*node, size)
	for i := range nodes {
		nodes[i] = &node{name: fmt.Sprintf("rig-%d", i), store: &unreliableStore{s: s, r: rand.New(rand.NewPCG(seed, uint64(i)))}, others: &nodes, life: limits.LeaderLease}
	}
	return nodes
}

// leading is the index of the entitled node, or -1.
func leading(nodes []*node) int {
	return slices.IndexFunc(nodes, func(n *node) bool { return n.entitled() != nil })
}

// sever cuts a node off from the other controllers, and refuse has the state service refuse it,
// until then.
func (n *node) sever(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = until
}

func (n *node) refuse(until time.Time) {
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	n.store.alone = until
}

// silence has the state service leave a node without answers until then.
func (n *node) silence(until time.Time) {
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	n.store.mute = until
}
