// Package election chooses the leader among the controllers.
//
// At most one controller is entitled to act as the leader at any moment. Each term of leadership
// has a number that is never used twice, the fencing token of everything that is done in it.
//
// The protocol has five parts:
//
//   - Lease. The leader key in the state service is attached to a lease that the leader renews. A
//     controller may write the key when it is absent, when it has that controller's own name (only
//     one process of a name lives), or in one of the two cases below. Every write of a term has the
//     condition that the leader key is unchanged, so a leader that was replaced can write nothing.
//   - Votes. The lease has to outlast an outage of the state service, so it is long. A leader that
//     is cut off would keep the leadership for that long. Therefore a leader is entitled only while
//     it has two things: the lease and a short quorum lease. A majority of the controllers renews
//     the quorum lease by its votes. A single controller needs no votes.
//   - Heartbeat record. Where the votes of a majority are missing, the leader extends the quorum
//     lease by writing its heartbeat record to the state service instead.
//   - Withdrawal. A follower that gets no requests for its vote suspects the leader. If the
//     heartbeat record stays the same for longer than a quorum lease, the follower withdraws its
//     vote from that heartbeat and all earlier ones, on record in the state service. Once a
//     majority has withdrawn, a follower campaigns under the condition that the leader key and the
//     heartbeat record are unchanged. No vote of the majority is live then, and a heartbeat that
//     the leader writes in the meantime makes the campaign fail.
//   - Handover. A leader that alone cannot reach the state service resigns and offers the
//     leadership to a controller that can. That controller replaces the leader key at once.
//
// A process that was just started has no memory of the votes that its predecessor on the node has
// granted or withdrawn. It waits for the longest possible vote before it withdraws its own, and
// grants votes only to a leader that has written a heartbeat since it learned of this process, by
// its nonce. docs/design/leadership.md has the proof.
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

// Store is what the election needs of the state service. A storage.Store has all of it.
type Store interface {
	Get(ctx context.Context, key string) (protocol.KeyValue, error)
	CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error)
	CreateLease(ctx context.Context, duration time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error)
	List(ctx context.Context, prefix string, each func(protocol.KeyValue) error) (uint64, error)
}

// Peers are the other controllers, as far as elections go.
type Peers interface {
	// Size returns the number of other controllers. It does not change.
	Size() int
	// RequestVotes asks all other controllers for their votes, under the leader's heartbeat with
	// that key version. The nonces are those of the processes that the caller believes to run on
	// the nodes. The result has no entry for a controller that does not answer in time.
	RequestVotes(ctx context.Context, heartbeat uint64, nonces map[string]uint64) map[string]Vote
	// FindConnected returns the name of a controller that reaches the state service, or "".
	FindConnected(ctx context.Context) string
	// OfferLeadership tells that controller that a term is over. The key version is that of the
	// term's leader key.
	OfferLeadership(ctx context.Context, node string, term, keyVersion uint64) error
}

// Options configure an Elector. All fields are required unless they say otherwise.
type Options struct {
	Node          string // the controller's own name
	Store         Store
	Peers         Peers                                    // nil: a single controller, which needs no votes
	LeaseDuration time.Duration                            // of the lease of the leader key
	VoteLease     time.Duration                            // how long a vote is live; 0: leadership needs no votes
	RunTerm       func(ctx context.Context, l *Leadership) // runs a term; returns soon after its context ends
	Log           *slog.Logger

	// Delay measures how far this process is behind because its processor is busy. Nil: by a short
	// sleep, schedulingDelay.
	SchedulingDelay func(ctx context.Context) time.Duration
}

// Elector takes part in elections. Its methods may be called by any goroutine.
type Elector struct {
	options   Options
	voter     voter
	suspicion suspicion              // of the leader that is followed; belongs to Run
	leader    atomic.Pointer[string] // name of the leader as far as known
	lostTerms chan uint64            // terms that are over, of TermLost
	offers    chan uint64            // key versions of leader keys whose leader has resigned, of AcceptOffer
}

