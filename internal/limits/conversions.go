package limits

import "time"

// MaxDuration is the longest duration, in either direction, that a number is converted to: ten years, which is
// longer than anything that the program waits for. Sums and small multiples of such durations and of times since a
// term began do not overflow.
const MaxDuration = 10 * 365 * 24 * time.Hour

// The conversions below are the only ones from floating-point numbers to durations and integers. Go leaves the
// result open if a number is out of the range of the new type, and it differs between processors: it is the lowest
// value on x86-64 and the nearest one on arm64.

// Seconds converts a number of seconds, as in the protocol and the settings, to a duration. The result is
// limited to MaxDuration; it is 0 if the number is not a number.
func Seconds(seconds float64) time.Duration { return toDuration(seconds * float64(time.Second)) }

// Scale multiplies a duration by a factor. The result is limited like that of Seconds.
func Scale(duration time.Duration, factor float64) time.Duration {
	return toDuration(float64(duration) * factor)
}

// toDuration converts a number of nanoseconds, limited to MaxDuration.
func toDuration(nanoseconds float64) time.Duration {
	switch {
	case nanoseconds >= float64(MaxDuration):
		return MaxDuration
	case nanoseconds <= -float64(MaxDuration):
		return -MaxDuration
	case nanoseconds != nanoseconds: // not a number
		return 0
	}
	return time.Duration(nanoseconds)
}

// Whole rounds a number down to a whole one from 0 to most. The result is 0 if the number is not a number.
func Whole[T int | int64](number float64, most T) T {
	switch {
	case number >= float64(most):
		return most
	case number > 0:
		return T(number)
	}
	return 0
}
