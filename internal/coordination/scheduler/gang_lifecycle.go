package scheduler

import (
	"quillshunt/internal/limits"
)

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
		g.state, g.attempt = gangPlaced, s.nextAttempt()
	}
	for _, task := range found.tasks {
		task.machine.reservedFor = nil
		s.assign(g.job, g.job.nextWaitingTask(), task.machine, g.attempt, stateUnsent)
	}
	s.placement.gangPlaced(found)
	if !g.awaitsCommit {
		g.awaitsCommit = true
		s.gangs.uncommitted = append(s.gangs.uncommitted, g)
	}
	s.gangs.capacityChanged = true
}

// refillGangs replaces tasks that gangs lost before their start. A gang that can't be complete in
// time is stopped and waits again.
func (s *Scheduler) refillGangs() {
	refills := s.gangs.toRefill
	s.gangs.toRefill = nil
	for _, g := range refills {
		if g.isOver() || g.state != gangGathering || g.missing() == 0 {
			continue
		}
		fetch := limits.Seconds(g.job.class.fetchSeconds)
		late := g.completeBy != 0 && s.now+fetch > g.completeBy
		if late || s.now < g.job.retryAt || !s.placeGang(g.job) {
			s.stopGang(g, "no machine for a lost task of the gang")
		}
	}
}
