package scheduler

import "quillshunt/internal/limits"

// SummaryMessage is the message of the periodic log entry with the number of machines, jobs and tasks.
const SummaryMessage = "summary"

// logSummaryIfDue logs the summary once every limits.SummaryInterval.
func (s *Scheduler) logSummaryIfDue() {
	if s.now < s.nextSummaryAt {
		return
	}
	s.nextSummaryAt = s.now + limits.SummaryInterval
	s.logSummary()
}

func (s *Scheduler) logSummary() {
	var up, notReported, unverified, waiting, assigned int
	var cpus, usedCPUs float64
	for _, m := range s.inventory.all() {
		if !m.hasReported {
			notReported++
			continue
		}
		up++
		if !m.verified {
			unverified++
		}
		cpus += m.capacity().CPUs
		usedCPUs += m.allocated.CPUs
	}
	for _, j := range s.jobs.oldestFirst() {
		if !j.cancelled {
			waiting += j.waitingTasks()
		}
		assigned += len(j.assignments)
	}
	s.logInfo(SummaryMessage,
		"up", up, "not_reported", notReported, "unverified", unverified, "cpus", cpus, "used_cpus", usedCPUs,
		"jobs", s.jobs.count(), "waiting_tasks", waiting, "assigned_tasks", assigned,
		"recovered", s.recovery.hasEnded())
}
