package scheduler

import "quillshunt/internal/limits"

// stopForSpotNotice stops tasks on a machine that the cloud takes away: in time to save, or at once
// if they cannot be done before.
func (s *Scheduler) stopForSpotNotice(m *machine) {
	remaining := (m.spotNoticeEnds - s.now).Seconds()
	for _, a := range m.sortedAssignments() {
		if m.assignments[a.taskName] != a || a.stopping || a.state == stateUnsent {
			continue
		}
		needed := a.job.estimate()
		if a.state == stateRunning {
			needed -= (s.now - a.runningSince).Seconds()
		}
		if a.job.spec.CheckpointS > 0 {
			if remaining < a.job.spec.SaveS+limits.SpotNoticeSaveIntervals*s.heartbeatInterval.Seconds() {
				s.stopTask(a, "spot notice")
			}
		} else if needed > remaining {
			s.stopTask(a, "spot notice")
		}
	}
}
