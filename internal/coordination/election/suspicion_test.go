package election

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspicion: a suspicion lasts while the heartbeat record stays the same, also when the watch of
// the same leader starts anew. A new heartbeat, a request for a vote or another leader ends it.
func TestSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s suspicion
		s.follow(5)
		if s.suspected() || s.confirmedBy(0) {
			t.Error("a leader is suspected from the start")
		}
		s.begin(7)
		s.withdrawn = true
		time.Sleep(time.Second)
		s.follow(5)
		if !s.suspected() || s.lastedFor(time.Second) || !s.lastedFor(time.Second-1) {
			t.Error("the suspicion does not last since its beginning")
		}
		if !s.confirmedBy(7) || s.confirmedBy(8) {
			t.Error("the suspicion is not confirmed by the same heartbeat, or by a new one")
		}
		s.begin(8)
		if s.lastedFor(0) || s.withdrawn || !s.confirmedBy(8) {
			t.Error("a new heartbeat does not start the suspicion again")
		}
		s.clear()
		if s.suspected() || s.confirmedBy(8) {
			t.Error("still suspected after a request for a vote")
		}
		s.begin(8)
		s.follow(6)
		if s.suspected() || !s.followedAt.Equal(time.Now()) {
			t.Error("another leader is suspected")
		}
	})
}
