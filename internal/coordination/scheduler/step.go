package scheduler

import "time"

// Step takes one event. The effects are to be carried out in order.
func (s *Scheduler) Step(e Event, now time.Duration) []Effect {
	if now > s.now {
		s.now = now
	}
	s.effects = nil
	switch e := e.(type) {
	case JobChanged:
		s.jobChanged(e)
	case JobRemoved:
		if j := s.jobs.find(e.JobID); j != nil && !j.closing && e.Version > j.version {
			s.closeJob(j) // somebody else removed it: not in the protocol of our nodes, but then it is over
		}
	case FinishedTasksLoaded:
		s.finished.load(e)
	case RentalLoaded:
		s.rentals.load(e)
	case RegistryPageLoaded:
		s.registry.load(e)
	case StateLoaded:
		s.logInfo("recovering", "jobs", s.jobs.count(), "machines", len(s.inventory.all()), "rentals", s.rentals.count())
		s.recovery.stateLoaded()
		s.catalog.fetchNow()
		s.cloudList.readNow()
		s.finished.removeOrphanedRecords()
		s.tick(true)
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
	s.tryEndRecovery()
	s.decide()
	s.dispatch()
	return s.effects
}

// decide brings gangs in line with what is known, places what wants room and lets gangs start whose
// room is confirmed.
func (s *Scheduler) decide() {
	s.reconcileGangs()
	s.placeTasks()
	s.reconcileGangs()
	s.commitGangs()
}

// tick looks at everything that only time changes.
func (s *Scheduler) tick(entitled bool) {
	s.expireLeases()
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
