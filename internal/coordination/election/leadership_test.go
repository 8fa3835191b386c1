package election

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestMargins: our entitlement ends before the lease can expire, and we wait for others' leases for
// longer than they can last, whatever the clocks do.
func TestMargins(t *testing.T) {
	for _, d := range []time.Duration{limits.LeaderLeaseMin, 14 * time.Second, limits.LeaderLeaseMax} {
		drift := time.Duration(float64(d) * limits.ClockDriftRatio)
		if limits.LeaseValidFor(d) >= d-2*drift || limits.LeaseExpiredAfter(d) <= d+2*drift {
			t.Errorf("%v: entitled for %v, waited for %v", d, limits.LeaseValidFor(d), limits.LeaseExpiredAfter(d))
		}
	}
}
