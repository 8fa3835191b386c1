// Package election elects one leader among the controllers.
//
// At most one controller is entitled to act as the leader at any moment. Each term of leadership has
// a unique number, the fencing token of everything that is done in that term.
//
// The protocol has five parts:
//
//   - Leader lease. The leader key in the state service is attached to a lease that the leader
//     renews. A controller may write the key if it is absent, or if it holds the controller's own
//     name, because only one process per name runs at a time. Withdrawal and Handover below are the
//     only other cases. Every write of a term has the condition that the leader key is unchanged, so
//     a leader that was replaced can write nothing.
//   - Votes. The leader lease must outlast an outage of the state service, so it is long. With this
//     lease alone, an unreachable leader would stay the leader for all that time. A leader is
//     therefore entitled only while it holds both the leader lease and a short quorum lease, which it
//     renews by collecting votes from a majority of the controllers. A single controller needs no
//     votes.
//   - Heartbeat record. Without the votes of a majority, the leader extends the quorum lease by
//     writing its heartbeat record to the state service instead.
//   - Withdrawal. A follower that receives no vote requests suspects the leader. If the heartbeat
//     record then keeps its version for longer than a quorum lease, the follower withdraws its vote
//     for this version and all earlier ones, and writes the withdrawal to the state service. Once a
//     majority has withdrawn, a follower campaigns under the condition that the leader key and the
//     heartbeat record are unchanged. At that time no vote of the majority is valid any more. If the
//     leader writes a heartbeat record before the campaign is applied, the campaign fails.
//   - Handover. If only the leader cannot reach the state service, or answers no requests of workers and
//     users any more, it resigns and offers the leadership to a controller that does both. That
//     controller replaces the leader key at once.
//
// A restarted process does not know which votes the previous process on its node granted or
// withdrew. It therefore waits for the longest possible vote to expire before it withdraws its own.
// It grants votes only to a leader that has received the nonce of this process and has written a
// heartbeat record since. docs/design/leadership.md has the proof.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Store is the part of the state service that elections use. *storage.Store implements it.
type Store interface {
	Get(ctx context.Context, key string) (protocol.KeyValue, error)
	CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error)
	CreateLease(ctx context.Context, duration time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error)
	List(ctx context.Context, prefix string, each func(protocol.KeyValue) error) (uint64, error)
}

// Peers are the other controllers, as elections use them.
type Peers interface {
	// Size returns the number of other controllers, which is constant.
	Size() int
	// RequestVotes asks all other controllers to vote for the leader whose heartbeat record has the
	// given version. The nonces, by node name, identify the processes that the caller expects on the
	// nodes. The result, also by node name, has no entry for a controller that does not reply in
	// time.
	RequestVotes(ctx context.Context, heartbeatVersion uint64, nonces map[string]uint64) map[string]Vote
	// FindCandidate returns the name of another controller that can lead, see Elector.CanLead, or ""
	// if there is none.
	FindCandidate(ctx context.Context) string
	// OfferLeadership notifies a controller that the leader of the given term has resigned and that
	// the term is over. keyVersion is the version of the leader key in that term.
	OfferLeadership(ctx context.Context, node string, term, keyVersion uint64) error
}

// Options configure an Elector. All fields are required unless their comment says otherwise.
type Options struct {
	Node          string // the controller's own name
	Store         Store
	Peers         Peers         // nil for a single controller, which needs no votes
	LeaseDuration time.Duration // of the leader lease
	VoteLease     time.Duration // how long a vote is valid; 0 if leadership needs no votes
	Log           *slog.Logger

	// RunTerm runs a term. It must return within limits.TermEndTimeout after ctx ends.
	RunTerm func(ctx context.Context, l *Leadership)

	// ClientsStalled reports whether this process answers no requests of users or workers any more,
	// although it runs: its event loop or, while it leads, its scheduler does not go on. If nil, it always
	// answers them.
	ClientsStalled func() bool

	// SchedulingDelay measures how late this process runs because its CPU is busy. If nil,
	// measureSchedulingDelay is used.
	SchedulingDelay func(ctx context.Context) time.Duration
}

// Elector takes part in elections. Its methods may be called by any goroutine.
type Elector struct {
	options   Options
	voter     voter
	suspicion suspicion              // of the leader being followed; used by Run only
	leader    atomic.Pointer[string] // name of the last known leader; "" or nil if unknown
	lostTerms chan uint64            // terms that are over, from ReportTermLost
	offers    chan uint64            // versions of the leader keys of resigned leaders, from AcceptOffer
}

