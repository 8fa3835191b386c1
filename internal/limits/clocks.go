package limits

import "time"

// Clocks.
const (
	// ClockDriftRatio is how far a steady clock may drift from true time, as a fraction of the time that
	// goes by. Twice as much is allowed for between two clocks.
	ClockDriftRatio = 0.0005
	// LeaseExpiryMargin is added wherever the end of another's lease is waited for: timers fire in steps of
	// some milliseconds.
	LeaseExpiryMargin = 500 * time.Millisecond
	// LeaseValidityMargin is subtracted from the leader's own lease for the same reason.
	LeaseValidityMargin = 500 * time.Millisecond
)

// LeaseExpiredAfter returns how long to wait, by this clock, until a lease of a duration by another
// clock has certainly expired.
func LeaseExpiredAfter(duration time.Duration) time.Duration {
	return duration + maxDrift(duration) + LeaseExpiryMargin
}

// LeaseValidFor returns how long, by this clock, a lease of a duration by another clock is certainly
// valid. The time counts from when its creation or renewal was sent.
func LeaseValidFor(duration time.Duration) time.Duration {
	return duration - maxDrift(duration) - LeaseValidityMargin
}

// maxDrift returns how far two clocks may drift apart within a duration.
func maxDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * 2 * ClockDriftRatio)
}

// Seconds converts a duration of the protocol or the settings, in seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
