package scheduler

import "time"

// Step processes one event and returns the effects that the leader must execute, in this order. The
// parameter now is the time since the term began, on a monotonic clock. If it is before the time of an
// earlier event, the earlier event's time is used instead. The same events at the same times yield the same
// effects.
func (s *Scheduler) Step(e Event, now time.Duration) []Effect {
	s.beginStep(now)
	s.handleEvent(e)
	s.tryEndRecovery()
	s.updatePlacement()
	s.dispatchCommands()
	s.reportWithheld()
	return s.effects
}

// handleEvent passes an event to its handler.
func (s *Scheduler) handleEvent(e Event) {
	switch e := e.(type) {
	case JobChanged:
		s.handleJobChanged(e)
	case JobRemoved:
		s.handleJobRemoved(e)
	case FinishedTasksLoaded:
		s.finishedTasks.load(e)
	case RentalLoaded:
		s.rentals.load(e)
	case RegistryPageLoaded:
		s.registry.load(e)
	case StateLoaded:
		s.handleStateLoaded()
	case HeartbeatReceived:
		s.handleHeartbeat(e)
	case ProbeDone:
		s.handleProbeDone(e)
	case DirectCommandsDone:
		s.handleDirectCommandsDone(e)
	case WriteCompleted:
		s.handleWriteCompleted(e)
	case RentalDone:
		s.handleRentalDone(e)
	case DeletionDone:
		s.handleDeletionDone(e)
	case MachinesListed:
		s.handleMachinesListed(e)
	case MachineTypesFetched:
		s.handleMachineTypesFetched(e)
	case TaskCountsRequested:
		s.jobs.answerTaskCounts(e)
	case SnapshotRequested:
		s.takeSnapshot(e)
	case Tick:
		s.tick(e.Entitled)
	}
}

// handleStateLoaded starts the recovery of a new term and requests the machine types and the list of
// machines from the cloud.
func (s *Scheduler) handleStateLoaded() {
	s.logInfo("recovery started",
		"jobs", s.jobs.count(), keyMachines, len(s.inventory.all()), "rentals", s.rentals.count())
	s.recovery.markRecordsLoaded()
	s.catalog.requestFetch()
	s.machineList.requestRead()
	s.finishedTasks.removeOrphanedRecords()
	s.tick(true)
}

// updatePlacement updates the gangs, places waiting tasks, and commits the gangs whose tasks all have machines,
// so that they can start.
func (s *Scheduler) updatePlacement() {
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
	s.finishedTasks.writeChunks()
	s.manageFleet()
}
