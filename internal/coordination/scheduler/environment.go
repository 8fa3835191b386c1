package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// environment is what all parts of the scheduler share: the settings, the time of the event that is
// processed, and the outbox.
type environment struct {
	cfg               Config
	now               time.Duration // of the event
	termStartedAt     time.Duration
	workerLease       time.Duration
	heartbeatInterval time.Duration
	outbox
}

// newEnvironment returns the environment of a term that begins now.
func newEnvironment(cfg Config, now time.Duration) *environment {
	return &environment{
		cfg:               cfg,
		now:               now,
		termStartedAt:     now,
		workerLease:       limits.Seconds(cfg.Workers.LeaseS),
		heartbeatInterval: limits.Seconds(cfg.Workers.HeartbeatIntervalS),
		outbox:            newOutbox(),
	}
}

// beginStep sets the time and empties the outbox for the next event.
func (e *environment) beginStep(now time.Duration) {
	e.now = max(e.now, now)
	e.effects = nil
}
