package scheduler

import "quillshunt/internal/limits"

// manageFleet does the periodic work on the fleet: it reads machine types and the machine list, registers,
// probes and returns machines, and plans capacity. It is called at every tick.
func (s *Scheduler) manageFleet() {
	s.catalog.fetchIfDue()
	s.machineList.readIfDue()
	s.logSummaryIfDue()
	s.registry.writePages()
	s.returnUnusableMachines()
	s.prober.probeDueMachines()
	if s.canPlanCapacity() && s.planner.isDue() && s.pacer.tryBeginPlan() {
		s.planner.scheduleNext()
		s.planCapacity()
	}
	s.requestDeletions()
}

// canPlanCapacity reports whether capacity may be planned: recovery has ended, or the machines have had
// enough time in this term to report.
func (s *Scheduler) canPlanCapacity() bool {
	return s.recovery.hasEnded() || s.now > s.termStartedAt+s.staleThreshold()
}

// requestDeletions requests the deletion of machines that are to be returned, as many as one request to the
// cloud may contain.
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
