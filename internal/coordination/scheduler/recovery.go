package scheduler

import "quillshunt/internal/limits"

// recoveryState tracks whether a new term already knows all tasks that earlier terms may have left
// running. The term places nothing before recovery has ended, because a waiting task may in fact be
// running.
type recoveryState struct {
	*environment
	inventory         *machineInventory
	recordsLoaded     bool // all records of earlier terms are loaded
	ended             bool // all tasks that may be running are known as well
	onlyFewUnreported bool // only a few of the machines that may run tasks of earlier terms have not reported
}

// newRecoveryState returns the state of a term whose records are not loaded yet.
func newRecoveryState(env *environment, inventory *machineInventory) *recoveryState {
	return &recoveryState{environment: env, inventory: inventory}
}

// hasEnded reports whether all tasks that may be running are known.
func (r *recoveryState) hasEnded() bool { return r.ended }

// markRecordsLoaded records that all records of earlier terms are loaded.
func (r *recoveryState) markRecordsLoaded() { r.recordsLoaded = true }

// updateUnreported determines whether only a few machines delay recovery. The parameter unreported is
// the number of machines that may run tasks of earlier terms and have not reported to this leader;
// reported is the number of machines that have.
func (r *recoveryState) updateUnreported(unreported, reported int) {
	share := limits.FewUnreportedShare * float64(unreported+reported)
	r.onlyFewUnreported = !r.ended && float64(unreported) <= max(limits.CorrelatedUnreachableMin, share)
}

// hasFewUnreported reports whether only a few machines delay recovery, and with it all placement.
func (r *recoveryState) hasFewUnreported() bool { return r.onlyFewUnreported }

// tryEnd ends recovery if no unknown task can be running: each machine that may run tasks of earlier
// terms has reported with the fencing token of this term, is deleted, or has an expired lease. It reports
// whether this call has ended recovery.
//
// The reply to a heartbeat renews the worker's lease in full, even if the worker has not yet shown its
// tasks to this leader. The lease therefore runs from that reply. A leader that is too busy to
// process the next heartbeats would otherwise end recovery while the worker's tasks still run.
func (r *recoveryState) tryEnd() bool {
	if !r.recordsLoaded || r.ended {
		return false
	}
	for _, m := range r.inventory.all() {
		leaseStart := max(r.termStartedAt, m.leaseRenewedAt)
		if m.mayHoldEarlierTermTasks() && r.now < leaseStart+limits.LeaseExpiredAfter(r.workerLease) {
			return false
		}
	}
	r.ended = true
	return true
}

// tryEndRecovery enables placement as soon as recovery has ended.
func (s *Scheduler) tryEndRecovery() {
	if !s.recovery.tryEnd() {
		return
	}
	s.placement.requestPass()
	for _, j := range s.jobs.oldestFirst() {
		s.gangs.markChanged(j.gang)
	}
	s.logInfo("recovery ended",
		"duration", s.now-s.termStartedAt, keyMachines, len(s.inventory.all()), "jobs", s.jobs.count())
}
