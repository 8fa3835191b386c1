package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// reachabilityTracker determines, from messages of workers and their absence, which workers receive the
// leader's replies, whether their heartbeats arrive directly or relayed, and which leases have expired.
type reachabilityTracker struct {
	*environment
	inventory   *machineInventory
	placement   *placer
	assignments *assignmentTable
}

// newReachabilityTracker returns a tracker for the machines in the inventory.
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

// staleThreshold returns the age of a machine's last heartbeat above which the machine gets no new tasks.
func (e *environment) staleThreshold() time.Duration {
	return limits.Scale(e.heartbeatInterval, limits.FreshHeartbeatIntervals)
}

// isStale reports whether a machine's last heartbeat is too old for the machine to get new tasks.
func (e *environment) isStale(m *machine) bool { return e.now > m.lastHeartbeatAt+e.staleThreshold() }

// hasLiveIncarnation reports whether the worker's last known incarnation may still run tasks.
func (m *machine) hasLiveIncarnation() bool { return m.incarnation > m.endedIncarnation }

// isOutdated reports whether a message comes from an incarnation that has ended or was replaced, or has a
// sequence number that is not above newest, the highest one that was processed.
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

// setVerified records whether replies are known to reach a machine. An unverified machine gets no new
// tasks, because arriving heartbeats alone do not show that it receives the replies.
func (r *reachabilityTracker) setVerified(m *machine, verified bool) {
	if verified && !m.verified {
		r.placement.requestPass()
	}
	if !verified && (m.verified || m.unverifiedSince == 0) {
		m.unverifiedSince = r.now
	}
	m.verified = verified
}

// acceptRoute records whether a heartbeat was relayed by another controller, and reports whether to
// accept it; otherwise the caller redirects the worker to this controller. The first relayed heartbeat of
// a worker is redirected, unless the worker has reported directly in this term or has missed a probe: then
// it probably cannot reach this controller. Later ones are accepted, except for one redirect each time
// that RelayDuration has passed.
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
		r.logWarn("worker heartbeats relayed by another controller", keyMachine, m.name)
	}
	return true
}

// observeIncarnation updates the machine from the incarnation and the fencing token of a message that is
// not outdated.
func (r *reachabilityTracker) observeIncarnation(m *machine, heartbeat *protocol.Heartbeat) {
	if m.hasReported && heartbeat.Incarnation > m.incarnation {
		r.releaseEndedIncarnation(m)
	}
	if !m.hasReported || heartbeat.Incarnation > m.incarnation {
		m.taskListSequence, m.heartbeatSequence = 0, 0
		r.placement.requestPass()
	}
	if !m.hasReported {
		m.firstReportAt, m.idleSince = r.now, r.now
	}
	m.hasReported, m.incarnation = true, heartbeat.Incarnation
	if heartbeat.FencingToken >= r.cfg.Term && !m.fenced {
		m.fenced = true
		m.leaseRenewedAt = max(m.leaseRenewedAt, r.now)
		r.placement.requestPass()
	}
}

// releaseEndedIncarnation releases the tasks of a worker that has started a new incarnation. The worker
// has killed the tasks of the previous one.
func (r *reachabilityTracker) releaseEndedIncarnation(m *machine) {
	for _, a := range m.sortedAssignments() {
		if a.state != stateUnsent {
			r.logWarn("task lost", keyReason, "worker started a new incarnation",
				keyMachine, m.name, keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt)
		}
		r.assignments.release(a)
	}
	m.endedTasks = map[attemptKey]endedTask{}
	m.cachedImages = map[string]time.Duration{}
}

// expireLeases releases the tasks of workers whose lease has expired, as such workers have killed their
// tasks. It also releases unsent tasks of stale machines.
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
			// The worker has reported no incarnation in this term, so none is marked as ended.
			// recoveryState.tryEnd checks the lease of such a machine itself.
			m.endedIncarnation = 0
		}
	}
}

// hasNewlyExpiredLease reports whether a worker's lease has expired and the expiry was not processed yet.
// The lease runs from when the worker sent the last answered heartbeat, which is before its arrival here.
// Once LeaseExpiredAfter has passed since that arrival, the lease has expired by both the worker's clock and
// the leader's.
func (r *reachabilityTracker) hasNewlyExpiredLease(m *machine) bool {
	alreadyProcessed := m.endedIncarnation >= max(m.incarnation, 1)
	return !alreadyProcessed && r.now >= m.leaseRenewedAt+limits.LeaseExpiredAfter(r.workerLease)
}
