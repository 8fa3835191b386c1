package election

import (
	"math"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Leadership is the leadership of this process in one term. The process is entitled to act as the
// leader while it holds a valid leader lease and, if it needs votes, a valid quorum lease. The
// elector extends both. IsEntitled may be called by any goroutine.
type Leadership struct {
	Term       uint64 // also the lowest fencing token of the term; unique among terms
	KeyVersion uint64 // of the leader key; a condition of every write of the term

	startedAt        time.Time
	leaseUntil       atomic.Int64  // until when the leader lease is valid, in nanoseconds after startedAt
	quorumUntil      atomic.Int64  // until when the quorum lease is valid, in nanoseconds after startedAt
	resigned         atomic.Bool   // the leadership is handed over; a late renewal does not undo this
	observedRevision atomic.Uint64 // the term has processed all changes of open jobs up to this revision
}

// NewLeadership returns a leadership that depends on the leader lease alone; see requireQuorum. The
// lease is valid until the given time unless it is extended.
func NewLeadership(term, keyVersion uint64, until time.Time) *Leadership {
	l := &Leadership{Term: term, KeyVersion: keyVersion, startedAt: time.Now()}
	l.quorumUntil.Store(math.MaxInt64)
	l.extendLease(until)
	return l
}

// LastFencingToken returns the highest fencing token that was reserved for the term when it began.
func (l *Leadership) LastFencingToken() uint64 { return lastFencingToken(l.Term) }

// lastFencingToken returns the highest fencing token that the election reserves for a term.
func lastFencingToken(term uint64) uint64 { return term + limits.FencingTokensPerReservation - 1 }

// requireQuorum makes the leadership also depend on the quorum lease, which is valid until the given
// time unless it is extended.
func (l *Leadership) requireQuorum(until time.Time) {
	l.quorumUntil.Store(int64(until.Sub(l.startedAt)))
}

func (l *Leadership) extendLease(until time.Time) {
	storeMax(&l.leaseUntil, int64(until.Sub(l.startedAt)))
}

func (l *Leadership) extendQuorum(until time.Time) {
	storeMax(&l.quorumUntil, int64(until.Sub(l.startedAt)))
}

// storeMax stores newValue unless the value is already higher. It is not atomic, so each value has
// only one writer.
func storeMax(value *atomic.Int64, newValue int64) {
	if newValue > value.Load() {
		value.Store(newValue)
	}
}

// IsEntitled reports whether this process is entitled to act as the leader at this moment; no other
// controller is entitled then. The process may be descheduled right afterwards. Whatever depends on
// the result is therefore also protected by the term, by the version of the leader key, or by a name
// that is never reused.
func (l *Leadership) IsEntitled() bool {
	if l.resigned.Load() {
		return false
	}
	return int64(time.Since(l.startedAt)) < min(l.leaseUntil.Load(), l.quorumUntil.Load())
}

// HasResigned reports whether the leadership is handed over.
func (l *Leadership) HasResigned() bool { return l.resigned.Load() }

// SetObservedRevision records that the term has processed all changes of open jobs up to a
// revision. The next heartbeat record contains the revision.
func (l *Leadership) SetObservedRevision(revision uint64) { l.observedRevision.Store(revision) }

// FencingCondition returns the condition that makes a write fail once the leader has been replaced.
func (l *Leadership) FencingCondition() protocol.Condition {
	return protocol.Condition{Key: storage.KeyLeader, Version: l.KeyVersion}
}
