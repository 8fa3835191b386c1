// Package election chooses the leading controller: a key attached to a hold in
// the state service, and a term that is never used twice.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Store is what the election needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (protocol.KeyValue, error)
	CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error)
	CreateLease(ctx context.Context, life time.Duration) (uint64, error)
	RenewLease(ctx context.Context, tenure uint64) error
	Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error)
	List(ctx context.Context, prefix string, each func(protocol.KeyValue) error) (uint64, error)
}

// Leadership is one term of leadership. Its entitlement is read by other goroutines.
type Leadership struct {
	Term             uint64
	KeyVersion       uint64 // of the leader key; guards every write of the term
	startedAt        time.Time
	leaseUntil       atomic.Int64  // nanoseconds after start, by the hold
	quorumUntil      atomic.Int64  // the same, by pledges and heartbeats
	resigned         atomic.Bool   // given up; whatever a late touch says
	observedRevision atomic.Uint64 // the term has taken in all changes of open jobs up to this revision
}

// NewLeadership returns a leadership that is entitled until the given time.
func NewLeadership(term, stamp uint64, until time.Time) *Leadership {
	m := &Leadership{Term: term, KeyVersion: stamp, startedAt: time.Now()}
	m.quorumUntil.Store(math.MaxInt64)
	m.extendLease(until)
	return m
}

func (m *Leadership) extendLease(until time.Time) {
	raise(&m.leaseUntil, int64(until.Sub(m.startedAt)))
}

func (m *Leadership) extendQuorum(until time.Time) {
	raise(&m.quorumUntil, int64(until.Sub(m.startedAt)))
}

func raise(a *atomic.Int64, to int64) {
	if to > a.Load() {
		a.Store(to)
	}
}

// Entitled tells whether we are surely the leader at this moment. The process may lose its core
// right after, so whatever follows is also fenced by the term, the stamp, or a name that is never
// used again.
func (m *Leadership) Entitled() bool {
	return !m.resigned.Load() && int64(time.Since(m.startedAt)) < min(m.leaseUntil.Load(), m.quorumUntil.Load())
}

// Observe notes that the term has taken in all changes of open jobs up to a revision; the next
// heartbeat says so.
func (m *Leadership) Observe(rev uint64) { m.observedRevision.Store(rev) }

// Guard makes a write fail once there is another leader.
func (m *Leadership) Guard() protocol.Condition {
	return protocol.Condition{Key: storage.KeyLeader, Version: m.KeyVersion}
}

// Peers are the other controllers, as far as elections go.
type Peers interface {
	// FindConnected returns the name of a controller that reaches the state service, or "".
	FindConnected(ctx context.Context) string
	// OfferLeadership tells that controller that a term is over.
	OfferLeadership(ctx context.Context, node string, term, stamp uint64) error
	// Size is how many other controllers there are.
	Size() int
	// RequestVotes asks all for their pledge; nonces are the processes that they are taken for. Who
	// does not answer in time is missing.
	RequestVotes(ctx context.Context, heartbeat uint64, nonces map[string]uint64) map[string]*peerpb.VoteReply
}

// Elector takes part in elections. Lead is called with each leadership and must return soon after
// its context ends.
type Elector struct {
	Node          string
	Store         Store
	LeaseDuration time.Duration
	Lead          func(ctx context.Context, m *Leadership)
	Peers         Peers // or nil
	Log           *slog.Logger
	Delay         func(ctx context.Context) time.Duration // how far this process is behind; see lag

	voter     voter
	suspicion suspicion // about the leader that is followed
	leader    atomic.Pointer[string]
	lostTerms chan uint64
	offers    chan uint64 // stamp of a leader key whose term its leader has given up
}

// New returns an Elector with holds and pledges of these lives.
func New(node string, store Store, life, pledge time.Duration, lead func(context.Context, *Leadership), log *slog.Logger) *Elector {
	return &Elector{Node: node, Store: store, LeaseDuration: life, Lead: lead, Log: log, Delay: schedulingDelay,
		voter: voter{lease: pledge, nonce: rand.Uint64()>>1 | 1, startedAt: time.Now()}, lostTerms: make(chan uint64, 1), offers: make(chan uint64, 1)}
}

// Leader is the name of the leader as far as we know, or "".
func (e *Elector) Leader() string {
	if p := e.leader.Load(); p != nil {
		return *p
	}
	return ""
}

func (e *Elector) setLeader(name string) { e.leader.Store(&name) }

