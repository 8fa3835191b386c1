package scheduler

import "quillshunt/internal/limits"

// recoveryState is how far a new term knows what runs where. Nothing is placed before recovery has
// ended, as a task might be running already.
type recoveryState struct {
	*environment
	inventory         *machineInventory
	recordsLoaded     bool // all that earlier terms wrote down is known
	ended             bool // and all that may run
	onlyFewUnreported bool // of the machines that may hold tasks of earlier terms only a few have not reported
}

// newRecoveryState returns the state of a term that knows nothing yet.
func newRecoveryState(env *environment, inventory *machineInventory) *recoveryState {
	return &recoveryState{environment: env, inventory: inventory}
}

// hasEnded reports whether all tasks that may run are known.
func (r *recoveryState) hasEnded() bool { return r.ended }

// markRecordsLoaded notes that all that earlier terms wrote down is known.
func (r *recoveryState) markRecordsLoaded() { r.recordsLoaded = true }

// updateUnreported notes how many of the machines that may hold tasks of earlier terms have not
// reported, and how many machines have.
func (r *recoveryState) updateUnreported(unreported, reported int) {
	share := limits.FewUnreportedShare * float64(unreported+reported)
	r.onlyFewUnreported = !r.ended && float64(unreported) <= max(limits.CorrelatedUnreachableMin, share)
}

// hasFewUnreported reports whether placement waits for only a few machines.
func (r *recoveryState) hasFewUnreported() bool { return r.onlyFewUnreported }

// tryEnd ends recovery if no task can be running that we have not heard of: each machine that may hold
// some has reported to us or is gone, or its lease from before is over. It reports whether recovery has
// ended just now.
//
// A machine of which we have answered a heartbeat had its lease renewed by that: it has the whole of
// it again, although it has shown us no tasks yet. A leader that is too busy to handle its next
// heartbeats must not forget that.
func (r *recoveryState) tryEnd() bool {
	if !r.recordsLoaded || r.ended {
		return false
	}
	for _, m := range r.inventory.all() {
		leaseStart := max(r.termStartedAt, m.leaseRenewedAt)
		if m.mayHoldEarlierTasks() && r.now < leaseStart+limits.LeaseExpiredAfter(r.workerLease) {
			return false
		}
	}
	r.ended = true
	return true
}

// tryEndRecovery lets placement begin once recovery has ended.
func (s *Scheduler) tryEndRecovery() {
	if !s.recovery.tryEnd() {
		return
	}
	s.placement.requestPass()
	for _, j := range s.jobs.oldestFirst() {
		s.gangs.markChanged(j.gang)
	}
	s.logInfo("recovered", "after", s.now-s.termStartedAt, keyMachines, len(s.inventory.all()), "jobs", s.jobs.count())
}
