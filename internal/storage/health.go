package storage

import (
	"net/http"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// serviceHealth records the outcomes of calls to the service. Times are Unix nanoseconds.
type serviceHealth struct {
	failedShare     atomic.Pointer[string] // share of the last failed call; nil if none has failed yet
	failingSince    atomic.Int64           // start of the first failed call since the last success; 0 if there is none
	recoveredAt     atomic.Int64           // when a call succeeded after the last failed ones; 0 if none has failed yet
	lastCallAt      atomic.Int64           // start of the last call
	writeOperations atomic.Int64           // operations sent in transactions
	rejectedCalls   atomic.Int64           // calls that the service rejected with 429 or 503
}

func (h *serviceHealth) recordStart(startedAt time.Time) { h.lastCallAt.Store(startedAt.UnixNano()) }

// recordOutcome records the outcome of a call. A 429 counts as a success: it shows that the service
// works.
func (h *serviceHealth) recordOutcome(share string, startedAt time.Time, reply *transport.Message, err error) {
	if err != nil {
		h.recordFailure(share, startedAt)
		return
	}
	switch reply.Status {
	case http.StatusServiceUnavailable:
		h.recordFailure(share, startedAt)
		h.rejectedCalls.Add(1)
	case http.StatusTooManyRequests:
		h.recordSuccess()
		h.rejectedCalls.Add(1)
	default:
		h.recordSuccess()
	}
}

func (h *serviceHealth) recordFailure(share string, startedAt time.Time) {
	h.failedShare.Store(&share)
	h.failingSince.CompareAndSwap(0, startedAt.UnixNano())
}

func (h *serviceHealth) recordSuccess() {
	if h.failingSince.Swap(0) != 0 {
		h.recoveredAt.Store(time.Now().UnixNano())
	}
}

// ReachableSince returns since when no call has failed, or the present time if the last call failed. It is the
// Unix epoch if no call has failed yet.
func (s *Store) ReachableSince() time.Time {
	if s.health.failingSince.Load() != 0 {
		return time.Now()
	}
	return time.Unix(0, s.health.recoveredAt.Load())
}

// FailingFor returns for how long no call has succeeded, or 0 if the last call succeeded.
func (s *Store) FailingFor() time.Duration {
	if since := s.health.failingSince.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

// LastFailedShare returns the share of the rate limits to which the last failed call belonged, or "" if none has
// failed yet.
func (s *Store) LastFailedShare() string {
	if share := s.health.failedShare.Load(); share != nil {
		return *share
	}
	return ""
}

// Counters returns how many operations were sent in transactions, and how many calls the service
// rejected, since New. They are for the log.
func (s *Store) Counters() (writeOperations, rejectedCalls int64) {
	return s.health.writeOperations.Load(), s.health.rejectedCalls.Load()
}

// IsUnavailable reports whether calls have failed for so long that another one would only make its caller
// wait. During an outage it returns false at intervals of limits.UnavailableProbeInterval, so that one
// call can show whether the outage is over.
func (s *Store) IsUnavailable() bool {
	sinceLastCall := time.Since(time.Unix(0, s.health.lastCallAt.Load()))
	return s.FailingFor() > limits.UnavailableAfter && sinceLastCall < limits.UnavailableProbeInterval
}
