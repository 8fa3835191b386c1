package limits

import (
	"math"
	"testing"
	"time"
)

// TestConversionsOfExtremeNumbers guards against numbers that are valid in a submission but beyond the range of a
// duration or an integer: the result must be the nearest bound on every processor, never the opposite one.
func TestConversionsOfExtremeNumbers(t *testing.T) {
	for _, c := range []struct {
		number  float64
		seconds time.Duration
		scaled  time.Duration // of one nanosecond
		whole   int           // at most 400
	}{
		{0, 0, 0, 0},
		{5e-324, 0, 0, 0},
		{1e-9, 1, 0, 0},
		{1.75, 1750 * time.Millisecond, 1, 1},
		{399.999, 399_999 * time.Millisecond, 399, 399},
		{400, 400 * time.Second, 400, 400},
		{MaxAmount, MaxDuration, 1_000_000_000_000, 400},
		{1e300, MaxDuration, MaxDuration, 400},
		{math.MaxFloat64, MaxDuration, MaxDuration, 400},
		{math.Inf(1), MaxDuration, MaxDuration, 400},
		{-1.5, -1500 * time.Millisecond, -1, 0},
		{-MaxAmount, -MaxDuration, -1_000_000_000_000, 0},
		{math.Inf(-1), -MaxDuration, -MaxDuration, 0},
		{math.NaN(), 0, 0, 0},
	} {
		if got := Seconds(c.number); got != c.seconds {
			t.Errorf("Seconds(%v) = %v, want %v", c.number, got, c.seconds)
		}
		if got := Scale(time.Nanosecond, c.number); got != c.scaled {
			t.Errorf("Scale(1ns, %v) = %v, want %v", c.number, got, c.scaled)
		}
		if got := Whole(c.number, 400); got != c.whole {
			t.Errorf("Whole(%v, 400) = %v, want %v", c.number, got, c.whole)
		}
	}
	if got := Whole(1e300, math.MaxInt64); got != math.MaxInt64 {
		t.Errorf("Whole(1e300, math.MaxInt64) = %v", got)
	}
	if got := HeapLimit(1e300); got != math.MaxInt64 {
		t.Errorf("heap limit %d with 1e300 MB of memory", got)
	}
	if lease := LeaseExpiredAfter(Seconds(MaxAmount)); lease <= MaxDuration {
		t.Errorf("a lease of %v seconds has expired after %v", MaxAmount, lease)
	}
}
