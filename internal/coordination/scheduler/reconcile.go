package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// reconcileTasks updates the assignments to a machine from a task list of its worker. It returns
// commands to stop unexpected tasks and to forget ended ones. The list comes from a heartbeat if
// directID is 0. Otherwise it comes from the reply to the direct command with that ID, or from the reply
// to a probe; then no assignment has the ID.
func (s *Scheduler) reconcileTasks(m *machine, heartbeat *protocol.Heartbeat, directID uint64) []protocol.Command {
	m.taskListSequence = heartbeat.Sequence
	var commands []protocol.Command
	listed := make(map[string]bool, len(heartbeat.Tasks))
	endedTasks := make(map[attemptKey]endedTask, len(m.endedTasks))
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		jobID, index, ok := protocol.ParseTaskName(status.Task)
		if !ok {
			continue
		}
		j := s.jobs.find(jobID)
		if j != nil && index >= j.spec.Tasks {
			j = nil
		}
		if status.State == protocol.TaskEnded {
			ended, isAssigned := s.reconcileEndedTask(m, j, index, status)
			if isAssigned {
				listed[status.Task] = true
			}
			endedTasks[attemptKeyOf(status)] = ended
			if ended.isDurable() {
				commands = append(commands, forgetCommand(status))
			}
			continue
		}
		if s.reconcileActiveTask(m, j, index, status) {
			listed[status.Task] = true
			continue
		}
		commands = append(commands, s.stopUnexpectedTask(m.name, j, status))
	}
	m.endedTasks = endedTasks
	s.reconcileMissingTasks(m, listed, heartbeat.FencingToken, directID)
	return commands
}

// reconcileEndedTask handles a task that a machine lists as ended; j is its job, or nil if it is
// unknown. isAssigned reports whether the listed attempt is the one assigned to the machine; if so, it
// is released.
func (s *Scheduler) reconcileEndedTask(
	m *machine, j *job, index int, status *protocol.TaskStatus,
) (ended endedTask, isAssigned bool) {
	a := m.assignments[status.Task]
	isAssigned = a != nil && a.attempt == status.Attempt
	ended, alreadyEnded := m.endedTasks[attemptKeyOf(status)]
	switch {
	case alreadyEnded && isAssigned:
		// This attempt had already ended here when the task was assigned here once more with the same
		// attempt number, which all tasks of a gang share. The worker ignores the new start as long as
		// it is not instructed to forget the attempt.
		s.assignments.release(a)
		return ended, true
	case alreadyEnded:
		return ended, false
	case isAssigned:
		return s.handleTaskEnded(a, status), true
	case j == nil || status.Reason != protocol.ReasonDone || j.cancelled:
		return endedTask{}, false
	}
	return s.recordUnassignedResult(a, j, index), false
}

// recordUnassignedResult records the result of an attempt that is no longer assigned or that an earlier
// term started. If the task has since been assigned to another machine, it is released or stopped
// there. The parameter a is the task's assignment to the machine that has the result, or nil.
func (s *Scheduler) recordUnassignedResult(a *assignment, j *job, index int) endedTask {
	ended := endedTask{job: j}
	ended.chunk, ended.sequence = s.finishedTasks.recordCompletion(j, index)
	if other := j.assignments[index]; other != nil && other != a {
		if other.state == stateUnsent {
			s.assignments.release(other)
		} else {
			s.assignments.stop(other, stopReasonSuperseded)
		}
	}
	s.tryCloseJob(j)
	return ended
}

// reconcileActiveTask handles a task that a machine lists as fetching, gathering, running or saving; j
// is its job, or nil if it is unknown. It returns false if the task must not run there.
func (s *Scheduler) reconcileActiveTask(m *machine, j *job, index int, status *protocol.TaskStatus) bool {
	a := m.assignments[status.Task]
	if s.isRestarted(a, status) {
		s.reportRestarted(m, status)
		return false
	}
	if a != nil && a.state != stateUnsent && status.Attempt > a.attempt {
		// The worker has a later attempt than the assigned one. Attempt numbers only increase, so the
		// assigned attempt has ended.
		s.assignments.release(a)
		a = nil
	}
	switch {
	case a != nil && a.attempt == status.Attempt:
		s.updateProgress(a, status)
	case j != nil && j.mayAdopt(index):
		// This leader has not started the task; usually an earlier leader has. Adopt it.
		if unsent := j.assignments[index]; unsent != nil {
			s.assignments.release(unsent)
		}
		s.updateProgress(s.assignments.assign(j, index, m, status.Attempt, stateSent), status)
		if s.recovery.hasEnded() && !j.cancelled {
			s.logWarn("unexpected task adopted",
				keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, keyMachine, m.name)
		}
	case a != nil && a.state != stateUnsent:
		// The worker still has an older attempt, so it refuses the start of the assigned one with
		// ReasonAttemptExists. Keep the older attempt.
		releasedAttempt := a.attempt
		s.assignments.release(a)
		s.updateProgress(s.assignments.assign(j, index, m, status.Attempt, stateSent), status)
		s.logWarn("older attempt of task adopted",
			keyJob, j.id, keyTask, index, keyAttempt, status.Attempt,
			"released_attempt", releasedAttempt, keyMachine, m.name)
	default:
		return false
	}
	return true
}

