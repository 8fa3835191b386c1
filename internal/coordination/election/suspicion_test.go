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
		s.trackLeader(5)
		if s.suspected() || s.matchesHeartbeat(0) {
			t.Error("a leader is suspected from the start")
		}
		s.begin(7)
		s.withdrawalRecorded = true
		time.Sleep(time.Second)
		s.trackLeader(5)
		if !s.suspected() || s.olderThan(time.Second) || !s.olderThan(time.Second-1) {
			t.Error("the suspicion does not last since its beginning")
		}
		if !s.matchesHeartbeat(7) || s.matchesHeartbeat(8) {
			t.Error("the suspicion is not confirmed by the same heartbeat, or by a new one")
		}
		s.begin(8)
		if s.olderThan(0) || s.withdrawalRecorded || !s.matchesHeartbeat(8) {
			t.Error("a new heartbeat does not start the suspicion again")
		}
		s.clear()
		if s.suspected() || s.matchesHeartbeat(8) {
			t.Error("still suspected after a request for a vote")
		}
		s.begin(8)
		s.trackLeader(6)
		if s.suspected() || !s.followedAt.Equal(time.Now()) {
			t.Error("another leader is suspected")
		}
	})
}
