package scheduler

// reconcileGangs decides, for each gang whose assignments have changed, whether to stop, abort or
// release its tasks, or to replace lost ones.
func (s *Scheduler) reconcileGangs() {
	for g := s.gangs.nextChanged(); g != nil; g = s.gangs.nextChanged() {
		if !g.isFinished() {
			s.reconcileGang(g)
		}
	}
}

// reconcileGang carries out the next action of a gang. A gang without assigned tasks is reset, so that
// the next placement pass can place it.
func (s *Scheduler) reconcileGang(g *gang) {
	if len(g.job.assignments) == 0 {
		g.reset()
		s.placement.requestPass()
		return
	}
	switch action, reason := g.nextAction(g.summarize(), s.recovery.hasEnded()); action {
	case gangStop:
		s.stopGang(g, reason)
	case gangAbort:
		s.abortGang(g, reason)
	case gangRelease:
		s.releaseGang(g)
	case gangReplaceLost:
		s.gangs.requestReplacement(g)
		s.placement.requestPass()
	}
}

// stopGang stops all tasks of a gang, because a gang's work can only be saved by all its tasks
// together. Tasks whose start commands have not been sent are released.
func (s *Scheduler) stopGang(g *gang, reason string) {
	g.beginStop(s.now)
	for _, a := range g.job.sortedAssignments() {
		if a.state == stateUnsent {
			s.assignments.release(a)
			continue
		}
		s.assignments.stop(a, reason)
	}
}

// abortGang stops the remaining tasks, without saving, of a gang that lost a task while it ran. The
// work since the last checkpoint is lost in any case. Without the abort the remaining tasks would run
// until they detect the loss, which would delay the next attempt.
func (s *Scheduler) abortGang(g *gang, reason string) {
	for _, a := range g.job.assignments {
		a.skipSaving = true
	}
	s.logWarn("gang aborted", keyJob, g.job.id, keyAttempt, g.attempt, "remaining_tasks", len(g.job.assignments),
		keyReason, reason)
	s.stopGang(g, reason)
}

// releaseGang releases all tasks of a gang. None of their start commands has been sent.
func (s *Scheduler) releaseGang(g *gang) {
	for _, a := range g.job.sortedAssignments() {
		s.assignments.release(a)
	}
}

// stopTask stops a task, or all tasks of its gang if it belongs to one.
func (s *Scheduler) stopTask(a *assignment, reason string) {
	if a.job.gang != nil {
		s.stopGang(a.job.gang, reason)
		return
	}
	s.assignments.stop(a, reason)
}

// stopGangsAndCheckSaving stops all running gangs with a task on a machine that is to be returned. It
// reports whether one of them may still need the machine to save its work.
func (s *Scheduler) stopGangsAndCheckSaving(m *machine) bool {
	saving := false
	for _, a := range m.sortedAssignments() {
		g := a.job.gang
		if g == nil || g.isFinished() || (a.state != stateRunning && a.state != stateSaving) {
			continue
		}
		s.stopGang(g, "a machine of the gang is being returned")
		saving = saving || s.now < s.gangs.saveDeadline(g)
	}
	return saving
}

// placeGang places all missing tasks of a gang, or none. It reports whether all tasks are assigned
// afterwards.
func (s *Scheduler) placeGang(j *job) bool {
	missing := j.waitingTasks()
	if missing == 0 {
		return true
	}
	if !j.isWithinTeamLimit() {
		return false
	}
	search, ok := s.placement.newGangSearch(j, missing)
	if !ok {
		return false
	}
	found := s.placement.findGangPlacement(&search)
	if found == nil {
		s.placement.handleGangSearchFailed(&search)
		return false
	}
	s.applyGangPlacement(j.gang, found)
	return true
}

// applyGangPlacement stops the victims of a placement and assigns the gang's missing tasks. The start
// commands wait until commitGangs has confirmed that the resources are free.
func (s *Scheduler) applyGangPlacement(g *gang, found *gangPlacement) {
	for _, task := range found.tasks {
		for _, victim := range task.victims {
			s.stopTask(victim, "preempted for "+g.job.id)
		}
	}
	if g.state == gangWaiting {
		g.beginAttempt(s.assignments.nextAttempt())
	}
	for _, task := range found.tasks {
		s.assignments.assign(g.job, g.job.nextWaitingTask(), task.machine, g.attempt, stateUnsent)
	}
	s.placement.handleGangPlaced(found)
	s.gangs.queueForCommit(g)
}

// replaceLostGangTasks places tasks that gangs lost while they gathered. A gang whose lost tasks
// cannot be placed in time is stopped; it is placed again once all its tasks are released.
func (s *Scheduler) replaceLostGangTasks() {
	for _, g := range s.gangs.takeReplacementRequests() {
		if g.isFinished() || g.state != gangGathering || g.missingTasks() == 0 {
			continue
		}
		if !s.gangs.canCompleteInTime(g) || !s.placeGang(g.job) {
			s.stopGang(g, "a lost task of the gang cannot be replaced in time")
		}
	}
}

// commitGangs allows the start commands of gangs whose resources are confirmed free, and queues the
// machines concerned for dispatch.
func (s *Scheduler) commitGangs() {
	for _, a := range s.gangs.commit() {
		s.dispatcher.enqueue(a.machine)
	}
}