// isRestarted reports whether an active attempt has ended before: this leader has started it, and released it on the
// evidence that it could not run there any more. The parameter a is the task's assignment to the machine, or nil.
func (s *Scheduler) isRestarted(a *assignment, status *protocol.TaskStatus) bool {
	if status.Attempt>>limits.AttemptTermShift != s.cfg.Term {
		return false
	}
	return a == nil || a.attempt != status.Attempt || a.state == stateUnsent
}

// reportRestarted reports an attempt that runs again after it has ended.
func (s *Scheduler) reportRestarted(m *machine, status *protocol.TaskStatus) {
	if key := attemptKeyOf(status); m.restartedAttempt != key {
		m.restartedAttempt = key
		s.emit(AttemptRestarted{
			Machine: m.name, Incarnation: m.incarnation, Task: status.Task, Attempt: status.Attempt,
			FencingToken: s.fencingTokenOf(m),
		})
	}
}

// mayAdopt reports whether a task that a machine runs unexpectedly can be assigned to that machine: the
// task is not done, and no start was sent for its current assignment, if it has one.
func (j *job) mayAdopt(index int) bool {
	a := j.assignments[index]
	return !j.done.has(index) && (a == nil || a.state == stateUnsent)
}

// stopUnexpectedTask returns the command that stops a task that must not run on a machine.
func (s *Scheduler) stopUnexpectedTask(machine string, j *job, status *protocol.TaskStatus) protocol.Command {
	if j == nil || !j.cancelled {
		s.logWarn("unexpected task stopped", keyTask, status.Task, keyAttempt, status.Attempt, keyMachine, machine)
	}
	noGrace := 0.0
	return protocol.Command{Verb: protocol.CommandStop, Task: status.Task, Attempt: status.Attempt, GraceS: &noGrace}
}

// reconcileMissingTasks releases the tasks of a machine that its worker does not list, if that proves
// that they neither run there nor can start there any more.
func (s *Scheduler) reconcileMissingTasks(m *machine, listed map[string]bool, workerToken, directID uint64) {
	for _, a := range m.sortedAssignments() {
		switch {
		case a.state == stateUnsent || listed[a.taskName]:
			continue
		case a.state != stateSent:
			s.logWarn("task missing from its worker",
				keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt, keyMachine, m.name)
		case a.startMayArriveAfter(workerToken, directID):
			continue
		case directID == 0:
			s.reachability.setVerified(m, false) // the heartbeat reply with the start did not arrive
		}
		s.assignments.release(a)
	}
}

// startMayArriveAfter reports whether the start of a task may still arrive after the worker has sent a
// task list without that task. The parameter workerToken is the fencing token that the worker had then, and directID
// is that of reconcileTasks.
//
// After the reply to a direct command, the starts in that command can no longer arrive. After a
// heartbeat, the starts in replies to earlier heartbeats can no longer arrive: a worker has only one
// heartbeat in flight and sends the next one only once it no longer waits for the reply. A direct command without a
// reply can no longer arrive once the worker has a higher fencing token.
func (a *assignment) startMayArriveAfter(workerToken, directID uint64) bool {
	if !a.startUnconfirmed {
		return a.directID != directID
	}
	inHeartbeatReply := a.startRepeated && directID != 0
	return workerToken <= a.directToken || inHeartbeatReply
}

// attemptKey identifies one attempt of one task.
type attemptKey struct {
	task    string
	attempt uint64
}

func attemptKeyOf(status *protocol.TaskStatus) attemptKey {
	return attemptKey{status.Task, status.Attempt}
}

func forgetCommand(status *protocol.TaskStatus) protocol.Command {
	return protocol.Command{Verb: protocol.CommandForget, Task: status.Task, Attempt: status.Attempt}
}
