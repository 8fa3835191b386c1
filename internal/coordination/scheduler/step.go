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
		s.finishedTasksLoaded(e)
	case RentalLoaded:
		s.rentalLoaded(e)
	case RegistryPageLoaded:
		s.registryPageLoaded(e)
	case StateLoaded:
		s.logInfo("rebuilding", "jobs", s.jobs.count(), "machines", len(s.inventory.all()), "hires", len(s.rentals.byName))
		s.recovery.loaded = true
		s.catalog.fetchNow()
		s.cloudList.readNow()
		s.removeOrphanedRecords()
		s.tick(true)
	case HeartbeatReceived:
		s.heartbeatReceived(e)
	case ProbeDone:
		s.probeDone(e)
	case DirectCommandsDone:
		s.directCommandsDone(e)
	case WriteCompleted:
		s.writeDone(e)
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
	if s.recovery.loaded && !s.recovery.ended {
		s.tryEndRecovery()
	}
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

func (s *Scheduler) writeDone(e WriteCompleted) {
	p, ok := s.pendingWrites[e.ID]
	if !ok {
		return
	}
	delete(s.pendingWrites, e.ID)
	switch p.kind {
	case writeChunk:
		c := &p.job.chunks[p.count]
		c.writing = false
		if e.OK {
			c.version, c.durableSequence = e.Version, max(c.durableSequence, p.sequence)
		}
		s.tryCloseJob(p.job)
	case writeFinal:
		p.job.closing = false
		if e.OK {
			s.logInfo("job over", "job", p.job.id, "cancelled", p.job.cancelled, "tasks", p.job.spec.Tasks)
			s.closeJob(p.job)
			s.removeFinishedTasks(p.job.id, p.job.remainingRecordKeys)
		}
		// Otherwise it was cancelled meanwhile: the watch brings the new record, and finish runs again.
	case writeRental:
		s.rentalWritten(p, e.OK, e.Version)
	case writeRegistration:
		s.registryPageWritten(p, e.OK, e.Version)
	case writeRentalRemove:
		if e.OK {
			delete(s.rentals.byName, p.rental)
		} else if h := s.rentals.byName[p.rental]; h != nil {
			h.state = rentalAnswered
		}
	}
}

// tick looks at everything that only time changes.
func (s *Scheduler) tick(entitled bool) {
	s.expireLeases()
	s.placement.forgetPastSearches()
	s.gangs.capacityChanged = true // a machine may be usable again
	if !entitled {
		return
	}
	s.writeFinishedTasks()
	s.manageFleet()
}
