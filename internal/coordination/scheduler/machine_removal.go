package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// reachabilityCounts counts the machines that are not being deleted, by their reachability.
type reachabilityCounts struct {
	reported    int // have reported in this term
	unreachable int // of reported: silent or unverified for longer than staleThreshold
	unverified  int // of reported: not known to receive replies
	unreported  int // sent heartbeats to an earlier leader only
}

// countReachability counts the machines in the inventory.
func (s *Scheduler) countReachability() reachabilityCounts {
	var counts reachabilityCounts
	for _, m := range s.inventory.all() {
		switch {
		case m.deleting:
		case m.hasReported:
			counts.reported++
			if s.now > s.lastReachableAt(m)+s.staleThreshold() {
				counts.unreachable++
			}
			if !m.verified {
				counts.unverified++
			}
		case m.isUnreported():
			counts.unreported++
		}
	}
	return counts
}

// hasCorrelatedUnreachable reports whether so many machines are unreachable that a network fault is the
// likely cause. Such machines may be reachable again sooner than replacements would boot. The count includes
// machines that have been unreachable for less than unreachableTimeout: otherwise the first machines to
// exceed it would be returned one by one before the common cause shows.
func (c reachabilityCounts) hasCorrelatedUnreachable() bool {
	return isCorrelated(c.unreachable, c.reported)
}

// hasCorrelatedUnreported reports whether so many machines have not reported in this term that a network
// fault may be the cause.
func (c reachabilityCounts) hasCorrelatedUnreported() bool {
	return isCorrelated(c.unreported, c.unreported+c.reported)
}

// isCorrelated reports whether so many of all machines are affected that a common cause is likely.
func isCorrelated(affected, all int) bool {
	return affected > limits.CorrelatedUnreachableMin &&
		float64(affected) > limits.CorrelatedUnreachableShare*float64(all)
}

// returnUnusableMachines returns machines that cannot run tasks any more, or not reliably. It also
// updates the counts of unverified and unreported machines that the prober and recovery use.
func (s *Scheduler) returnUnusableMachines() {
	counts := s.countReachability()
	s.prober.updateUnverified(counts.unverified, counts.reported)
	s.recovery.updateUnreported(counts.unreported, counts.reported)
	for _, m := range s.inventory.all() {
		if m.deleting {
			continue
		}
		if m.spotNotice {
			s.finishedTasks.expediteResults(m)
		}
		if reason := s.returnReason(m, counts); reason != "" {
			s.returnMachine(m, reason)
		}
	}
}

// returnReason returns the reason for which a machine is to be returned to the cloud, or "" if there is none.
func (s *Scheduler) returnReason(m *machine, counts reachabilityCounts) string {
	switch {
	case m.isUnreported():
		if s.isUnreportedTooLong(m, counts) {
			return "no heartbeat since the failover"
		}
	case !m.hasReported:
		if s.hasBootTimedOut(m) {
			return "never came up"
		}
	case s.isUnreachableTooLong(m, counts):
		return "unreachable"
	case m.isFaulty():
		if !s.stopGangsAndCheckSaving(m) {
			return "fails its tasks"
		}
	case m.isSlow():
		if !s.stopGangsAndCheckSaving(m) {
			return "slow"
		}
	case m.spotNotice && len(m.assignments) == 0 && m.hasOnlyDurableResults():
		return "spot notice"
	case s.findCancelledJob(m, s.cancelDeletionAt) != nil:
		return "cancelled task does not stop"
	}
	return ""
}

// isUnreportedTooLong reports whether to return a machine that sent heartbeats to an earlier leader but none
// in this term: after a timeout, or after UnreportedProbeMisses unanswered probes if few are unreported.
func (s *Scheduler) isUnreportedTooLong(m *machine, counts reachabilityCounts) bool {
	// No task is placed on any machine while this one may hold tasks of earlier terms. If only a few
	// machines do not answer, losing them costs less than waiting for them.
	if s.recovery.hasFewUnreported() && m.missedProbes >= limits.UnreportedProbeMisses {
		return true
	}
	timeout := limits.Scale(s.heartbeatInterval, limits.RecoveryTimeoutIntervals)
	timeout = max(timeout, limits.RecoveryTimeout)
	if counts.hasCorrelatedUnreported() {
		timeout = max(timeout, s.unreachableTimeout())
	}
	return s.now > s.termStartedAt+timeout
}

// hasBootTimedOut reports whether a machine that has never sent a heartbeat has taken too long to boot.
func (s *Scheduler) hasBootTimedOut(m *machine) bool {
	timeout := limits.MinBootTimeout
	if m.machineType != nil {
		bootTime := limits.Seconds(m.machineType.BootS)
		timeout = max(timeout, limits.Scale(bootTime, limits.BootTimeoutFactor))
	}
	return s.now > max(m.createdAt, s.termStartedAt)+timeout
}

// isUnreachableTooLong reports whether a machine that has reported in this term has been unreachable for so
// long that it is to be returned. If many machines are unreachable at once, they are kept for longer.
func (s *Scheduler) isUnreachableTooLong(m *machine, counts reachabilityCounts) bool {
	unreachableFor := s.now - s.lastReachableAt(m)
	if unreachableFor <= s.unreachableTimeout() {
		return false
	}
	correlatedTimeout := limits.CorrelatedUnreachableLeases * limits.LeaseExpiredAfter(s.workerLease)
	return !counts.hasCorrelatedUnreachable() || unreachableFor > correlatedTimeout
}

// unreachableTimeout returns how long a machine may be unreachable before it is returned, unless many
// machines are unreachable at once.
func (s *Scheduler) unreachableTimeout() time.Duration {
	return limits.Scale(s.workerLease, limits.UnreachableLeaseShare)
}

// lastReachableAt returns when a machine that has reported was last known to be reachable: at its last
// heartbeat, or when it became unverified if that was earlier. It is never before the start of the term.
func (s *Scheduler) lastReachableAt(m *machine) time.Duration {
	at := m.lastHeartbeatAt
	if !m.verified {
		at = min(at, m.unverifiedSince)
	}
	return max(at, s.termStartedAt)
}

// hasOnlyDurableResults reports whether the results of all ended tasks that the machine lists are stored durably.
func (m *machine) hasOnlyDurableResults() bool {
	for _, ended := range m.endedTasks {
		if !ended.isDurable() {
			return false
		}
	}
	return true
}
