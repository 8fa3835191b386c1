package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// setVerified notes whether answers are known to reach a machine. While they are not, it gets no
// new tasks: reports may arrive from a machine that hears nothing.
func (s *Scheduler) setVerified(m *machine, verified bool) {
	if verified && !m.verified {
		s.placement.requestPass()
	}
	if !verified && (m.verified || m.unverifiedSince == 0) {
		m.unverifiedSince = s.now
	}
	m.verified = verified
}

// acceptsRelayed tells whether a report is answered the way it came. A worker that comes through
// another controller is first told to come itself; one that was here before and now comes that way,
// or that we did not reach either, cannot reach us. From time to time it is told to try again.
func (s *Scheduler) acceptsRelayed(m *machine, relayed bool) bool {
	if !relayed {
		m.reportsDirectly, m.relayed, m.redirected = true, false, false
		return true
	}
	if !m.reportsDirectly && m.missedProbes == 0 && !m.redirected {
		m.redirected = true
		return false
	}
	if m.relayed && s.now > m.relayedSince+limits.RelayRetryAfter {
		m.relayed = false
		return false
	}
	if !m.relayed {
		m.relayed, m.relayedSince = true, s.now
		s.logWarn("reports relayed", "machine", m.name)
	}
	return true
}

// observeIncarnation takes the session of a message that is not old. The tasks of earlier sessions
// were killed.
func (s *Scheduler) observeIncarnation(m *machine, heartbeat *protocol.Heartbeat) {
	if m.hasReported && heartbeat.Incarnation > m.incarnation {
		for _, a := range m.sortedAssignments() {
			if a.state != stateUnsent {
				s.logWarn("session lost", "machine", m.name, "job", a.job.id, "task", a.index, "attempt", a.attempt)
			}
			s.release(a)
		}
		m.endedTasks = map[attemptKey]endedTask{}
		m.cachedImages = map[string]time.Duration{}
	}
	if !m.hasReported || heartbeat.Incarnation > m.incarnation {
		m.sequence, m.heartbeatSequence = 0, 0
		s.placement.requestPass()
	}
	if !m.hasReported {
		m.firstReportAt, m.idleSince = s.now, s.now
	}
	m.hasReported, m.incarnation = true, heartbeat.Incarnation
	if heartbeat.FencingToken == s.cfg.Term && !m.fenced {
		m.fenced = true
		s.placement.requestPass()
		m.leaseRenewedAt = max(m.leaseRenewedAt, s.now)
	}
}

// isOutdated tells whether a message is no newer than one of the machine with that tally, or of a
// session that is over.
func (m *machine) isOutdated(heartbeat *protocol.Heartbeat, newest uint64) bool {
	return m.hasReported && (heartbeat.Incarnation < m.incarnation || (heartbeat.Incarnation == m.incarnation && heartbeat.Sequence <= newest)) || heartbeat.Incarnation <= m.endedIncarnation
}

// hasLiveIncarnation reports whether the worker's incarnation that we know may still run tasks.
func (m *machine) hasLiveIncarnation() bool { return m.incarnation > m.endedIncarnation }

// expireLeases frees the tasks of sessions that are surely over.
func (s *Scheduler) expireLeases() {
	for _, m := range s.inventory.all() {
		if m.endedIncarnation >= max(m.incarnation, 1) || s.now < m.leaseRenewedAt+limits.LeaseExpiredAfter(s.workerLease) {
			if s.isStale(m) {
				s.releaseUnsent(m)
			}
			continue
		}
		// The worker sent the last report that we answered before it arrived here, so by its own clock
		// and ours its lease is over and it has killed its tasks.
		if len(m.assignments) > 0 {
			s.logWarn("session lapsed", "machine", m.name, "tasks", len(m.assignments))
		}
		for _, a := range m.sortedAssignments() {
			s.release(a)
		}
		m.endedTasks = map[attemptKey]endedTask{}
		m.endedIncarnation = max(m.incarnation, 1)
		if !m.hasReported {
			m.endedIncarnation = 0 // we do not know which session it was in; see endRecovery
		}
	}
}

// staleAfter is how long after its last heartbeat a machine still gets tasks.
func (e *environment) staleAfter() time.Duration {
	return time.Duration(float64(e.heartbeatInterval) * limits.FreshHeartbeatIntervals)
}

// isStale reports whether a machine's last heartbeat is too old for it to get tasks.
func (e *environment) isStale(m *machine) bool { return e.now > m.lastHeartbeatAt+e.staleAfter() }
