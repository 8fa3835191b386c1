package election

import "time"

// suspicion is a follower's evidence that the leader is unreachable. It begins with a heartbeat
// record, and lasts while the record has the same version and the leader asks for no votes.
type suspicion struct {
	leaderVersion      uint64    // key version of the leader that is followed
	followedAt         time.Time // since when
	heartbeatVersion   uint64    // key version of the heartbeat record when the suspicion began
	beganAt            time.Time // zero: the leader is not suspected
	withdrawalRecorded bool      // the withdrawal of our vote under the heartbeat is on record
}

// trackLeader starts anew with another leader. For the same leader the suspicion goes on: then only the
// watch of the leader key has ended by itself.
func (s *suspicion) trackLeader(leaderVersion uint64) {
	if s.leaderVersion != leaderVersion {
		*s = suspicion{leaderVersion: leaderVersion, followedAt: time.Now()}
	}
}

// clear ends the suspicion, as the leader has asked for a vote.
func (s *suspicion) clear() { s.beganAt = time.Time{} }

// begin starts the suspicion, or starts it again because the leader has written a new heartbeat.
func (s *suspicion) begin(heartbeatVersion uint64) {
	s.heartbeatVersion, s.beganAt, s.withdrawalRecorded = heartbeatVersion, time.Now(), false
}

// suspected reports whether the suspicion has begun.
func (s *suspicion) suspected() bool { return !s.beganAt.IsZero() }

// olderThan reports whether the suspicion began longer ago than that.
func (s *suspicion) olderThan(d time.Duration) bool { return time.Since(s.beganAt) > d }

// matchesHeartbeat reports whether the heartbeat record still has the version that it had when the
// suspicion began.
func (s *suspicion) matchesHeartbeat(heartbeatVersion uint64) bool {
	return s.suspected() && heartbeatVersion == s.heartbeatVersion
}
