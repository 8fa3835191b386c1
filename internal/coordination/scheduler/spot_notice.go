package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// recordSpotNotice records, from a heartbeat, that the cloud will reclaim the spot machine soon. The
// machine gets no more tasks.
func (s *Scheduler) recordSpotNotice(m *machine, heartbeat *protocol.Heartbeat) {
	if heartbeat.SpotNoticeS == nil || m.spotNotice {
		return
	}
	m.spotNotice = true
	m.spotReclaimAt = s.now + limits.Seconds(*heartbeat.SpotNoticeS)
	s.logInfo("spot notice received",
		"machine", m.name, "reclaim_in_s", *heartbeat.SpotNoticeS, "tasks", len(m.assignments))
	s.assignments.releaseUnsent(m)
}

// stopTasksForSpotNotice stops tasks on a machine that the cloud is about to reclaim. Tasks with
// checkpoints are stopped in time to save one, other tasks at once if they cannot complete by then.
func (s *Scheduler) stopTasksForSpotNotice(m *machine) {
	remaining := (m.spotReclaimAt - s.now).Seconds()
	for _, a := range m.sortedAssignments() {
		if m.assignments[a.taskName] != a || a.stopping || a.state == stateUnsent {
			continue // an earlier iteration may have released the task with its gang
		}
		if s.mustStopBeforeReclaim(a, remaining) {
			s.stopTask(a, "spot notice")
		}
	}
}

// mustStopBeforeReclaim reports whether a task has to stop now, given the seconds that remain until the
// cloud reclaims its machine.
func (s *Scheduler) mustStopBeforeReclaim(a *assignment, remaining float64) bool {
	if a.job.maySaveOnStop() {
		margin := limits.SpotNoticeSaveIntervals * s.heartbeatInterval.Seconds()
		return remaining < a.job.saveTime().Seconds()+margin
	}
	return a.job.estimatedRunSeconds()-a.runTime(s.now).Seconds() > remaining
}
