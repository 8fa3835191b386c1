package storage

import (
	"sync/atomic"
	"time"

	"quillshunt/internal/limits"
)

// serviceHealth is what the last calls tell of the service. All times are Unix nanoseconds.
type serviceHealth struct {
	failingSince atomic.Int64 // since when no call succeeded; 0 if the last one did
	lastCallAt   atomic.Int64 // when the last call began
	writes       atomic.Int64 // changes sent
	refused      atomic.Int64 // calls answered 429 or 503
}

// FailingFor is for how long no call succeeded.
func (s *Store) FailingFor() time.Duration {
	if since := s.health.failingSince.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

// Counters is how many changes were sent and how many calls were refused so far, for the log.
func (s *Store) Counters() (writes, refused int64) {
	return s.health.writes.Load(), s.health.refused.Load()
}

// Unavailable tells whether the service is known to be out of reach, so that one more call would
// only keep somebody waiting. Now and then a call is let through to see whether it is over.
func (s *Store) Unavailable() bool {
	return s.FailingFor() > limits.UnavailableAfter && time.Since(time.Unix(0, s.health.lastCallAt.Load())) < limits.UnavailableProbeInterval
}
