package scheduler

import (
	"quillshunt/internal/limits"
)

// tryEndRecovery ends the time after a take-over in which tasks may run that we have not heard of:
// each machine that may hold some has reported to us or is gone, or its lease from before is over.
// A machine that we have greeted has had its lease renewed by that: it has the whole of it again,
// although it has shown us no tasks yet. A leader that is too busy to take its next reports must
// not forget that.
func (s *Scheduler) tryEndRecovery() {
	for _, m := range s.inventory.sorted {
		if !m.fenced && m.registration != unregistered && s.now < max(s.termStartedAt, m.leaseRenewedAt)+limits.LeaseSurelyOver(s.workerLease) {
			return
		}
	}
	s.recovery.ended, s.placement.needed = true, true
	for _, j := range s.jobs.bySubmission {
		s.markGangChanged(j.gang)
	}
	s.log(false, "rebuilt", "after", s.now-s.termStartedAt, "machines", len(s.inventory.sorted), "jobs", len(s.jobs.byID))
}
