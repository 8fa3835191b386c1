package scheduler

// placeTasks is the scheduling pass. For each job, in the order of the queue, it filters the
// machines, ranks what is left on the full view, and preempts victims where the best machine is
// short of resources: the paper's algorithm, request by request.
func (s *Scheduler) placeTasks() {
	if !s.placement.isPassRequested() || !s.recovery.hasEnded() {
		return
	}
	jobs := s.placement.collectJobs()
	if len(jobs) == 0 && !s.gangs.hasReplacementRequests() {
		return
	}
	s.placement.beginPass()
	s.replaceLostGangTasks()
	s.placeOverdueTasks()
	for _, j := range jobs {
		if j.gang != nil {
			s.placeGang(j)
			continue
		}
		s.placeJob(j, j.waitingTasks())
	}
}

// placeOverdueTasks places the tasks that are due whatever else waits. Machines are reserved for
// those that find none.
func (s *Scheduler) placeOverdueTasks() {
	for _, j := range s.queue.overdueJobs() {
		overdue := s.queue.overdueTasks(j)
		if overdue <= 0 || !j.withinTeamLimit() || s.now < j.retryAt {
			continue
		}
		if j.gang != nil {
			s.placeGang(j)
			s.placement.reserveForGang(j)
			continue
		}
		s.placeJob(j, overdue)
		s.placement.reserveForJob(j)
	}
}

// placeJob places up to count of a job's tasks. All of them make the same request, so the machines
// are filtered and scored once, and again only where a placement has changed something.
func (s *Scheduler) placeJob(j *job, count int) {
	search, ok := s.placement.newSearch(j)
	if !ok {
		return
	}
	preempting := search.request.preempting
	candidates := s.placement.collectCandidates(j, preempting)
	for ; count > 0 && j.team.fits(j.demand); count-- {
		group := candidates.Best()
		if group < 0 {
			s.placement.searchFailed(&search)
			return
		}
		best := candidates.First(group)
		victims, ok := s.placement.chooseVictims(j, &best, nil)
		if !ok {
			return
		}
		gangStopped := s.placeTask(j, best.Target, victims)
		if gangStopped || j.hasZoneRule() { // other machines have changed, or may be used no more
			s.placement.collectCandidates(j, preempting)
			continue
		}
		candidates.RemoveFirst(group)
		if c, ok := s.placement.evaluate(j, best.Target, preempting, nil); ok {
			candidates.Add(c)
		}
	}
}

// placeTask stops the victims on a machine and assigns it the next task of a job. It reports
// whether gangs were among the victims.
func (s *Scheduler) placeTask(j *job, m *machine, victims []*assignment) (gangStopped bool) {
	for _, victim := range victims {
		s.stopTask(victim, "preempted for "+j.id)
		if victim.job.gang != nil {
			gangStopped = true
			s.placement.gangStopped(victim.job)
		}
	}
	borrowed := j.team.usesBorrowed()
	s.assignments.assign(j, j.nextWaitingTask(), m, s.assignments.nextAttempt(), stateUnsent)
	s.placement.taskPlaced(m, victims, borrowed != j.team.usesBorrowed())
	return gangStopped
}
