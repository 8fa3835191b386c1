package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// noteSpotNotice notes that the cloud takes a spot instance back soon. It gets no more tasks.
func (s *Scheduler) noteSpotNotice(m *machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.SpotNoticeS == nil || m.spotNotice {
		return
	}
	m.spotNotice = true
	m.spotNoticeEnds = s.now + limits.Seconds(*heartbeat.SpotNoticeS)
	s.logInfo("spot notice", "machine", m.name, "seconds", *heartbeat.SpotNoticeS, "tasks", len(m.assignments))
	s.assignments.releaseUnsent(m)
}

// stopForSpotNotice stops tasks on a machine that the cloud takes back: those with checkpoints in time
// to save, the others at once if they cannot complete before.
func (s *Scheduler) stopForSpotNotice(m *machine) {
	remaining := (m.spotNoticeEnds - s.now).Seconds()
	for _, a := range m.sortedAssignments() {
		if m.assignments[a.taskName] != a || a.stopping || a.state == stateUnsent {
			continue // also those that were released with their gang
		}
		if s.mustStopFor(a, remaining) {
			s.stopTask(a, "spot notice")
		}
	}
}

// mustStopFor reports whether a task has to stop now as its machine is there for that many seconds only.
func (s *Scheduler) mustStopFor(a *assignment, remaining float64) bool {
	if a.job.spec.CheckpointS > 0 {
		margin := limits.SpotNoticeSaveIntervals * s.heartbeatInterval.Seconds()
		return remaining < a.job.spec.SaveS+margin
	}
	return a.job.estimatedRunSeconds()-a.runTime(s.now) > remaining
}
