package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// isCorrelated tells whether so many of all machines at once must have a common cause.
func isCorrelated(n, all int) bool {
	return n > limits.CorrelatedUnreachableMin && float64(n) > limits.CorrelatedUnreachableShare*float64(all)
}

// removeFaultyMachines returns machines that do not serve: never up, silent, sick.
func (s *Scheduler) removeFaultyMachines() {
	silent, up, unheard, doubted := 0, 0, 0, 0
	limit := time.Duration(float64(s.workerLease) * limits.UnreachableLeaseShare)
	since := func(m *machine) time.Duration { // when it last showed that it hears us
		if !m.verified {
			return max(min(m.lastHeartbeatAt, m.unverifiedSince), s.termStartedAt)
		}
		return max(m.lastHeartbeatAt, s.termStartedAt)
	}
	quiet := func(m *machine) bool { return m.hasReported && s.now > since(m)+limit }
	for _, m := range s.inventory.all() {
		switch {
		case m.deleting:
		case m.hasReported:
			up++
			if s.now > since(m)+s.staleAfter() {
				silent++
			}
			if !m.verified {
				doubted++
			}
		case m.registration != unregistered:
			unheard++
		}
	}
	s.prober.updateUnverified(doubted, up)
	lost := isCorrelated(unheard, unheard+up)
	s.recovery.updateUnreported(unheard, up)
	// Many machines falling silent together is a cut, not a series of deaths: they may come back,
	// sooner than others would boot. Counted are those that have only just begun to be silent, as
	// otherwise the first of a crowd would go one by one.
	crowd := isCorrelated(silent, up)
	for _, m := range s.inventory.all() {
		if m.deleting {
			continue
		}
		if m.spotNotice {
			s.expediteResults(m)
		}
		switch {
		case m.isUnreported():
			// It had reported to an earlier leader, and neither reports to us nor answers.
			patience := max(limits.RecoveryTimeout, time.Duration(limits.RecoveryTimeoutIntervals*float64(s.heartbeatInterval)))
			if lost {
				patience = max(patience, limit) // so many at once may be a cut that ends soon
			}
			// While it may hold tasks nothing is placed anywhere. One of a few that does not answer
			// either costs less than the wait.
			if s.now > s.termStartedAt+patience || (s.recovery.hasFewUnreported() && m.missedProbes >= limits.UnreportedProbeMisses) {
				s.returnMachine(m, "not heard of since the take-over")
			}
		case !m.hasReported:
			patience := limits.MinBootTimeout
			if m.machineType != nil {
				patience = max(patience, time.Duration(limits.BootTimeoutFactor*float64(limits.Seconds(m.machineType.BootS))))
			}
			if s.now > max(m.createdAt, s.termStartedAt)+patience {
				s.returnMachine(m, "never came up")
			}
		case quiet(m) && (!crowd || s.now > since(m)+limits.CorrelatedUnreachableLeases*limits.LeaseExpiredAfter(s.workerLease)):
			s.returnMachine(m, "silent")
		case m.isFaulty():
			if !s.gangsStillSaving(m) {
				s.returnMachine(m, "fails its tasks")
			}
		case m.isSlow():
			if !s.gangsStillSaving(m) {
				s.returnMachine(m, "slow")
			}
		case m.spotNotice && len(m.assignments) == 0 && s.resultsDurable(m):
			s.returnMachine(m, "spot notice")
		default:
			if s.holdsCancelledTask(m, s.cancelDeleteAt) {
				s.returnMachine(m, "cancelled task does not stop")
			}
		}
	}
}

// expediteResults asks for the results that a machine lists to be written down next: it is to go.
func (s *Scheduler) expediteResults(m *machine) {
	for _, x := range m.endedTasks {
		if !x.isDurable() {
			x.job.chunks[x.chunk].expedite = true
		}
	}
}

// resultsDurable tells whether all results that a machine lists are written down.
func (s *Scheduler) resultsDurable(m *machine) bool {
	for _, x := range m.endedTasks {
		if !x.isDurable() {
			return false
		}
	}
	return true
}
