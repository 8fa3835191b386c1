package scheduler

import "time"

// environment is what all parts of the scheduler share: the settings, the time of the event at hand
// and the outbox.
type environment struct {
	cfg               Config
	now               time.Duration // of the event at hand
	termStartedAt     time.Duration
	workerLease       time.Duration
	heartbeatInterval time.Duration
	outbox
}