// New returns an Elector. It grants votes at once, and takes part in elections once Run is called.
func New(options Options) *Elector {
	if options.SchedulingDelay == nil {
		options.SchedulingDelay = measureSchedulingDelay
	}
	if options.ClientsStalled == nil {
		options.ClientsStalled = func() bool { return false }
	}
	return &Elector{
		options:   options,
		voter:     voter{voteLease: options.VoteLease, nonce: newNonce(), startedAt: time.Now()},
		lostTerms: make(chan uint64, 1),
		offers:    make(chan uint64, 1),
	}
}

// newNonce returns a random number that is not 0 and fits into an int64.
func newNonce() uint64 { return rand.Uint64()>>1 | 1 }

// Leader returns the name of the last known leader, or "" if none is known.
func (e *Elector) Leader() string {
	if p := e.leader.Load(); p != nil {
		return *p
	}
	return ""
}

func (e *Elector) setLeader(name string) { e.leader.Store(&name) }

// CanLead reports whether this process could lead: it can reach the state service now, and answers requests
// of clients. It reads one key and blocks until the read completes or times out.
func (e *Elector) CanLead(ctx context.Context) bool {
	if e.options.ClientsStalled() {
		return false
	}
	_, err := e.options.Store.Get(ctx, storage.KeyLeader)
	return err == nil
}

// ReportTermLost notifies the elector that a term is over: a write failed because another controller
// has replaced the leader, or a worker has received the fencing token of a later term. It does not
// block.
func (e *Elector) ReportTermLost(term uint64) {
	select {
	case e.lostTerms <- term:
	default:
	}
}

// AcceptOffer accepts the leadership offered by a leader that has resigned and does nothing more in
// its term. This process may then campaign at once instead of waiting for the leader lease to
// expire. The condition on the version of the leader key ensures that the campaign replaces only
// that term. AcceptOffer does not block. A newer offer replaces an older one.
func (e *Elector) AcceptOffer(term, keyVersion uint64) {
	e.options.Log.Info("leadership offer received", "term", term)
	select {
	case <-e.offers:
	default:
	}
	select {
	case e.offers <- keyVersion:
	default:
	}
}

// Vote replies to a vote request from the leader whose heartbeat record has the given version. The
// nonce identifies the process that the leader expects on this node.
func (e *Elector) Vote(heartbeatVersion, nonce uint64) Vote {
	return e.voter.vote(heartbeatVersion, nonce)
}

// Run takes part in elections until ctx ends, and runs the terms that this controller wins. It
// returns nil after every goroutine that it started has ended, or ErrTermDoesNotEnd, after which the process
// must end.
func (e *Elector) Run(ctx context.Context) error {
	var backoff storage.Backoff
	for ctx.Err() == nil {
		err := e.followOrCampaign(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrTermDoesNotEnd):
			return err
		case err == nil:
			backoff.Reset()
			continue
		}
		e.options.Log.Debug("election attempt failed; retrying", "err", err)
		if !backoff.Wait(ctx) {
			return nil
		}
	}
	return nil
}

// followOrCampaign reads the leader key once. If another controller leads, it follows that leader;
// otherwise it campaigns, and leads the term if it wins.
func (e *Elector) followOrCampaign(ctx context.Context) error {
	key, err := e.options.Store.Get(ctx, storage.KeyLeader)
	if err != nil {
		return fmt.Errorf("read the leader key: %w", err)
	}
	if key.Version != 0 {
		var leader storage.LeaderRecord
		if err := protocol.Decode(key.Value, &leader); err != nil {
			return fmt.Errorf("decode the leader key: %w", err)
		}
		if leader.Node != e.options.Node {
			e.setLeader(leader.Node)
			return e.follow(ctx, key.Version)
		}
		// The key holds the name of this controller. Only one process per name runs at a time, so it was
		// written by a process that has ended, or by this one, which does not lead now. The condition on
		// the key's version makes it safe to replace.
	}
	e.setLeader("")
	return e.campaign(ctx, versionCondition(storage.KeyLeader, key.Version))
}

// versionCondition returns the condition that a key has the given version. Version 0 means that the
// key is absent.
func versionCondition(key string, version uint64) protocol.Condition {
	return protocol.Condition{Key: key, Version: version}
}

// needsVotes reports whether leadership depends on votes. It does not with a single controller, or
// if votes are disabled.
func (e *Elector) needsVotes() bool {
	return e.options.Peers != nil && e.options.Peers.Size() > 0 && e.voter.voteLease > 0
}

// quorumSize returns how many controllers, this one included, are a majority.
func (e *Elector) quorumSize() int { return (e.options.Peers.Size()+1)/2 + 1 }
