package scheduler

import "time"

// Step processes one event and returns the effects that are to be executed, in order. Now is the
// time since the term began by a clock that does not go back; if it does, the time of an earlier
// event counts. The same events at the same times give the same effects.
func (s *Scheduler) Step(e Event, now time.Duration) []Effect {
	s.beginStep(now)
	s.process(e)
	s.tryEndRecovery()
	s.decide()
	s.dispatch()
	return s.effects
}

// process hands an event to the part that it concerns.
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

// stateLoaded begins the recovery of a new term, and reads what only the cloud knows.
func (s *Scheduler) stateLoaded() {
	s.logInfo("recovering", "jobs", s.jobs.count(), keyMachines, len(s.inventory.all()), "rentals", s.rentals.count())
	s.recovery.markRecordsLoaded()
	s.catalog.fetchNow()
	s.cloudList.readNow()
	s.finished.removeOrphanedRecords()
	s.tick(true)
}

// decide brings gangs in line with what is known, places waiting tasks, and lets gangs start whose
// tasks all have their machines.
func (s *Scheduler) decide() {
	s.reconcileGangs()
	s.placeTasks()
	s.reconcileGangs()
	s.commitGangs()
}

// tick does what is due. Unless the leader is entitled, it only frees tasks whose lease has expired.
func (s *Scheduler) tick(entitled bool) {
	s.reachability.expireLeases()
	s.placement.forgetPastSearches()
	s.gangs.requestCommit() // a machine may be usable again
	if !entitled {
		return
	}
	for _, j := range s.jobs.oldestFirst() {
		s.tryCloseJob(j)
	}
	s.finished.writeChunks()
	s.manageFleet()
}
