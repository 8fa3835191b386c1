package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// holdsCancelledTask reports whether a machine may have a task of a cancelled job although that job's
// deadline has passed.
func (e *environment) holdsCancelledTask(m *machine, deadline func(*job) time.Duration) bool {
	for _, a := range m.assignments {
		if a.job.cancelled && a.state != stateUnsent && e.now > deadline(a.job) {
			return true
		}
	}
	return false
}

// cancelDeletionTime is when a machine that still has a task of a cancelled job is deleted: early
// enough that the cloud has answered by cancelReplyDeadline. A leader that has only just learned of
// the cancellation lets the stops arrive first, while there is time.
func (e *environment) cancelDeletionTime(j *job) time.Duration {
	cancelLimit := limits.Seconds(e.cfg.Workers.CancelWithinS)
	window := limits.CancelHeartbeatWindow(cancelLimit, e.workerLease)
	early := j.cancelledAt + time.Duration(limits.CancelDeleteShare*float64(window))
	late := j.cancelledAt + time.Duration(limits.CancelDeleteLatestShare*float64(cancelLimit))
	return max(early, min(j.cancelSeenAt+limits.CancelStopGrace, late))
}

// cancelReplyDeadline is until when the heartbeats of such a machine are answered. If its deletion is
// not confirmed by then, nothing but the end of its lease stops the task in time, also if it hangs
// and goes on. Its other tasks are lost with that, as they would be by the deletion.
func (e *environment) cancelReplyDeadline(j *job) time.Duration {
	return j.cancelledAt + limits.CancelHeartbeatWindow(limits.Seconds(e.cfg.Workers.CancelWithinS), e.workerLease)
}
