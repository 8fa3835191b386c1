package election

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspicion checks that a suspicion lasts while the heartbeat record keeps its version, even if
// the watch of the leader key starts again. It must end with a new heartbeat record, a vote request
// or another leader.
func TestSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s suspicion
		s.trackLeader(5)
		if s.isActive() || s.matchesHeartbeat(0) {
			t.Error("a leader is suspected as soon as it is followed")
		}
		s.begin(7)
		s.withdrawalRecorded = true
		time.Sleep(time.Second)
		s.trackLeader(5)
		if !s.isActive() || s.isOlderThan(time.Second) || !s.isOlderThan(time.Second-1) {
			t.Error("the suspicion did not keep its start time when the watch started again")
		}
		if !s.matchesHeartbeat(7) || s.matchesHeartbeat(8) {
			t.Error("matchesHeartbeat is false for the same version, or true for a new one")
		}
		s.begin(8)
		if s.isOlderThan(0) || s.withdrawalRecorded || !s.matchesHeartbeat(8) {
			t.Error("the suspicion did not start again with a new heartbeat record")
		}
		s.clear()
		if s.isActive() || s.matchesHeartbeat(8) {
			t.Error("the leader is still suspected after a vote request")
		}
		s.begin(8)
		s.trackLeader(6)
		if s.isActive() || !s.followedAt.Equal(time.Now()) {
			t.Error("the suspicion was not reset for another leader")
		}
	})
}
