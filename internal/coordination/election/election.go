// Package election chooses the leading controller: a key attached to a hold in
// the state service, and a term that is never used twice.
package election

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

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

// Peers are the other controllers, as far as elections go.
type Peers interface {
	// FindConnected returns the name of a controller that reaches the state service, or "".
	FindConnected(ctx context.Context) string
	// OfferLeadership tells that controller that a term is over.
	OfferLeadership(ctx context.Context, node string, term, stamp uint64) error
	// Size is how many other controllers there are.
	Size() int
	// RequestVotes asks all other controllers for their votes, under the leader's heartbeat with
	// that key version. The nonces are those of the processes that the caller believes to run on
	// the nodes. The result has no entry for a controller that does not answer in time.
	RequestVotes(ctx context.Context, heartbeat uint64, nonces map[string]uint64) map[string]Vote
}

// Vote is a controller's answer to a request for its vote.
type Vote struct {
	Granted      bool
	ProcessNonce uint64 // of the process that answers; 0 is unknown
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

// Vote is asked by a leader for this controller's pledge; nonce is that of the process that the
// leader takes this one for.
func (e *Elector) Vote(heartbeat, nonce uint64) Vote {
	return e.voter.vote(heartbeat, nonce)
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

// needsVotes tells whether leadership depends on pledges here: a single controller needs none.
func (e *Elector) needsVotes() bool { return e.Peers != nil && e.Peers.Size() > 0 && e.voter.lease > 0 }

// quorum is a majority of all controllers, this one included.
func (e *Elector) quorum() int { return (e.Peers.Size()+1)/2 + 1 }
