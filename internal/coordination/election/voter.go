package election

import (
	"sync"
	"time"

	"quillshunt/internal/limits"
)

// Vote is a controller's answer to a request for its vote.
type Vote struct {
	Granted      bool
	ProcessNonce uint64 // of the process that answers; 0 is unknown
}

// voter is the votes that this process has granted and withdrawn. A process that has just started
// does not know the votes of the one before it. So it waits for the longest vote lease before it
// withdraws a vote, and grants votes only to a leader that has written a heartbeat since it learned
// of this process.
type voter struct {
	voteLease time.Duration
	nonce     uint64 // differs between the processes of a node; never 0
	startedAt time.Time

	mu            sync.Mutex
	grantedAt     time.Time // last vote granted to anybody
	requestedAt   time.Time // last request, granted or not
	withdrawnUpTo uint64    // no more votes under heartbeats up to this version
}

// vote answers a leader's request under the heartbeat with that version. The nonce is that of the
// process that the leader believes to ask.
func (v *voter) vote(heartbeatVersion, nonce uint64) Vote {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requestedAt = time.Now()
	if nonce != v.nonce || heartbeatVersion <= v.withdrawnUpTo {
		return Vote{ProcessNonce: v.nonce}
	}
	v.grantedAt = v.requestedAt
	return Vote{Granted: true, ProcessNonce: v.nonce}
}

// withdraw refuses all further votes under heartbeats up to that version. It reports false and
// changes nothing while a vote of this controller may be live.
func (v *voter) withdraw(heartbeatVersion uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wait := limits.LeaseExpiredAfter(v.voteLease)
	if time.Since(v.startedAt) <= wait || time.Since(v.grantedAt) <= wait {
		return false
	}
	v.withdrawnUpTo = max(v.withdrawnUpTo, heartbeatVersion)
	return true
}

// voteRequestOverdue reports whether no leader has asked for a vote for a while, counted from the given
// time at the earliest.
func (v *voter) voteRequestOverdue(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.requestedAt.After(since) {
		since = v.requestedAt
	}
	return time.Since(since) > time.Duration(float64(v.voteLease)*limits.SuspicionShare)
}
