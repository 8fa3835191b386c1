package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// holdsCancelledTask reports whether a machine may still run a task of a cancelled job for which the
// time returned by deadline has passed.
func (e *environment) holdsCancelledTask(m *machine, deadline func(*job) time.Duration) bool {
	for _, a := range m.assignments {
		if a.job.cancelled && a.state != stateUnsent && e.now > deadline(a.job) {
			return true
		}
	}
	return false
}

// cancelDeletionAt returns the time at which a machine that still has a task of a cancelled job is
// deleted. It usually leaves the cloud time to confirm the deletion before cancelReplyUntil. A leader that
// observed the cancellation late first waits limits.CancelStopGrace for its stop commands to take effect,
// but not beyond limits.CancelDeleteLatestShare of cancel_s.
func (e *environment) cancelDeletionAt(j *job) time.Duration {
	cancelLimit := limits.Seconds(e.cfg.Workers.CancelWithinS)
	window := limits.CancelHeartbeatWindow(cancelLimit, e.workerLease)
	usual := j.cancelledAt + time.Duration(limits.CancelDeleteShare*float64(window))
	latest := j.cancelledAt + time.Duration(limits.CancelDeleteLatestShare*float64(cancelLimit))
	return max(usual, min(j.cancelObservedAt+limits.CancelStopGrace, latest))
}

// cancelReplyUntil returns the time until which the heartbeats of a machine that still has a task of a
// cancelled job are accepted. If the deletion of the machine is not confirmed by then, only the expiry
// of its lease can still end the task within cancel_s, so the lease is no longer renewed. That works
// even if the worker ignores stop commands, or hangs and then resumes. The machine's other tasks are
// lost, as they would be by the deletion.
func (e *environment) cancelReplyUntil(j *job) time.Duration {
	return j.cancelledAt + limits.CancelHeartbeatWindow(limits.Seconds(e.cfg.Workers.CancelWithinS), e.workerLease)
}
