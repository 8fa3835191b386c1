package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// reachabilityTracker judges by the messages of workers, and by their absence, which machines hear us,
// which way, and whose lease is over.
type reachabilityTracker struct {
	*environment
	inventory   *machineInventory
	placement   *placer
	assignments *assignmentTable
}

// newReachabilityTracker returns a tracker of the machines of an inventory.
func newReachabilityTracker(
	env *environment, inventory *machineInventory, placement *placer, assignments *assignmentTable,
) *reachabilityTracker {
	return &reachabilityTracker{
		environment: env,
		inventory:   inventory,
		placement:   placement,
		assignments: assignments,
	}
}

// staleAfter is how long after its last heartbeat a machine still gets tasks.
func (e *environment) staleAfter() time.Duration {
	return time.Duration(float64(e.heartbeatInterval) * limits.FreshHeartbeatIntervals)
}

// isStale reports whether a machine's last heartbeat is too old for it to get tasks.
func (e *environment) isStale(m *machine) bool { return e.now > m.lastHeartbeatAt+e.staleAfter() }

// hasLiveIncarnation reports whether the worker's incarnation that we know may still run tasks.
func (m *machine) hasLiveIncarnation() bool { return m.incarnation > m.endedIncarnation }

// isOutdated reports whether a message is no newer than the one of the machine with that sequence
// number, or of an incarnation that is over.
func (m *machine) isOutdated(heartbeat *protocol.Heartbeat, newest uint64) bool {
	if heartbeat.Incarnation <= m.endedIncarnation {
		return true
	}
	if !m.hasReported {
		return false
	}
	return heartbeat.Incarnation < m.incarnation ||
		(heartbeat.Incarnation == m.incarnation && heartbeat.Sequence <= newest)
}

// setVerified notes whether answers are known to reach a machine. While they are not, it gets no new
// tasks: heartbeats may arrive from a machine that hears nothing.
func (r *reachabilityTracker) setVerified(m *machine, verified bool) {
	if verified && !m.verified {
		r.placement.requestPass()
	}
	if !verified && (m.verified || m.unverifiedSince == 0) {
		m.unverifiedSince = r.now
	}
	m.verified = verified
}

// acceptRoute notes which way a heartbeat came and reports whether it is answered. A worker that comes
// through another controller is first told to come itself; one that was here before and now comes that
// way, or that we did not reach either, cannot reach us. From time to time it is told to try again.
func (r *reachabilityTracker) acceptRoute(m *machine, relayed bool) bool {
	if !relayed {
		m.reportsDirectly, m.relayed, m.redirected = true, false, false
		return true
	}
	if !m.reportsDirectly && m.missedProbes == 0 && !m.redirected {
		m.redirected = true
		return false
	}
	if m.relayed && r.now > m.relayedSince+limits.RelayDuration {
		m.relayed = false
		return false
	}
	if !m.relayed {
		m.relayed, m.relayedSince = true, r.now
		r.logWarn("heartbeats relayed", keyMachine, m.name)
	}
	return true
}

// observeIncarnation notes the incarnation and the fencing token of a message that is not outdated.
func (r *reachabilityTracker) observeIncarnation(m *machine, heartbeat *protocol.Heartbeat) {
	if m.hasReported && heartbeat.Incarnation > m.incarnation {
		r.releaseEndedIncarnation(m)
	}
	if !m.hasReported || heartbeat.Incarnation > m.incarnation {
		m.sequence, m.heartbeatSequence = 0, 0
		r.placement.requestPass()
	}
	if !m.hasReported {
		m.firstReportAt, m.idleSince = r.now, r.now
	}
	m.hasReported, m.incarnation = true, heartbeat.Incarnation
	if heartbeat.FencingToken == r.cfg.Term && !m.fenced {
		m.fenced = true
		m.leaseRenewedAt = max(m.leaseRenewedAt, r.now)
		r.placement.requestPass()
	}
}

// releaseEndedIncarnation releases the tasks of a worker that has started anew: it has killed them.
func (r *reachabilityTracker) releaseEndedIncarnation(m *machine) {
	for _, a := range m.sortedAssignments() {
		if a.state != stateUnsent {
			r.logWarn("task lost, worker restarted",
				keyMachine, m.name, keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt)
		}
		r.assignments.release(a)
	}
	m.endedTasks = map[attemptKey]endedTask{}
	m.cachedImages = map[string]time.Duration{}
}

// expireLeases releases the tasks of workers whose lease is surely over: they have killed them.
func (r *reachabilityTracker) expireLeases() {
	for _, m := range r.inventory.all() {
		if !r.hasNewlyExpiredLease(m) {
			if r.isStale(m) {
				r.assignments.releaseUnsent(m)
			}
			continue
		}
		if len(m.assignments) > 0 {
			r.logWarn("worker lease expired", keyMachine, m.name, keyTasks, len(m.assignments))
		}
		r.assignments.releaseAll(m)
		m.endedTasks = map[attemptKey]endedTask{}
		m.endedIncarnation = max(m.incarnation, 1)
		if !m.hasReported {
			m.endedIncarnation = 0 // we do not know which incarnation it was; see recoveryState.tryEnd
		}
	}
}

// hasNewlyExpiredLease reports whether a worker's lease is surely over and that was not noted yet. The
// worker sent the last heartbeat that we answered before it arrived here, so LeaseExpiredAfter its
// arrival the lease is over by the worker's clock and by ours.
func (r *reachabilityTracker) hasNewlyExpiredLease(m *machine) bool {
	noted := m.endedIncarnation >= max(m.incarnation, 1)
	return !noted && r.now >= m.leaseRenewedAt+limits.LeaseExpiredAfter(r.workerLease)
}