// New returns an Elector. It takes part in elections once Run is called; it grants votes from now
// on.
func New(options Options) *Elector {
	if options.SchedulingDelay == nil {
		options.SchedulingDelay = measureSchedulingDelay
	}
	return &Elector{
		options:   options,
		voter:     voter{voteLease: options.VoteLease, nonce: newNonce(), startedAt: time.Now()},
		lostTerms: make(chan uint64, 1),
		offers:    make(chan uint64, 1),
	}
}

// newNonce returns a random number that is never 0 and fits an int64.
func newNonce() uint64 { return rand.Uint64()>>1 | 1 }

// Leader returns the name of the leader as far as known, or "".
func (e *Elector) Leader() string {
	if p := e.leader.Load(); p != nil {
		return *p
	}
	return ""
}

func (e *Elector) setLeader(name string) { e.leader.Store(&name) }

// StateReachable reports whether the state service answers this process right now. It takes as long
// as a read of one key may.
func (e *Elector) StateReachable(ctx context.Context) bool {
	_, err := e.options.Store.Get(ctx, storage.KeyLeader)
	return err == nil
}

// ReportTermLost tells the elector that a write or a worker showed that the term is over. It does not
// block.
func (e *Elector) ReportTermLost(term uint64) {
	select {
	case e.lostTerms <- term:
	default:
	}
}

// AcceptOffer is called for the leader of a term that has resigned and does nothing more in it.
// This process may campaign at once instead of waiting for the lease to expire: the condition on
// the version of the leader key makes sure that only that term is replaced. It does not block; a
// newer offer replaces an older one.
func (e *Elector) AcceptOffer(term, keyVersion uint64) {
	e.options.Log.Info("leadership offered", "term", term)
	select {
	case <-e.offers:
	default:
	}
	select {
	case e.offers <- keyVersion:
	default:
	}
}

// Vote answers a leader's request for this controller's vote, under the heartbeat with that key
// version. The nonce is that of the process that the leader believes to ask.
func (e *Elector) Vote(heartbeatVersion, nonce uint64) Vote {
	return e.voter.vote(heartbeatVersion, nonce)
}

// Run takes part in elections until the context ends, and leads the terms that it wins. It returns
// when everything it started has ended.
func (e *Elector) Run(ctx context.Context) {
	var backoff storage.Backoff
	for ctx.Err() == nil {
		err := e.followOrCampaign(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff.Reset()
			continue
		}
		e.options.Log.Debug("election round failed", "err", err)
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// followOrCampaign reads the leader key once. It follows another leader, or campaigns and leads.
func (e *Elector) followOrCampaign(ctx context.Context) error {
	key, err := e.options.Store.Get(ctx, storage.KeyLeader)
	if err != nil {
		return fmt.Errorf("read leader: %w", err)
	}
	if key.Version != 0 {
		var leader storage.LeaderRecord
		if err := protocol.Decode(key.Value, &leader); err != nil {
			return fmt.Errorf("read leader: %w", err)
		}
		if leader.Node != e.options.Node {
			e.setLeader(leader.Node)
			return e.follow(ctx, key.Version)
		}
		// The key has our own name. Only one process of a name lives, so the one that wrote it has
		// ended (or it is this one, which has resigned). The condition on the key's version makes
		// the replacement safe.
	}
	e.setLeader("")
	return e.campaign(ctx, versionCondition(storage.KeyLeader, key.Version))
}

// versionCondition returns the condition that a key still has a version; version 0 means that it is absent.
func versionCondition(key string, version uint64) protocol.Condition {
	return protocol.Condition{Key: key, Version: version}
}

// needsVotes reports whether leadership depends on votes: a single controller needs none.
func (e *Elector) needsVotes() bool {
	return e.options.Peers != nil && e.options.Peers.Size() > 0 && e.voter.voteLease > 0
}

// quorum returns the majority of all controllers, this one included.
func (e *Elector) quorum() int { return (e.options.Peers.Size()+1)/2 + 1 }
