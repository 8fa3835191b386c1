package storage

import (
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
)

// TestDown: users are sent away without a call while the state service is known to be out of reach,
// but a call is let through often enough that nobody is left without an answer for long once it is
// back.
func TestDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := New("127.0.0.1:1", config.State{RPS: 100, WriteRPS: 10, TxnOps: 8})
		s := own.ForUsers()
		failed := func() { // as call notes it
			s.health.lastCallAt.Store(time.Now().UnixNano())
			s.health.failingSince.CompareAndSwap(0, time.Now().UnixNano())
		}
		failed()
		if s.Unavailable() {
			t.Error("down after one failure")
		}
		time.Sleep(2 * limits.UnavailableAfter)
		failed()
		if !s.Unavailable() || s.waitForRate(t.Context(), 0) == nil {
			t.Error("not down after a while of failures")
		}
		if own.waitForRate(t.Context(), 0) != nil {
			t.Error("the controllers' own calls are held back")
		}
		let := 0
		for range 75 { // the users' bound on being without an answer, in seconds
			time.Sleep(time.Second)
			if s.waitForRate(t.Context(), 0) == nil {
				let++
				failed()
			}
		}
		if let < 37 {
			t.Errorf("%d of 75 tries let through", let)
		}
		s.health.failingSince.Store(0)
		if s.Unavailable() {
			t.Error("down after a success")
		}
	})
}
