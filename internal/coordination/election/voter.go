package election

import (
	"sync"
	"time"

	"quillshunt/internal/limits"
)

// The hold has to outlast an outage of the state service, so it is long, and a leader that is cut
// off would keep the lead that long. Pledges make that time short: a leader is entitled only while,
// beside its hold, a majority of the controllers has lately pledged to it, or it has lately written
// its heartbeat. Another controller may replace it before its hold ends if a majority has let go of
// it, each on record in the state service, and the heartbeat has not changed for the life of a
// pledge, by which its election is guarded. docs/design/leadership.md has the proof.

// voter is what this process has promised. A process that has just come back does not know what the
// one before it had promised: it sits the longest pledge out before it lets go of a leader, and
// pledges only to one that has written a heartbeat since it heard of this process.
type voter struct {
	lease     time.Duration
	nonce     uint64 // tells this process from the next of its node; never 0
	startedAt time.Time

	mu            sync.Mutex
	votedAt       time.Time // last pledge to anybody
	requestedAt   time.Time // last request, granted or not
	withdrawnUpTo uint64    // heartbeats up to this one get no pledge any more
}

func (p *voter) vote(heartbeat, nonce uint64) Vote {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestedAt = time.Now()
	if nonce != p.nonce || heartbeat <= p.withdrawnUpTo {
		return Vote{ProcessNonce: p.nonce}
	}
	p.votedAt = p.requestedAt
	return Vote{Granted: true, ProcessNonce: p.nonce}
}

// withdraw lets go of the leader with that heartbeat, if no pledge of this controller can be live.
func (p *voter) withdraw(heartbeat uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := limits.LeaseSurelyOver(p.lease)
	if time.Since(p.startedAt) <= wait || time.Since(p.votedAt) <= wait {
		return false
	}
	p.withdrawnUpTo = max(p.withdrawnUpTo, heartbeat)
	return true
}

// leaderSilent tells whether nobody has asked for a pledge for a while.
func (p *voter) leaderSilent(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requestedAt.After(since) {
		since = p.requestedAt
	}
	return time.Since(since) > time.Duration(float64(p.lease)*limits.SuspicionShare)
}
