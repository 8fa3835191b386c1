package storage

import (
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
)

// TestUnavailableFailsFast: users' calls fail at once while the state service is known to be unreachable, but
// one is allowed often enough that nobody waits long for an answer once it is back.
func TestUnavailableFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controllers := New("127.0.0.1:1", config.StateLimits{RPS: 100, WriteRPS: 10, TxnOps: 8})
		users := controllers.ForUserRequests()
		recordFailure := func() { // as a failed call records it
			users.health.lastCallAt.Store(time.Now().UnixNano())
			users.health.failingSince.CompareAndSwap(0, time.Now().UnixNano())
		}
		recordFailure()
		if users.Unavailable() {
			t.Error("unavailable after one failure")
		}
		time.Sleep(2 * limits.UnavailableAfter)
		recordFailure()
		if !users.Unavailable() || users.waitForRateLimit(t.Context(), 0) == nil {
			t.Error("still available after a while of failures")
		}
		if controllers.waitForRateLimit(t.Context(), 0) != nil {
			t.Error("the controllers' own calls fail too")
		}
		allowed := 0
		for range 75 { // the longest a user may be without an answer, in seconds
			time.Sleep(time.Second)
			if users.waitForRateLimit(t.Context(), 0) == nil {
				allowed++
				recordFailure()
			}
		}
		if allowed < 37 {
			t.Errorf("%d of 75 calls allowed", allowed)
		}
		users.health.failingSince.Store(0)
		if users.Unavailable() {
			t.Error("unavailable after a success")
		}
	})
}
