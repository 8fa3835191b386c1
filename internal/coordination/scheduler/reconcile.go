package scheduler

import "quillshunt/internal/protocol"

// reconcileTasks compares the tasks that a machine lists with our assignments. It returns commands
// about tasks that should not be there. The message is a heartbeat, or with directID set the answer to
// that direct command.
func (s *Scheduler) reconcileTasks(m *machine, heartbeat *protocol.Heartbeat, directID uint64) []protocol.Command {
	m.sequence = heartbeat.Sequence
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
			if ended.mayForget() {
				commands = append(commands, forgetCommand(status))
			}
			continue
		}
		if s.reconcileActiveTask(m, j, index, status) {
			listed[status.Task] = true
			continue
		}
		commands = append(commands, s.stopUnexpectedTask(m, j, status))
	}
	m.endedTasks = endedTasks
	s.reconcileMissingTasks(m, listed, directID)
	return commands
}

// reconcileEndedTask handles a task that a machine lists as ended; j is its job, or nil if we do not
// know it. It reports whether the attempt was ours.
func (s *Scheduler) reconcileEndedTask(
	m *machine, j *job, index int, status *protocol.TaskStatus,
) (ended endedTask, isAssigned bool) {
	a := m.assignments[status.Task]
	isAssigned = a != nil && a.attempt == status.Attempt
	startMayArrive := isAssigned && (a.directID != 0 || a.startUnconfirmed)
	if isAssigned {
		a.confirmStart()
	}
	ended, alreadyEnded := m.endedTasks[attemptKeyOf(status)]
	switch {
	case alreadyEnded && isAssigned:
		// The attempt had ended here before we sent it once more, as the gang's tasks share one.
		// The start has no effect, as long as the worker is not told to forget the attempt.
		s.assignments.release(a)
		ended.startMayArrive = ended.startMayArrive || startMayArrive
		return ended, true
	case alreadyEnded:
		return ended, false
	case isAssigned:
		return s.taskEnded(a, status), true
	case j == nil || status.Reason != protocol.ReasonDone || j.cancelled:
		return endedTask{}, false
	}
	return s.recordUnassignedResult(a, j, index), false
}

// recordUnassignedResult records the result of an attempt that we had given up, or of one of an earlier
// term. If the task is assigned elsewhere meanwhile, it is stopped there; a is the assignment to the
// machine that has the result, if there is one.
func (s *Scheduler) recordUnassignedResult(a *assignment, j *job, index int) endedTask {
	ended := endedTask{job: j}
	ended.chunk, ended.sequence = s.finished.recordCompletion(j, index)
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

// reconcileActiveTask handles a task that fetches, gathers, runs or saves on a machine; j is its job,
// or nil if we do not know it. It returns false if the task should not be there.
func (s *Scheduler) reconcileActiveTask(m *machine, j *job, index int, status *protocol.TaskStatus) bool {
	a := m.assignments[status.Task]
	if a != nil && a.state != stateUnsent && status.Attempt > a.attempt {
		// A later attempt than ours: attempts rise, so ours is over.
		s.assignments.release(a)
		a = nil
	}
	switch {
	case a != nil && a.attempt == status.Attempt:
		s.updateProgress(a, status)
	case j != nil && j.mayAdopt(index):
		// Running, but not by our command: of an earlier term, mostly. It is ours now.
		if unsent := j.assignments[index]; unsent != nil {
			s.assignments.release(unsent)
		}
		s.updateProgress(s.assignments.assign(j, index, m, status.Attempt, stateSent), status)
		if s.recovery.hasEnded() && !j.cancelled {
			s.logWarn("unexpected task adopted",
				keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, keyMachine, m.name)
		}
	case a != nil && a.state != stateUnsent:
		// An older attempt is still here; our start is refused as busy. Keep the one that is here.
		newer := a.attempt
		s.assignments.release(a)
		s.updateProgress(s.assignments.assign(j, index, m, status.Attempt, stateSent), status)
		s.logWarn("older attempt still there",
			keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, "newer", newer, keyMachine, m.name)
	default:
		return false
	}
	return true
}

// mayAdopt reports whether a task that is found on a machine can be taken over there: it is not done,
// and no start of it has gone out.
func (j *job) mayAdopt(index int) bool {
	a := j.assignments[index]
	return !j.done.has(index) && (a == nil || a.state == stateUnsent)
}

// stopUnexpectedTask returns the command that ends a task that should not be on a machine.
func (s *Scheduler) stopUnexpectedTask(m *machine, j *job, status *protocol.TaskStatus) protocol.Command {
	if j == nil || !j.cancelled {
		s.logWarn("unexpected task stopped", keyTask, status.Task, keyAttempt, status.Attempt, keyMachine, m.name)
	}
	noGrace := 0.0
	return protocol.Command{Verb: protocol.CommandStop, Task: status.Task, Attempt: status.Attempt, GraceS: &noGrace}
}

// reconcileMissingTasks releases the tasks of a machine that a message does not list, where that proves
// that they are not there and will not come.
func (s *Scheduler) reconcileMissingTasks(m *machine, listed map[string]bool, directID uint64) {
	for _, a := range m.sortedAssignments() {
		switch {
		case a.state == stateUnsent || listed[a.taskName]:
			continue
		case a.state != stateSent:
			s.logWarn("task vanished", keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt, keyMachine, m.name)
		case a.startMayArriveAfter(directID):
			continue
		case directID == 0:
			s.reachability.setVerified(m, false) // our answer did not reach it
		}
		s.assignments.release(a)
	}
}

// startMayArriveAfter reports whether a start that was sent may still arrive after a message that does
// not list its task: the answer to the direct command directID, or a heartbeat if that is 0.
//
// It cannot if it was in that very command, or in the answer to an earlier heartbeat: the worker has one
// heartbeat in flight and sends the next only once that exchange is over.
func (a *assignment) startMayArriveAfter(directID uint64) bool {
	if a.startUnconfirmed {
		return true // sent directly, without an answer
	}
	return a.directID != directID
}

// attemptKey names one attempt of one task.
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
