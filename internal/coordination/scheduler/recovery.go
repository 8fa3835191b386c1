package scheduler

import (
	"quillshunt/internal/limits"
)

// recoveryState tells how far a new term knows what runs where.
type recoveryState struct {
	*environment
	loaded        bool // all that earlier terms wrote down is known
	ended         bool // and all that may run; see tryEndRecovery
	fewUnreported bool // of the machines that may hold tasks of earlier terms only a few have not reported
}

// newRecoveryState returns the state of a term that knows nothing yet.
func newRecoveryState(env *environment) *recoveryState {
	return &recoveryState{environment: env}
}

// tryEndRecovery ends the time after a take-over in which tasks may run that we have not heard of:
// each machine that may hold some has reported to us or is gone, or its lease from before is over.
// A machine that we have greeted has had its lease renewed by that: it has the whole of it again,
// although it has shown us no tasks yet. A leader that is too busy to take its next reports must
// not forget that.
func (s *Scheduler) tryEndRecovery() {
	for _, m := range s.inventory.all() {
		if m.mayHoldEarlierTasks() && s.now < max(s.termStartedAt, m.leaseRenewedAt)+limits.LeaseExpiredAfter(s.workerLease) {
			return
		}
	}
	s.recovery.ended = true
	s.placement.requestPass()
	for _, j := range s.jobs.oldestFirst() {
		s.markGangChanged(j.gang)
	}
	s.logInfo("rebuilt", "after", s.now-s.termStartedAt, "machines", len(s.inventory.all()), "jobs", s.jobs.count())
}
