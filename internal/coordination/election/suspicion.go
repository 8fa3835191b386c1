package election

import "time"

// suspicion records since when a follower has had reason to regard the leader as unreachable. It
// begins at one version of the heartbeat record, and lasts while the record keeps this version and
// the leader requests no votes.
type suspicion struct {
	leaderVersion      uint64    // version of the leader key being followed
	followedAt         time.Time // when the follower first observed this version
	heartbeatVersion   uint64    // version of the heartbeat record when the suspicion began
	beganAt            time.Time // zero if the leader is not suspected
	withdrawalRecorded bool      // the state service has the withdrawal of the vote for heartbeatVersion
}

// trackLeader resets the suspicion if the version of the leader key is new. If it is the same, only
// the watch of the leader key has ended and starts again, and the suspicion is kept.
func (s *suspicion) trackLeader(leaderVersion uint64) {
	if s.leaderVersion != leaderVersion {
		*s = suspicion{leaderVersion: leaderVersion, followedAt: time.Now()}
	}
}

// clear ends the suspicion because the leader has requested a vote.
func (s *suspicion) clear() { s.beganAt = time.Time{} }

// begin starts the suspicion at a version of the heartbeat record. It is called again if the leader
// has written a new record.
func (s *suspicion) begin(heartbeatVersion uint64) {
	s.heartbeatVersion, s.beganAt, s.withdrawalRecorded = heartbeatVersion, time.Now(), false
}

// isActive reports whether the leader is suspected.
func (s *suspicion) isActive() bool { return !s.beganAt.IsZero() }

// isOlderThan reports whether the suspicion began more than d ago.
func (s *suspicion) isOlderThan(d time.Duration) bool { return time.Since(s.beganAt) > d }

// matchesHeartbeat reports whether the leader is suspected and the heartbeat record still has the
// version at which the suspicion began.
func (s *suspicion) matchesHeartbeat(heartbeatVersion uint64) bool {
	return s.isActive() && heartbeatVersion == s.heartbeatVersion
}
