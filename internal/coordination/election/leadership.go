package election

import (
	"math"
	"sync/atomic"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Leadership is one term of leadership. The elector extends its entitlement; any goroutine may read
// it.
type Leadership struct {
	Term       uint64 // the fencing token; no two terms have the same
	KeyVersion uint64 // of the leader key; guards every write of the term

	startedAt        time.Time
	leaseUntil       atomic.Int64  // end of the entitlement by the lease, in nanoseconds after startedAt
	quorumUntil      atomic.Int64  // the same by the quorum lease and heartbeat records
	resigned         atomic.Bool   // handed over; a late renewal does not change that
	observedRevision atomic.Uint64 // the term has processed all changes of open jobs up to this revision
}

// NewLeadership returns a leadership of a single controller, which needs no votes. It is entitled
// until the given time, unless its lease is extended.
func NewLeadership(term, keyVersion uint64, until time.Time) *Leadership {
	l := &Leadership{Term: term, KeyVersion: keyVersion, startedAt: time.Now()}
	l.quorumUntil.Store(math.MaxInt64)
	l.extendLease(until)
	return l
}

// requireQuorum makes the entitlement end at the given time, unless the quorum lease is extended.
func (l *Leadership) requireQuorum(until time.Time) {
	l.quorumUntil.Store(int64(until.Sub(l.startedAt)))
}

func (l *Leadership) extendLease(until time.Time) {
	storeMax(&l.leaseUntil, int64(until.Sub(l.startedAt)))
}

func (l *Leadership) extendQuorum(until time.Time) {
	storeMax(&l.quorumUntil, int64(until.Sub(l.startedAt)))
}

// storeMax sets a value that never falls; it has one writer.
func storeMax(value *atomic.Int64, floor int64) {
	if floor > value.Load() {
		value.Store(floor)
	}
}

// Entitled reports whether this process is certainly the leader at this moment. The process may be
// descheduled right after, so whatever follows is also fenced: by the term, by the version of the
// leader key, or by a name that is never used again.
func (l *Leadership) Entitled() bool {
	if l.resigned.Load() {
		return false
	}
	return int64(time.Since(l.startedAt)) < min(l.leaseUntil.Load(), l.quorumUntil.Load())
}

// SetObservedRevision records that the term has processed all changes of open jobs up to a revision. The next
// heartbeat record says so.
func (l *Leadership) SetObservedRevision(revision uint64) { l.observedRevision.Store(revision) }

// FencingCondition returns the condition that makes a write fail once there is another leader.
func (l *Leadership) FencingCondition() protocol.Condition {
	return protocol.Condition{Key: storage.KeyLeader, Version: l.KeyVersion}
}
