package scheduler

import (
	"quillshunt/internal/limits"
)

// manageFleet keeps the fleet in step with the work.
func (s *Scheduler) manageFleet() {
	s.catalog.fetchIfDue()
	s.cloudList.readIfDue()
	if s.now >= s.nextSummaryAt {
		s.nextSummaryAt = s.now + limits.SummaryInterval
		s.logSummary()
	}
	s.registry.writePages()
	s.removeFaultyMachines()
	s.prober.probeDue()
	if (s.recovery.hasEnded() || s.now > s.termStartedAt+s.staleAfter()) && s.planner.startIfDue() {
		s.planCapacity()
	}
	var names []string
	for _, m := range s.inventory.all() {
		if m.deleting && s.now >= m.deleteRequestedAt+limits.CloudRetryInterval && len(names) < limits.MaxDeleteSize {
			m.deleteRequestedAt = never / 2
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		s.emit(DeleteMachines{Machines: names})
	}
}

// MsgSummary marks the line that shows how the term stands.
const SummaryMessage = "summary"

// logSummary writes that line.
func (s *Scheduler) logSummary() {
	up, booting, doubted, total, used, waiting, bound := 0, 0, 0, 0.0, 0.0, 0, 0
	for _, m := range s.inventory.all() {
		if !m.hasReported {
			booting++
			continue
		}
		up++
		if !m.verified {
			doubted++
		}
		total += m.size().CPUs
		used += m.allocated.CPUs
	}
	for _, j := range s.jobs.oldestFirst() {
		if !j.cancelled {
			waiting += j.waitingTasks()
		}
		bound += len(j.assignments)
	}
	s.logInfo(SummaryMessage, "up", up, "booting", booting, "doubted", doubted, "cpus", total, "used", used, "jobs", s.jobs.count(), "waiting", waiting, "bound", bound, "settled", s.recovery.hasEnded())
}
