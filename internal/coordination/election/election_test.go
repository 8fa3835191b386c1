package election

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// unreliableStore is a node's view of the state service: it delays, refuses, and loses answers of
// requests that were, or later are, carried out.
type unreliableStore struct {
	s     *standin.StateService
	r     *rand.Rand
	mu    sync.Mutex
	alone time.Time              // refused until then
	mute  time.Time              // not answered until then
	kept  []protocol.Transaction // campaigns that get no answer and are applied when the test says so
	keep  bool
	lossy float64
}

func (f *unreliableStore) enter(ctx context.Context) error {
	f.mu.Lock()
	d := time.Duration(1+f.r.IntN(20)) * time.Millisecond
	if f.r.Float64() < 0.03 {
		d = time.Duration(f.r.IntN(1400)) * time.Millisecond
	}
	refused, muted := time.Now().Before(f.alone), time.Now().Before(f.mute)
	f.mu.Unlock()
	if muted {
		time.Sleep(limits.StateTimeout)
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, os.ErrDeadlineExceeded)
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, ctx.Err())
	}
	if refused || f.s.Unavailable() {
		return storage.ErrNotExecuted
	}
	return nil
}

func (f *unreliableStore) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.Float64() < p
}

func (f *unreliableStore) loses() bool {
	f.mu.Lock()
	p := f.lossy
	f.mu.Unlock()
	return f.chance(p)
}

func (f *unreliableStore) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	if err := f.enter(ctx); err != nil {
		return protocol.KeyValue{}, err
	}
	p, _ := f.s.Get(key)
	return p, nil
}

func (f *unreliableStore) CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	if err := f.enter(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	if f.keep && t.Operations[0].Put == storage.KeyLeader {
		f.kept = append(f.kept, t)
		f.mu.Unlock()
		return 0, storage.ErrOutcomeUnknown
	}
	f.mu.Unlock()
	if f.chance(f.lossy) {
		// No answer; it is applied some time later, or not at all.
		if f.chance(0.7) {
			f.mu.Lock()
			d := time.Duration(f.r.IntN(40)) * time.Second
			f.mu.Unlock()
			time.AfterFunc(d, func() { f.s.CompareAndSwap(t) })
		}
		return 0, storage.ErrOutcomeUnknown
	}
	status, r := f.s.CompareAndSwap(t)
	switch {
	case status == 400:
		return 0, storage.ErrLeaseExpired
	case status == 409:
		return 0, &storage.ConflictError{FailedKeys: r.FailedKeys}
	}
	if f.chance(f.lossy) {
		return 0, storage.ErrOutcomeUnknown
	}
	return r.Revision, nil
}

func (f *unreliableStore) List(ctx context.Context, prefix string, each func(protocol.KeyValue) error) (uint64, error) {
	if err := f.enter(ctx); err != nil {
		return 0, err
	}
	l := f.s.List(prefix, "", limits.StatePageSize)
	for _, p := range l.Items {
		if err := each(p); err != nil {
			return 0, err
		}
	}
	return l.Revision, nil
}

func (f *unreliableStore) CreateLease(ctx context.Context, life time.Duration) (uint64, error) {
	if err := f.enter(ctx); err != nil {
		return 0, err
	}
	return f.s.CreateLease(life), nil
}

func (f *unreliableStore) RenewLease(ctx context.Context, id uint64) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	if !f.s.RenewLease(id) {
		return storage.ErrLeaseExpired
	}
	return nil
}

func (f *unreliableStore) Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	end := time.After(limits.WatchDuration)
	for {
		r, _ := f.s.Changes(prefix, since)
		if len(r.Changes) > 0 && !f.s.Unavailable() {
			return r, nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-end:
			return r, nil
		case <-ctx.Done():
			return r, ctx.Err()
		}
	}
}

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

