package scheduler

import "quillshunt/internal/limits"

// manageFleet keeps the fleet in step with the work. It is called with every tick.
func (s *Scheduler) manageFleet() {
	s.catalog.fetchIfDue()
	s.cloudList.readIfDue()
	s.logSummaryIfDue()
	s.registry.writePages()
	s.returnUnusableMachines()
	s.prober.probeDueMachines()
	if s.canPlanCapacity() && s.planner.scheduleNextIfDue() {
		s.planCapacity()
	}
	s.requestDeletions()
}

// knowsFleet reports whether enough of the fleet has reported to plan with it: the machines had the
// time for that.
func (s *Scheduler) canPlanCapacity() bool {
	return s.recovery.hasEnded() || s.now > s.termStartedAt+s.staleAfter()
}

// requestDeletions asks the cloud to delete machines that are to be returned, as many as fit into one
// request.
func (s *Scheduler) requestDeletions() {
	var names []string
	for _, m := range s.inventory.all() {
		if len(names) == limits.MaxDeleteSize {
			break
		}
		if m.isDeletionDue(s.now) {
			m.deletionInFlight = true
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		s.emit(DeleteMachines{Machines: names})
	}
}
