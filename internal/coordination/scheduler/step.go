package scheduler

import "time"

// Step processes one event and returns the effects that the leader must execute, in this order. The
// parameter now is the time since the term began, on a monotonic clock. If it is before the time of an
// earlier event, the earlier event's time is used instead. The same events at the same times yield the same
// effects.
func (s *Scheduler) Step(e Event, now time.Duration) []Effect {
	s.beginStep(now)
	s.process(e)
	s.tryEndRecovery()
	s.decide()
	s.dispatch()
	return s.effects
}

// process passes an event to its handler.
func (s *Scheduler) process(e Event) {
	switch e := e.(type) {
	case JobChanged:
		s.jobChanged(e)
	case JobRemoved:
		s.jobRemoved(e)
	case FinishedTasksLoaded:
		s.finished.load(e)
	case RentalLoaded:
		s.rentals.load(e)
	case RegistryPageLoaded:
		s.registry.load(e)
	case StateLoaded:
		s.stateLoaded()
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case ProbeDone:
		s.probeDone(e)
	case DirectCommandsDone:
		s.directCommandsDone(e)
	case WriteCompleted:
		s.writeCompleted(e)
	case RentalDone:
		s.rentalDone(e)
	case DeletionDone:
		s.deletionDone(e)
	case MachinesListed:
		s.machinesListed(e)
	case MachineTypesFetched:
		s.machineTypesFetched(e)
	case TaskCountsRequested:
		s.jobs.answerTaskCounts(e)
	case SnapshotRequested:
		s.takeSnapshot(e)
	case Tick:
		s.tick(e.Entitled)
	}
}

// stateLoaded starts the recovery of a new term and requests the machine types and the list of
// machines from the cloud.
func (s *Scheduler) stateLoaded() {
	s.logInfo("recovery started",
		"jobs", s.jobs.count(), keyMachines, len(s.inventory.all()), "rentals", s.rentals.count())
	s.recovery.markRecordsLoaded()
	s.catalog.requestFetch()
	s.cloudList.requestRead()
	s.finished.removeOrphanedRecords()
	s.tick(true)
}

// decide updates the gangs, places waiting tasks, and commits the gangs whose tasks all have machines,
// so that they can start.
func (s *Scheduler) decide() {
	s.reconcileGangs()
	s.placeTasks()
	s.reconcileGangs()
	s.commitGangs()
}

// tick runs the periodic work. If the leader is not entitled, tick only releases the tasks of workers whose
// lease has expired and the unsent tasks of stale machines, and prunes outdated state.
func (s *Scheduler) tick(entitled bool) {
	s.reachability.expireLeases()
	s.placement.pruneExpiredSearchIntervals()
	s.gangs.requestCommit() // a machine may have become usable again
	if !entitled {
		return
	}
	for _, j := range s.jobs.oldestFirst() {
		s.tryCloseJob(j)
	}
	s.finished.writeChunks()
	s.manageFleet()
}
