package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// holdsCancelledTask tells whether a machine may have a task of a cancelled job although that job's
// time is over.
func (s *Scheduler) holdsCancelledTask(m *machine, over func(*job) time.Duration) bool {
	for _, b := range m.assignments {
		if b.job.cancelled && b.state != stateUnsent && s.now > over(b.job) {
			return true
		}
	}
	return false
}

// cancelDeleteAt is when a machine that still has a task of a cancelled job is deleted: early
// enough that the cloud has answered by lastAnswer. A leader that has only just learned of it lets
// the stops arrive first, while there is time.
func (s *Scheduler) cancelDeleteAt(j *job) time.Duration {
	within := limits.Seconds(s.cfg.Workers.CancelS)
	early := time.Duration(limits.CancelDeleteShare * float64(limits.CancelHeartbeatWindow(within, s.workerLease)))
	late := time.Duration(limits.CancelDeleteLatestShare * float64(within))
	return max(j.cancelledAt+early, min(j.cancelSeenAt+limits.CancelStopGrace, j.cancelledAt+late))
}

// cancelAnswerUntil is until when the reports of such a machine are answered. If its deletion is
// not confirmed by then, nothing but the end of its lease takes the task off it in time, also if it
// hangs and goes on. Its other tasks are lost with that, as they would be by the deletion.
func (s *Scheduler) cancelAnswerUntil(j *job) time.Duration {
	return j.cancelledAt + limits.CancelHeartbeatWindow(limits.Seconds(s.cfg.Workers.CancelS), s.workerLease)
}
