package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// fleetSurvey counts machines, without those that are being deleted.
type fleetSurvey struct {
	reported    int // sent heartbeats in our term
	unreachable int // of these: have begun to be unreachable
	unverified  int // of these: may not hear us
	unreported  int // sent heartbeats to an earlier leader only
}

// surveyFleet counts the machines.
func (s *Scheduler) surveyFleet() fleetSurvey {
	var survey fleetSurvey
	for _, m := range s.inventory.all() {
		switch {
		case m.deleting:
		case m.hasReported:
			survey.reported++
			if s.now > s.lastReachableAt(m)+s.staleAfter() {
				survey.unreachable++
			}
			if !m.verified {
				survey.unverified++
			}
		case m.isUnreported():
			survey.unreported++
		}
	}
	return survey
}

// hasCorrelatedUnreachable reports whether so many machines are unreachable that the network is to
// blame. They may come back sooner than others would boot. Machines count that have only just begun to
// be unreachable, as otherwise the first of them would be returned one by one.
func (f fleetSurvey) hasCorrelatedUnreachable() bool { return isCorrelated(f.unreachable, f.reported) }

// hasCorrelatedUnreported reports whether so many machines have not reported to us that the network
// may be to blame.
func (f fleetSurvey) hasCorrelatedUnreported() bool {
	return isCorrelated(f.unreported, f.unreported+f.reported)
}

// isCorrelated reports whether so many of all machines are affected that they must have a common
// cause.
func isCorrelated(affected, all int) bool {
	return affected > limits.CorrelatedUnreachableMin &&
		float64(affected) > limits.CorrelatedUnreachableShare*float64(all)
}

// removeFaultyMachines returns machines that do not serve.
func (s *Scheduler) removeFaultyMachines() {
	survey := s.surveyFleet()
	s.prober.updateUnverified(survey.unverified, survey.reported)
	s.recovery.updateUnreported(survey.unreported, survey.reported)
	for _, m := range s.inventory.all() {
		if m.deleting {
			continue
		}
		if m.spotNotice {
			s.finished.expediteResults(m)
		}
		if reason := s.removalReason(m, survey); reason != "" {
			s.returnMachine(m, reason)
		}
	}
}

// removalReason returns why a machine is to be returned, or "" if it is not.
func (s *Scheduler) removalReason(m *machine, survey fleetSurvey) string {
	switch {
	case m.isUnreported():
		if s.unreportedTooLong(m, survey) {
			return "no heartbeat since the failover"
		}
	case !m.hasReported:
		if s.bootTimedOut(m) {
			return "never came up"
		}
	case s.unreachableTooLong(m, survey):
		return "unreachable"
	case m.isFaulty():
		if !s.stopGangsAndCheckSaving(m) {
			return "fails its tasks"
		}
	case m.isSlow():
		if !s.stopGangsAndCheckSaving(m) {
			return "slow"
		}
	case m.spotNotice && len(m.assignments) == 0 && m.resultsDurable():
		return "spot notice"
	case s.holdsCancelledTask(m, s.cancelDeletionTime):
		return "cancelled task does not stop"
	}
	return ""
}

// unreportedTooLong reports whether a machine that sent heartbeats to an earlier leader is given up: it
// neither sends us any nor answers probes.
func (s *Scheduler) unreportedTooLong(m *machine, survey fleetSurvey) bool {
	// While it may hold tasks nothing is placed anywhere. If only a few machines don't answer, losing
	// them costs less than the wait.
	if s.recovery.hasFewUnreported() && m.missedProbes >= limits.UnreportedProbeMisses {
		return true
	}
	timeout := time.Duration(limits.RecoveryTimeoutIntervals * float64(s.heartbeatInterval))
	timeout = max(timeout, limits.RecoveryTimeout)
	if survey.hasCorrelatedUnreported() {
		timeout = max(timeout, s.unreachableTimeout())
	}
	return s.now > s.termStartedAt+timeout
}

// bootTimedOut reports whether a machine that has not come up is given up.
func (s *Scheduler) bootTimedOut(m *machine) bool {
	timeout := limits.MinBootTimeout
	if m.machineType != nil {
		bootTime := limits.Seconds(m.machineType.BootS)
		timeout = max(timeout, time.Duration(limits.BootTimeoutFactor*float64(bootTime)))
	}
	return s.now > max(m.createdAt, s.termStartedAt)+timeout
}

// unreachableTooLong reports whether a machine is given up that has reported in our term. Where many
// are unreachable at once, they are kept for longer.
func (s *Scheduler) unreachableTooLong(m *machine, survey fleetSurvey) bool {
	unreachableFor := s.now - s.lastReachableAt(m)
	if unreachableFor <= s.unreachableTimeout() {
		return false
	}
	grace := limits.CorrelatedUnreachableLeases * limits.LeaseExpiredAfter(s.workerLease)
	return !survey.hasCorrelatedUnreachable() || unreachableFor > grace
}

// unreachableTimeout is how long a machine may be unreachable before it is given up, if not many are.
func (s *Scheduler) unreachableTimeout() time.Duration {
	return time.Duration(float64(s.workerLease) * limits.UnreachableLeaseShare)
}

// lastReachableAt is when a machine that has reported last showed that it hears us.
func (s *Scheduler) lastReachableAt(m *machine) time.Duration {
	at := m.lastHeartbeatAt
	if !m.verified {
		at = min(at, m.unverifiedSince)
	}
	return max(at, s.termStartedAt)
}

// resultsDurable reports whether all results that the machine lists are written down.
func (m *machine) resultsDurable() bool {
	for _, ended := range m.endedTasks {
		if !ended.isDurable() {
			return false
		}
	}
	return true
}
