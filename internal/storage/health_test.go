package storage

import (
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
)

// TestUnavailableFailsFast checks that calls for users fail at once in an outage of the state service,
// while calls for the controllers' own work are still made. At intervals, one call for a user is
// allowed as well, so that the end of the outage is noticed soon.
func TestUnavailableFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controllers := New("127.0.0.1:1", config.StateLimits{RPS: 100, WriteRPS: 10, TxnOps: 8})
		users := controllers.ForUserRequests()
		recordFailure := func() { // changes the recorded health as a failed call does
			users.health.lastCallAt.Store(time.Now().UnixNano())
			users.health.failingSince.CompareAndSwap(0, time.Now().UnixNano())
		}
		recordFailure()
		if users.IsUnavailable() {
			t.Error("IsUnavailable() is true after a single failure")
		}
		time.Sleep(2 * limits.UnavailableAfter)
		recordFailure()
		if !users.IsUnavailable() || users.waitForRateLimit(t.Context(), 0) == nil {
			t.Error("calls for users are still allowed after calls have failed for longer than UnavailableAfter")
		}
		if controllers.waitForRateLimit(t.Context(), 0) != nil {
			t.Error("calls for the controllers' own work fail at once too")
		}
		allowed := 0
		for range 75 { // the longest time that a user may be without a response, in seconds
			time.Sleep(time.Second)
			if users.waitForRateLimit(t.Context(), 0) == nil {
				allowed++
				recordFailure()
			}
		}
		if allowed < 37 {
			t.Errorf("%d of 75 calls for users were allowed during the outage, want at least 37", allowed)
		}
		users.health.failingSince.Store(0)
		if users.IsUnavailable() {
			t.Error("IsUnavailable() is still true after a success")
		}
	})
}
