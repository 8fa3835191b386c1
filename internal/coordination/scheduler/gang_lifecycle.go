package scheduler

// reconcileGangs brings all gangs of which something has changed in line with what is known of
// their tasks.
func (s *Scheduler) reconcileGangs() {
	for g := s.gangs.nextChanged(); g != nil; g = s.gangs.nextChanged() {
		if !g.isOver() {
			s.reconcileGang(g)
		}
	}
}

func (s *Scheduler) reconcileGang(g *gang) {
	if len(g.job.assignments) == 0 {
		g.reset()
		s.placement.requestPass()
		return
	}
	switch action, reason := g.next(g.summarize(), s.recovery.hasEnded()); action {
	case gangStop:
		s.stopGang(g, reason)
	case gangAbort:
		s.abortGang(g, reason)
	case gangRelease:
		s.releaseGang(g)
	case gangRefill:
		s.gangs.requestRefill(g)
		s.placement.requestPass()
	}
}

// stopGang stops all tasks of a gang, never a part of them: they save together or not at all. Tasks
// whose start has not gone out are released.
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

// abortGang ends what is left of a gang that has lost a task after its start. Its work since the
// last checkpoint is lost already; the rest would only wait until they notice, so that the next
// attempt would begin later.
func (s *Scheduler) abortGang(g *gang, reason string) {
	for _, a := range g.job.assignments {
		a.skipSaving = true
	}
	s.logWarn("gang lost a task", keyJob, g.job.id, keyAttempt, g.attempt, "left", len(g.job.assignments))
	s.stopGang(g, reason)
}

// releaseGang releases all tasks of a gang of which no start has gone out.
func (s *Scheduler) releaseGang(g *gang) {
	for _, a := range g.job.sortedAssignments() {
		s.assignments.release(a)
	}
}

// stopTask stops a task, and with it the gang that it belongs to.
func (s *Scheduler) stopTask(a *assignment, reason string) {
	if a.job.gang != nil {
		s.stopGang(a.job.gang, reason)
		return
	}
	s.assignments.stop(a, reason)
}

// gangsStillSaving reports whether gangs on a machine that is to be returned still need it to save
// their work. They are stopped first.
func (s *Scheduler) gangsStillSaving(m *machine) bool {
	saving := false
	for _, a := range m.sortedAssignments() {
		g := a.job.gang
		if g == nil || g.isOver() || (a.state != stateRunning && a.state != stateSaving) {
			continue
		}
		s.stopGang(g, "its machine is returned")
		saving = saving || s.now < s.gangs.saveDeadline(g)
	}
	return saving
}

// placeGang places all missing tasks of a gang, or none. It reports whether nothing is missing now.
func (s *Scheduler) placeGang(j *job) bool {
	missing := j.waitingTasks()
	if missing == 0 {
		return true
	}
	if !j.withinTeamLimit() {
		return false
	}
	search, ok := s.placement.newGangSearch(j, missing)
	if !ok {
		return false
	}
	found := s.placement.findGangPlacement(&search)
	if found == nil {
		s.placement.gangSearchFailed(&search)
		return false
	}
	s.applyGangPlacement(j.gang, found)
	return true
}

// applyGangPlacement stops the victims and assigns the missing tasks of a gang.
func (s *Scheduler) applyGangPlacement(g *gang, found *gangPlacement) {
	for _, task := range found.tasks {
		for _, victim := range task.victims {
			s.stopTask(victim, "preempted for "+g.job.id)
		}
	}
	if g.state == gangWaiting {
		g.place(s.assignments.nextAttempt())
	}
	for _, task := range found.tasks {
		s.assignments.assign(g.job, g.job.nextWaitingTask(), task.machine, g.attempt, stateUnsent)
	}
	s.placement.gangPlaced(found)
	s.gangs.awaitCommit(g)
}

// refillGangs replaces tasks that gangs lost before their start. A gang that can't be complete in
// time is stopped and waits again.
func (s *Scheduler) refillGangs() {
	for _, g := range s.gangs.takeRefills() {
		if g.isOver() || g.state != gangGathering || g.missing() == 0 {
			continue
		}
		if !s.gangs.canComplete(g) || !s.placeGang(g.job) {
			s.stopGang(g, "no machine for a lost task of the gang")
		}
	}
}

// commitGangs sends the starts of gangs whose resources are confirmed.
func (s *Scheduler) commitGangs() {
	for _, a := range s.gangs.commit() {
		s.dispatcher.enqueue(a.machine)
	}
}