// TermLost tells the elector that a write or a worker showed that the term is over.
func (e *Elector) TermLost(term uint64) {
	select {
	case e.lostTerms <- term:
	default:
	}
}

// StateReachable tells whether we reach the state service right now.
func (e *Elector) StateReachable(ctx context.Context) bool {
	_, err := e.Store.Get(ctx, storage.KeyLeader)
	return err == nil
}

// AcceptOffer is told by the leader of a term that it has given it up and does nothing in it any
// more. We may lead at once, without waiting for the end of its hold: the guard on the key's stamp
// sees to it that only that term is replaced.
func (e *Elector) AcceptOffer(term, stamp uint64) {
	e.Log.Info("offered the lead", "term", term)
	select {
	case <-e.offers: // a newer offer replaces an older one
	default:
	}
	select {
	case e.offers <- stamp:
	default:
	}
}

// Run takes part until the context ends.
func (e *Elector) Run(ctx context.Context) {
	var back storage.Backoff
	for ctx.Err() == nil {
		err := e.round(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			back.Reset()
			continue
		}
		e.Log.Debug("election", "err", err)
		if !back.Wait(ctx) {
			return
		}
	}
}

// round looks at the leader key once: it waits for a change of a living leader, or campaigns.
func (e *Elector) round(ctx context.Context) error {
	p, err := e.Store.Get(ctx, storage.KeyLeader)
	if err != nil {
		return fmt.Errorf("read leader: %w", err)
	}
	if p.Version != 0 {
		var l storage.LeaderRecord
		if err := protocol.Decode(p.Value, &l); err != nil {
			return fmt.Errorf("read leader: %w", err)
		}
		if l.Node != e.Node {
			e.setLeader(l.Node)
			return e.follow(ctx, p.Version)
		}
		// The key carries our own name. Only one process of a name lives, so the one that wrote it
		// is over (or it is this one, and its term was given up); the guard on its stamp makes the
		// replacement safe.
	}
	e.setLeader("")
	return e.campaign(ctx, protocol.Condition{Key: storage.KeyLeader, Version: p.Version})
}

// follow waits until the leader key changes, the leader gives up and offers the lead to us, or it
// is surely not entitled any more.
func (e *Elector) follow(ctx context.Context, stamp uint64) error {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan error, 1)
	go func() {
		_, err := e.Store.Watch(wctx, storage.KeyLeader, stamp)
		changed <- err
	}()
	win := func(guards ...protocol.Condition) error {
		cancel()
		<-changed
		return e.campaign(ctx, guards...)
	}
	if e.suspicion.leaderVersion != stamp {
		e.suspicion = suspicion{leaderVersion: stamp, followedAt: time.Now()} // else the watch only ended by itself, and the doubt goes on
	}
	d := &e.suspicion
	tick := time.NewTicker(limits.SuspicionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if !e.needsVotes() {
				continue
			}
			if e.mayReplaceLeader(ctx, d) {
				e.Log.Warn("leader not heard of, replacing it", "leader", e.Leader())
				return win(protocol.Condition{Key: storage.KeyLeader, Version: stamp}, protocol.Condition{Key: storage.KeyLeaderHeartbeat, Version: d.heartbeat})
			}
		case err := <-changed:
			if err != nil && !errors.Is(err, storage.ErrCompacted) {
				return fmt.Errorf("watch leader: %w", err)
			}
			return nil
		case offered := <-e.offers:
			if offered == stamp {
				return win(protocol.Condition{Key: storage.KeyLeader, Version: stamp})
			}
		}
	}
}

