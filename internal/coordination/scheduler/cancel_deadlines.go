package scheduler

import (
	"cmp"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// mayRenewLease reports whether the reply to a heartbeat may renew the worker's lease. It must not once a
// task of a cancelled job that may be on the machine would run for longer than cancel_s if no further
// message reached the worker. Such a task is assigned to the machine, or is listed by the heartbeat, as an
// earlier leader may have started it, or its start may be on its way from an earlier leader. The machine is
// nil if it is unknown.
func (s *Scheduler) mayRenewLease(m *machine, heartbeat *protocol.Heartbeat) bool {
	var overdue *job
	if m != nil {
		overdue = cmp.Or(s.findCancelledJob(m, s.cancelReplyUntil), s.findUnfencedStart(m))
	}
	s.eachCancelledTask(heartbeat, func(j *job, _ *protocol.TaskStatus) {
		if s.now > s.cancelReplyUntil(j) {
			overdue = j
		}
	})
	if overdue != nil {
		s.logInfo("worker lease not renewed", keyReason, "cancelled task does not stop", keyMachine, heartbeat.Machine,
			keyJob, overdue.id, keySinceCancellation, s.now-overdue.cancelledAt)
	}
	return overdue == nil
}

// findUnfencedStart returns the oldest cancelled job whose tasks must not outlive the present lease of a machine,
// if a start of the job may still be on its way from an earlier leader to the machine, or nil. That ends once
// the worker has seen this term's fencing token, which a probe conveys. If many machines have not reported in
// this term, nil is returned: they could not all be probed before their leases expire.
func (s *Scheduler) findUnfencedStart(m *machine) *job {
	if !m.mayHoldEarlierTermTasks() || !s.recovery.hasFewUnreported() {
		return nil
	}
	for _, j := range s.jobs.oldestFirst() {
		if j.cancelled && s.now > s.cancelReplyUntil(j) {
			return j
		}
	}
	return nil
}

// stopsOfCancelledTasks returns the commands that stop the tasks of cancelled jobs that a heartbeat lists.
func (s *Scheduler) stopsOfCancelledTasks(heartbeat *protocol.Heartbeat) []protocol.Command {
	var commands []protocol.Command
	s.eachCancelledTask(heartbeat, func(j *job, status *protocol.TaskStatus) {
		if len(commands) >= limits.MaxCommands {
			return
		}
		commands = append(commands, s.stopUnexpectedTask(heartbeat.Machine, j, status))
		s.logInfo("stopping cancelled task of an earlier term", keyMachine, heartbeat.Machine,
			keyJob, j.id, keySinceCancellation, s.now-j.cancelledAt)
	})
	return commands
}

// eachCancelledTask calls visit for each task of a cancelled job that a heartbeat lists and that has not
// ended.
func (s *Scheduler) eachCancelledTask(
	heartbeat *protocol.Heartbeat, visit func(j *job, status *protocol.TaskStatus),
) {
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.State == protocol.TaskEnded {
			continue
		}
		jobID, _, ok := protocol.ParseTaskName(status.Task)
		if j := s.jobs.find(jobID); ok && j != nil && j.cancelled {
			visit(j, status)
		}
	}
}

// findCancelledJob returns the cancelled job with the lowest ID of which a machine may still run an assigned
// task although the time returned by deadline has passed, or nil if there is none.
func (e *environment) findCancelledJob(m *machine, deadline func(*job) time.Duration) *job {
	var found *job
	for _, a := range m.assignments {
		overdue := a.job.cancelled && a.state != stateUnsent && e.now > deadline(a.job)
		if overdue && (found == nil || a.job.id < found.id) {
			found = a.job
		}
	}
	return found
}

// cancelDeletionAt returns the time at which a machine that still has a task of a cancelled job is
// deleted. It usually leaves the cloud time to confirm the deletion before cancelReplyUntil. A leader that
// observed the cancellation late first waits limits.CancelStopGrace for its stop commands to take effect,
// but not beyond limits.CancelDeleteLatestShare of cancel_s.
func (e *environment) cancelDeletionAt(j *job) time.Duration {
	cancelLimit := limits.Seconds(e.cfg.Workers.CancelWithinS)
	window := limits.CancelHeartbeatWindow(cancelLimit, e.workerLease)
	usual := j.cancelledAt + limits.Scale(window, limits.CancelDeleteShare)
	latest := j.cancelledAt + limits.Scale(cancelLimit, limits.CancelDeleteLatestShare)
	return max(usual, min(j.cancelObservedAt+limits.CancelStopGrace, latest))
}

// cancelReplyUntil returns the time until which the heartbeats of a machine that still has a task of a
// cancelled job are accepted. If the deletion of the machine is not confirmed by then, only the expiry
// of its lease is certain to end the task within cancel_s, so the lease is no longer renewed. That works
// even if the worker ignores stop commands, or hangs and then resumes. The machine's other tasks are
// lost, as they would be by the deletion, unless a direct stop ends the task before the lease expires.
func (e *environment) cancelReplyUntil(j *job) time.Duration {
	return j.cancelledAt + limits.CancelHeartbeatWindow(limits.Seconds(e.cfg.Workers.CancelWithinS), e.workerLease)
}
