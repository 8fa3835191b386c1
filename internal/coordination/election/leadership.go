package election

import (
	"math"
	"sync/atomic"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

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
