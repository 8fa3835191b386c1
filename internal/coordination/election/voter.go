package election

import (
	"sync"
	"time"

	"quillshunt/internal/limits"
)

// Vote is a controller's reply to a vote request.
type Vote struct {
	Granted      bool
	ProcessNonce uint64 // of the replying process; 0 if unknown
}

// voter keeps track of the votes that this process has granted and withdrawn. A restarted process
// does not know the votes of the previous process on its node. It therefore waits for the longest
// possible vote to expire before it withdraws its own, and grants votes only to a leader that has
// received its nonce and has written a heartbeat record since.
type voter struct {
	voteLease time.Duration
	nonce     uint64 // identifies the process among all processes of the node; never 0
	startedAt time.Time

	mu            sync.Mutex
	grantedAt     time.Time // when the last vote was granted, to any leader
	requestedAt   time.Time // when the last vote was requested, granted or not
	withdrawnUpTo uint64    // no votes are granted for this heartbeat version or earlier ones
}

// vote replies to a vote request from the leader whose heartbeat record has the given version. The
// nonce identifies the process that the leader expects on this node.
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

// withdraw refuses all further votes for heartbeat versions up to the given one. It returns false
// and changes nothing while a vote of this controller may still be valid.
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

// isVoteRequestOverdue reports whether this process has received no vote request for longer than the
// share limits.SuspicionShare of the vote lease. The time counts from the last request or from since,
// whichever is later.
func (v *voter) isVoteRequestOverdue(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.requestedAt.After(since) {
		since = v.requestedAt
	}
	return time.Since(since) > limits.Scale(v.voteLease, limits.SuspicionShare)
}