// campaign tries to become leader of a new term, if what it is guarded by still holds.
func (e *Elector) campaign(ctx context.Context, guards ...protocol.Condition) error {
	tp, err := e.Store.Get(ctx, storage.KeyTerm)
	if err != nil {
		return fmt.Errorf("read term: %w", err)
	}
	var last storage.TermRecord
	if tp.Version != 0 {
		if err := protocol.Decode(tp.Value, &last); err != nil {
			return fmt.Errorf("read term: %w", err)
		}
	}
	sent := time.Now()
	tenure, err := e.Store.CreateLease(ctx, e.LeaseDuration)
	if err != nil {
		return fmt.Errorf("create hold: %w", err)
	}
	me := storage.LeaderRecord{Node: e.Node, Term: last.Term + 1, Nonce: e.voter.nonce}
	rev, err := e.Store.CompareAndSwap(ctx, protocol.Transaction{
		Conditions: append(guards, protocol.Condition{Key: storage.KeyTerm, Version: tp.Version}),
		Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Value: protocol.Encode(me), Lease: tenure},
			{Put: storage.KeyTerm, Value: protocol.Encode(storage.TermRecord{Term: me.Term})},
			{Put: storage.KeyLeaderHeartbeat, Value: protocol.Encode(storage.LeaderHeartbeat{Term: me.Term})},
		},
	})
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.Log.Info("election lost", "term", me.Term)
		return nil
	case errors.Is(err, storage.ErrOutcomeUnknown):
		// It may have been carried out: the key tells. If it is not there yet, the guards keep it
		// out once somebody else has won, and a later round of ours finds it under our own name.
		p, gerr := e.Store.Get(ctx, storage.KeyLeader)
		if gerr != nil {
			return fmt.Errorf("read leader after unclear election: %w", gerr)
		}
		var l storage.LeaderRecord
		if p.Version == 0 || protocol.Decode(p.Value, &l) != nil || l != me || p.Lease != tenure {
			return fmt.Errorf("campaign: %w", err)
		}
		rev = p.Version
	case err != nil:
		return fmt.Errorf("campaign: %w", err)
	}
	m := NewLeadership(me.Term, rev, sent.Add(limits.EntitledFor(e.LeaseDuration)))
	if e.needsVotes() {
		m.quorumUntil.Store(int64(sent.Add(limits.EntitledFor(e.voter.lease)).Sub(m.startedAt)))
	}
	e.lead(ctx, m, tenure)
	return nil
}

// lead runs a term: it renews the hold until the hold or the term is over.
func (e *Elector) lead(ctx context.Context, m *Leadership, tenure uint64) {
	e.Log.Info("leading", "term", m.Term, "stamp", m.KeyVersion)
	e.setLeader(e.Node)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(ctx, m)
	}()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		if e.needsVotes() {
			e.keepQuorum(ctx, m)
		}
	}()
	defer func() {
		cancel()
		<-done
		<-kept
		e.setLeader("")
		e.Log.Info("term over", "term", m.Term)
	}()
	tick := time.NewTicker(limits.LeaseRenewInterval)
	defer tick.Stop()
	renewed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case term := <-e.lostTerms:
			if term == m.Term {
				e.Log.Warn("term ended by another leader", "term", m.Term)
				return
			}
		case <-tick.C:
			sent := time.Now()
			err := e.Store.RenewLease(ctx, tenure)
			switch {
			case err == nil:
				// After an outage this may come long after we stopped being entitled. As the hold
				// has lived all the while, nobody else can have led, and the term goes on.
				m.extendLease(sent.Add(limits.EntitledFor(e.LeaseDuration)))
				renewed = time.Now()
			case errors.Is(err, storage.ErrLeaseExpired):
				return
			default:
				e.Log.Debug("touch", "term", m.Term, "err", err)
				if e.Peers != nil && time.Since(renewed) > limits.IsolatedAfter && e.blamesStateService(ctx, err) && e.handOver(ctx, m) {
					return
				}
			}
		}
	}
}

// blamesStateService tells whether a failed renewal speaks against our way to the state service.
// Where no answer came and this process is far behind, it may be only that: a hand-over would then
// cost a rebuild, which a controller that is as busy has to make. If it is cut off all the same,
// its votes and heartbeats end the term.
func (e *Elector) blamesStateService(ctx context.Context, err error) bool {
	if !storage.IsTimeout(err) {
		return true
	}
	behind := e.Delay(ctx)
	if behind <= limits.DelayMax {
		return true
	}
	e.Log.Warn("too busy to tell whether the state service is out of reach", "behind", behind.Round(time.Millisecond))
	return false
}

// schedulingDelay tells how much too late this process wakes from a short sleep.
func schedulingDelay(ctx context.Context) time.Duration {
	began := time.Now()
	storage.Sleep(ctx, limits.DelaySample)
	return time.Since(began) - limits.DelaySample
}

// handOver gives the term up if another controller reaches the state service while we do not. The
// order matters: the leadership ends for good before the successor hears of it.
func (e *Elector) handOver(ctx context.Context, m *Leadership) bool {
	node := e.Peers.FindConnected(ctx)
	if node == "" {
		return false // an outage for all: go on for the rest of the hold
	}
	m.resigned.Store(true)
	e.Log.Warn("alone without the state service, handing over", "term", m.Term, "successor", node)
	for range limits.OfferTries {
		err := e.Peers.OfferLeadership(ctx, node, m.Term, m.KeyVersion)
		if err == nil {
			break
		}
		e.Log.Info("successor not told", "term", m.Term, "err", err)
	}
	return true
}