// TestOneEntitledLeader: at no time are two controllers entitled, terms rise, and after the trouble
// there is a leader again.
func TestOneEntitledLeader(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			s := standin.NewStateService()
			var nodes []*node
			size := 3 + int(seed/2)%2*2
			for i := range size {
				n := &node{name: fmt.Sprintf("rig-%d", i), store: &unreliableStore{s: s, r: rand.New(rand.NewPCG(seed, uint64(10+i))), lossy: 0.1}, others: &nodes,
					life: time.Duration(10+25*(seed%3)) * time.Second, mute: seed%4 == 0}
				nodes = append(nodes, n)
			}
			for _, n := range nodes {
				n.start(t)
			}
			var top uint64
			terms := map[uint64]*Leadership{}
			check := func() {
				var who []string
				for _, n := range nodes {
					if m := n.entitled(); m != nil {
						who = append(who, fmt.Sprintf("%s in term %d", n.name, m.Term))
						if m.Term < top {
							t.Fatalf("seed %d: term %d after %d", seed, m.Term, top)
						}
						top = m.Term
						if terms[m.Term] == nil {
							terms[m.Term] = m
						}
						if terms[m.Term] != m {
							t.Fatalf("seed %d: term %d used twice", seed, m.Term)
						}
					}
				}
				if len(who) > 1 {
					t.Fatalf("seed %d: entitled at once: %v", seed, who)
				}
			}
			run := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); {
					time.Sleep(50 * time.Millisecond)
					check()
				}
			}
			for range 25 {
				n := nodes[r.IntN(size)]
				if r.IntN(2) == 0 { // the leader, if there is one
					if i := leading(nodes); i >= 0 {
						n = nodes[i]
					}
				}
				d := time.Duration(r.IntN(60)) * time.Second
				switch r.IntN(7) {
				case 0:
					n.crash()
					run(time.Duration(r.IntN(9000)) * time.Millisecond)
					n.start(t)
				case 4: // back at once, also in the middle of an election
					for range 1 + r.IntN(4) {
						n.crash()
						n.start(t)
						run(time.Duration(r.IntN(400)) * time.Millisecond)
					}
				case 5: // alone with its workers
					n.refuse(time.Now().Add(d))
					fallthrough
				case 6: // the others don't hear of it
					n.sever(time.Now().Add(d))
				case 1:
					s.SetUnavailable(true)
					run(time.Duration(r.IntN(50)) * time.Second)
					s.SetUnavailable(false)
				case 2:
					n.refuse(time.Now().Add(time.Duration(r.IntN(60)) * time.Second))
				}
				run(time.Duration(r.IntN(20)) * time.Second)
			}
			for _, n := range nodes {
				n.store.mu.Lock()
				n.store.alone, n.store.lossy = time.Time{}, 0
				n.store.mu.Unlock()
				n.sever(time.Time{})
			}
			run(2 * limits.LeaderLease)
			led := false
			for _, n := range nodes {
				led = led || n.entitled() != nil
			}
			if !led {
				t.Fatalf("seed %d: no leader after the trouble", seed)
			}
			for _, n := range nodes {
				n.crash()
			}
			time.Sleep(2 * time.Minute) // late transactions
		})
	}
}

// TestRestartTakesOver: a controller that comes back under the leader's name does not wait for the
// hold to end.
func TestRestartTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		n := &node{name: "rig-0", store: &unreliableStore{s: s, r: rand.New(rand.NewPCG(1, 1))}, others: &[]*node{}, life: limits.LeaderLease}
		n.start(t)
		time.Sleep(3 * time.Second)
		first := n.entitled()
		if first == nil {
			t.Fatal("no leader")
		}
		n.crash()
		n.start(t)
		time.Sleep(3 * time.Second)
		if m := n.entitled(); m == nil || m.Term != first.Term+1 {
			t.Fatalf("after a restart: %+v", m)
		}
		n.crash()
	})
}

// TestHandOver: a leader that alone is refused by the state service is replaced long before its
// hold ends, and one that is refused like all others is not.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		nodes := newNodes(s, 2, 2)
		nodes[0].start(t)
		time.Sleep(3 * time.Second)
		nodes[1].start(t)
		time.Sleep(3 * time.Second)
		s.SetUnavailable(true)
		time.Sleep(limits.LeaderLease / 2)
		if nodes[0].entitled() == nil {
			t.Fatal("gave up in an outage for all")
		}
		s.SetUnavailable(false)
		time.Sleep(5 * time.Second)
		nodes[0].refuse(time.Now().Add(time.Hour))
		old := nodes[0].entitled()
		time.Sleep(limits.LeaderLease / 2)
		if old == nil || old.Entitled() {
			t.Fatal("still entitled after handing over")
		}
		if nodes[0].entitled() != nil || nodes[1].entitled() == nil {
			t.Fatal("not handed over")
		}
		for _, n := range nodes {
			n.crash()
		}
	})
}

