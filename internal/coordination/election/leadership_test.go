package election

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestLeaseMargins checks that the holder of a lease stops using it before it can expire, and that
// others wait until it has certainly expired, even with the largest drift between two clocks.
func TestLeaseMargins(t *testing.T) {
	for _, d := range []time.Duration{limits.LeaderLeaseMin, 14 * time.Second, limits.LeaderLeaseMax} {
		drift := time.Duration(float64(d) * limits.ClockDriftRatio)
		if limits.LeaseValidFor(d) >= d-2*drift || limits.LeaseExpiredAfter(d) <= d+2*drift {
			t.Errorf("lease of %v: valid for %v, expired after %v; the margin is below the clock drift",
				d, limits.LeaseValidFor(d), limits.LeaseExpiredAfter(d))
		}
	}
}
