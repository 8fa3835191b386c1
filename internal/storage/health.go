package storage

import (
	"net/http"
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// serviceHealth is what the last calls show of the service. Times are Unix nanoseconds.
type serviceHealth struct {
	failingSince    atomic.Int64 // since when no call succeeded; 0 if the last one did
	lastCallAt      atomic.Int64 // when the last call began
	writeOperations atomic.Int64 // operations sent in transactions
	rejectedCalls   atomic.Int64 // calls answered 429 or 503
}

func (h *serviceHealth) recordStart(startedAt time.Time) { h.lastCallAt.Store(startedAt.UnixNano()) }

// callEnded notes the outcome of a call. A 429 is an answer of a service that works.
func (h *serviceHealth) recordOutcome(startedAt time.Time, reply *transport.Message, err error) {
	if err != nil {
		h.failingSince.CompareAndSwap(0, startedAt.UnixNano())
		return
	}
	switch reply.Status {
	case http.StatusServiceUnavailable:
		h.failingSince.CompareAndSwap(0, startedAt.UnixNano())
		h.rejectedCalls.Add(1)
	case http.StatusTooManyRequests:
		h.failingSince.Store(0)
		h.rejectedCalls.Add(1)
	default:
		h.failingSince.Store(0)
	}
}

// FailingFor returns for how long no call succeeded, or 0 if the last one did.
func (s *Store) FailingFor() time.Duration {
	if since := s.health.failingSince.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

// Counters returns how many operations were sent and how many calls were refused so far, for the
// log.
func (s *Store) Counters() (writeOperations, rejectedCalls int64) {
	return s.health.writeOperations.Load(), s.health.rejectedCalls.Load()
}

// Unavailable reports whether the service is known to be unreachable, so that one more call would
// only keep somebody waiting. Now and then it returns false all the same, so that a call shows
// whether the outage is over.
func (s *Store) Unavailable() bool {
	sinceLastCall := time.Since(time.Unix(0, s.health.lastCallAt.Load()))
	return s.FailingFor() > limits.UnavailableAfter && sinceLastCall < limits.UnavailableProbeInterval
}