// TestBusyLeader: a leader that gets no answers because it is itself behind does not hand over; one
// that is in time and gets none does.
func TestBusyLeader(t *testing.T) {
	for _, busy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStateService()
			nodes := newNodes(s, 2, 2)
			for _, n := range nodes {
				n.start(t)
				time.Sleep(3 * time.Second)
			}
			if busy {
				nodes[0].setBusy()
			}
			nodes[0].silence(time.Now().Add(15 * time.Second))
			time.Sleep(20 * time.Second)
			if kept := nodes[0].entitled() != nil; kept != busy {
				t.Errorf("busy: %v, still leads: %v", busy, kept)
			}
			for _, n := range nodes {
				n.crash()
			}
		})
	}
}

// TestCutLeader: a leader that is cut off from the state service and the other controllers, but not
// from its workers, stops being entitled, and another leads long before the end of its hold. One
// that is cut off from the others alone goes on by its heartbeats.
func TestCutLeader(t *testing.T) {
	for i := range 12 {
		alone, phase := i%2 == 0, time.Duration(i/2)*limits.WatchDuration/6 // wherever the others' watches of the leader key end by themselves
		synctest.Test(t, func(t *testing.T) {
			s := standin.NewStateService()
			nodes := newNodes(s, 5, 3)
			for _, n := range nodes {
				n.start(t)
				time.Sleep(time.Second / 10)
			}
			time.Sleep(10*time.Second + phase)
			i := leading(nodes)
			if i < 0 {
				t.Fatal("no leader")
			}
			leader, old := nodes[i], nodes[i].entitled()
			leader.sever(time.Now().Add(time.Hour))
			if alone {
				leader.refuse(time.Now().Add(time.Hour))
			}
			time.Sleep(2*limits.VoteLeaseMin + 3*time.Second)
			others := false
			for _, n := range nodes {
				others = others || (n != leader && n.entitled() != nil)
			}
			if old.Entitled() == alone || others != alone {
				t.Errorf("cut off from the state service too: %v; old one entitled: %v, another: %v", alone, old.Entitled(), others)
			}
			for _, n := range nodes {
				n.crash()
			}
		})
	}
}

// TestLateReplacement: a transaction that was to replace a silent leader comes late, when that
// leader is heard of again and entitled. It fails.
func TestLateReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStateService()
		nodes := newNodes(s, 5, 4)
		for _, n := range nodes {
			n.start(t)
		}
		time.Sleep(15 * time.Second)
		i := leading(nodes)
		if i < 0 {
			t.Fatal("no leader")
		}
		cut := func(until time.Time) {
			nodes[i].sever(until)
			nodes[i].refuse(until)
		}
		for _, n := range nodes {
			n.store.mu.Lock()
			n.store.keep = true
			n.store.mu.Unlock()
		}
		cut(time.Now().Add(time.Hour))
		time.Sleep(2*limits.VoteLeaseMin + time.Second)
		cut(time.Time{})
		time.Sleep(limits.VoteLeaseMin)
		if nodes[i].entitled() == nil {
			t.Error("the leader is not entitled again")
		}
		late := 0
		for _, n := range nodes {
			n.store.mu.Lock()
			for _, x := range n.store.kept {
				late++
				if status, _ := s.CompareAndSwap(x); status == 200 {
					t.Error("a late campaign replaced an entitled leader")
				}
			}
			n.store.keep = false
			n.store.mu.Unlock()
		}
		if late == 0 {
			t.Error("nobody tried")
		}
		for _, n := range nodes {
			n.crash()
		}
	})
}

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

// TestMargins: our entitlement ends before the hold can, and others' leases are waited out for
// longer than they can last, whatever the clocks do.
func TestMargins(t *testing.T) {
	for _, d := range []time.Duration{limits.LeaderLeaseMin, 14 * time.Second, limits.LeaderLeaseMax} {
		drift := time.Duration(float64(d) * limits.DriftShare)
		if limits.LeaseValidFor(d) >= d-2*drift || limits.LeaseExpiredAfter(d) <= d+2*drift {
			t.Errorf("%v: entitled %v, waited out %v", d, limits.LeaseValidFor(d), limits.LeaseExpiredAfter(d))
		}
	}
}
