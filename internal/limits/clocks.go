package limits

import "time"

// Clocks.
const (
	// ClockDriftRatio is the assumed upper bound on the drift of a monotonic clock from true time, as a
	// fraction of the elapsed time. Two clocks may drift apart by twice as much.
	ClockDriftRatio = 0.0005
	// LeaseExpiryMargin is added when waiting for another process's lease to expire, because timers have
	// a granularity of some milliseconds.
	LeaseExpiryMargin = 500 * time.Millisecond
	// LeaseValidityMargin is subtracted from a process's own lease for the same reason.
	LeaseValidityMargin = 500 * time.Millisecond
)

// LeaseExpiredAfter returns how long to wait, measured by the local clock, until a lease that another
// clock measures has certainly expired.
func LeaseExpiredAfter(duration time.Duration) time.Duration {
	return duration + maxDrift(duration) + LeaseExpiryMargin
}

// LeaseValidFor returns how long, measured by the local clock, a lease that another clock measures is
// certainly valid. The time starts when the request that created or renewed the lease was sent.
func LeaseValidFor(duration time.Duration) time.Duration {
	return duration - maxDrift(duration) - LeaseValidityMargin
}

// maxDrift returns how far two clocks may drift apart within a duration.
func maxDrift(duration time.Duration) time.Duration {
	return Scale(2*duration, ClockDriftRatio)
}
