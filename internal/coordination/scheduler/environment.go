package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// environment is shared by all parts of the scheduler. It holds the settings, the time of the current
// event, and the outbox.
type environment struct {
	cfg               Config
	now               time.Duration // time of the current event
	termStartedAt     time.Duration
	workerLease       time.Duration
	heartbeatInterval time.Duration
	outbox
}

// newEnvironment returns the environment of a term that begins at the time now.
func newEnvironment(cfg Config, now time.Duration) *environment {
	return &environment{
		cfg:               cfg,
		now:               now,
		termStartedAt:     now,
		workerLease:       limits.Seconds(cfg.Workers.LeaseS),
		heartbeatInterval: limits.Seconds(cfg.Workers.ReportS),
		outbox:            newOutbox(),
	}
}

// beginStep advances the time, which never goes back, and clears the effects of the previous event.
func (e *environment) beginStep(now time.Duration) {
	e.now = max(e.now, now)
	e.effects = nil
}
