package scheduler

// placeTasks runs one scheduling pass, if one was requested and recovery has ended. For each job, in
// queue order, it filters and ranks the machines and assigns the task to the best one. If that machine
// lacks free resources, it preempts tasks there. This is the algorithm of the paper that package
// placement names.
func (s *Scheduler) placeTasks() {
	if !s.placement.isPassRequested() {
		return
	}
	if !s.recovery.hasEnded() {
		s.withhold(WithheldRecovery, 1)
		return
	}
	if !s.pacer.tryBeginPass() {
		return
	}
	jobs := s.placement.collectJobs()
	if len(jobs) == 0 && !s.gangs.hasReplacementRequests() {
		return
	}
	s.placement.beginPass()
	defer s.placement.endPass()
	s.replaceLostGangTasks()
	s.placeStarvedTasks()
	for _, j := range jobs {
		if !s.placement.mayPlaceMore() {
			return
		}
		if j.gang != nil {
			s.placeGang(j)
			continue
		}
		s.placeJob(j, j.waitingTasks())
	}
}

// placeStarvedTasks places the starved tasks of all jobs before any others; see jobQueue.starvedTasks.
// For tasks that no machine has room for, it reserves machines.
func (s *Scheduler) placeStarvedTasks() {
	for _, j := range s.queue.starvedJobs() {
		if !s.placement.mayPlaceMore() {
			return
		}
		starved := s.queue.starvedTasks(j)
		if starved <= 0 || !j.isWithinTeamLimit() || s.now < j.retryAt {
			continue
		}
		if j.gang != nil {
			s.placeGang(j)
			s.placement.reserveForGang(j)
			continue
		}
		s.placeJob(j, starved)
		if !s.placement.mayPlaceMore() {
			return // no machine is reserved for tasks that the next pass may place
		}
		s.placement.reserveForJob(j)
	}
}

// placeJob places up to count tasks of a job. As all its tasks have the same requirements, it filters and
// scores all machines once. After each placement only the machine that was used is scored again, unless
// the placement affects other machines too.
func (s *Scheduler) placeJob(j *job, count int) {
	if !j.team.isWithinLimit(j.demand) {
		return
	}
	search, ok := s.placement.newSearch(j)
	if !ok {
		return
	}
	preempting := search.request.preempting
	candidates := s.placement.collectCandidates(j, preempting)
	for ; count > 0 && j.team.isWithinLimit(j.demand) && s.placement.mayPlaceMore(); count-- {
		group := candidates.BestGroup()
		if group < 0 {
			s.placement.handleSearchFailed(&search)
			return
		}
		best := candidates.FirstInGroup(group)
		victims, ok := s.placement.chooseVictims(j, &best, nil)
		if !ok {
			return
		}
		gangStopped := s.placeTask(j, best.Target, victims)
		if gangStopped || j.hasNewZones(best.Target.zone) {
			// Other machines have more free resources or are no longer allowed.
			s.placement.collectCandidates(j, preempting)
			continue
		}
		candidates.RemoveFirstInGroup(group)
		if c, ok := s.placement.filterAndScore(j, best.Target, preempting, nil); ok {
			candidates.Add(c)
		}
	}
}

// placeTask preempts the victims on a machine and assigns the next waiting task of a job to it. It
// reports whether a gang was preempted, which frees resources on other machines too.
func (s *Scheduler) placeTask(j *job, m *machine, victims []*assignment) (gangStopped bool) {
	for _, victim := range victims {
		s.stopTask(victim, "preempted for "+j.id)
		if victim.job.gang != nil {
			gangStopped = true
			s.placement.handleGangStopped(victim.job)
		}
	}
	wasBorrowing := j.team.isBorrowing()
	s.assignments.assign(j, j.nextWaitingTask(), m, s.assignments.nextAttempt(), stateUnsent)
	s.placement.handleTaskPlaced(m, victims, wasBorrowing != j.team.isBorrowing())
	return gangStopped
}
