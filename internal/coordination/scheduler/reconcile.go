package scheduler

import (
	"log/slog"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// reconcileTasks compares what a machine has with what we think it has. It returns commands about
// tasks that should not be there. The message is a report, or with direct set the answer to that
// direct command.
func (s *Scheduler) reconcileTasks(m *machine, heartbeat *protocol.Heartbeat, directID uint64) []protocol.Command {
	m.sequence = heartbeat.Sequence
	var commands []protocol.Command
	listed := make(map[string]bool, len(heartbeat.Tasks))
	ended := make(map[attemptKey]endedTask, len(m.endedTasks))
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
			task, ours := s.reconcileEndedTask(m, j, index, status)
			if ours {
				listed[status.Task] = true
			}
			ended[attemptKeyOf(status)] = task
			if !task.mustNotForget && task.isDurable() {
				commands = append(commands, protocol.Command{Verb: protocol.CommandForget, Task: status.Task, Attempt: status.Attempt})
			}
			continue
		}
		if s.reconcilePresentTask(m, j, index, status) {
			listed[status.Task] = true
			continue
		}
		commands = append(commands, s.stopUnexpectedTask(m, j, status))
	}
	m.endedTasks = ended
	s.reconcileMissingTasks(m, listed, directID)
	return commands
}

// reconcileEndedTask takes a task that a machine lists as ended; j is its job, or nil if we do not
// know it. It tells whether the attempt was ours.
func (s *Scheduler) reconcileEndedTask(m *machine, j *job, index int, status *protocol.TaskStatus) (ended endedTask, ours bool) {
	a := m.assignments[status.Task]
	ours = a != nil && a.attempt == status.Attempt
	onItsWay := ours && (a.directID != 0 || a.startUnconfirmed)
	if ours {
		a.confirmStart()
	}
	ended, seen := m.endedTasks[attemptKeyOf(status)]
	switch {
	case seen && ours:
		// The attempt had ended here before we sent it once more, as the gang's tasks share one.
		// The start has no effect, as long as the worker is not told to forget the attempt.
		s.release(a)
		ended.mustNotForget = ended.mustNotForget || onItsWay
		return ended, true
	case seen:
		return ended, false
	case ours:
		return s.taskEnded(a, status), true
	case j == nil || status.Reason != protocol.ReasonDone || j.cancelled:
		return endedTask{}, false
	}
	// An attempt that we had given up, or one of an earlier term: the result counts. If the task is
	// bound elsewhere meanwhile, it is stopped there.
	ended = endedTask{job: j}
	ended.chunk, ended.sequence = s.finished.recordDone(j, index)
	if other := j.assignments[index]; other != nil && other != a {
		if other.state == stateUnsent {
			s.release(other)
		} else {
			s.stopAssignment(other, stopReasonDoneElsewhere)
		}
	}
	s.tryCloseJob(j)
	return ended, false
}

// reconcilePresentTask takes a task that fetches, runs or saves on a machine; j is its job, or nil
// if we do not know it. It returns false if the task should not be there.
func (s *Scheduler) reconcilePresentTask(m *machine, j *job, index int, status *protocol.TaskStatus) bool {
	a := m.assignments[status.Task]
	if a != nil && a.state != stateUnsent && status.Attempt > a.attempt {
		// A later attempt than ours, of an earlier command of this term? Attempts rise, so ours is over.
		s.release(a)
		a = nil
	}
	switch {
	case a != nil && a.attempt == status.Attempt:
		s.updateProgress(a, status)
	case j != nil && !j.done.has(index) && (j.assignments[index] == nil || j.assignments[index].state == stateUnsent):
		// Running, but not by our command: of an earlier term, mostly. It is ours now.
		if unsent := j.assignments[index]; unsent != nil {
			s.release(unsent)
		}
		s.updateProgress(s.assign(j, index, m, status.Attempt, stateSent), status)
		if s.recovery.hasEnded() && !j.cancelled {
			s.logWarn("unexpected task adopted", keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, keyMachine, m.name)
		}
	case a != nil && a.state != stateUnsent:
		// An older attempt is still here; our start is refused as busy. Keep the one that is here.
		newer := a.attempt
		s.release(a)
		s.updateProgress(s.assign(j, index, m, status.Attempt, stateSent), status)
		s.logWarn("older attempt still there", keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, "newer", newer, keyMachine, m.name)
	default:
		return false
	}
	return true
}

// stopUnexpectedTask ends a task that should not be on a machine.
func (s *Scheduler) stopUnexpectedTask(m *machine, j *job, status *protocol.TaskStatus) protocol.Command {
	if j == nil || !j.cancelled {
		s.logWarn("stray task", keyTask, status.Task, keyAttempt, status.Attempt, keyMachine, m.name)
	}
	noGrace := 0.0
	return protocol.Command{Verb: protocol.CommandStop, Task: status.Task, Attempt: status.Attempt, GraceS: &noGrace}
}

// reconcileMissingTasks frees the tasks of a machine that a message does not list, where that
// proves that they are not there and will not come.
func (s *Scheduler) reconcileMissingTasks(m *machine, listed map[string]bool, directID uint64) {
	for _, a := range m.sortedAssignments() {
		if a.state == stateUnsent || listed[a.taskName] {
			continue
		}
		if a.state == stateSent {
			switch {
			case a.startUnconfirmed || (a.directID != 0 && a.directID != directID):
				continue // a direct start that may still arrive
			case a.directID == 0 && directID != 0:
				continue // the start went out in an answer to a report; that exchange may not be over yet
			}
			// It was in this very command; or it went out in the answer to an earlier report. The
			// worker has one report in flight and sends the next only once that exchange is over.
			// Either way it can no longer arrive.
			if directID == 0 && a.directID == 0 {
				s.setVerified(m, false) // our answer did not reach it
			}
		} else {
			s.logWarn("task vanished", keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt, keyMachine, m.name)
		}
		s.release(a)
	}
}

// attemptKey names one attempt of one task.
type attemptKey struct {
	task    string
	attempt uint64
}

func attemptKeyOf(status *protocol.TaskStatus) attemptKey {
	return attemptKey{status.Task, status.Attempt}
}

// confirmStart notes that the worker has our start. Only where it was repeated can another copy
// still be on its way.
func (a *assignment) confirmStart() {
	a.directID = 0
	if !a.startRepeated {
		a.startUnconfirmed = false
	}
}

// updateProgress notes what a bound task is doing.
func (s *Scheduler) updateProgress(a *assignment, status *protocol.TaskStatus) {
	a.confirmStart()
	previous := a.state
	switch status.State {
	case protocol.TaskGathering:
		if a.state != stateGathering {
			s.learnFetchTime(a)
			a.state = stateGathering
			s.gangs.taskGathering(a.job.gang)
		}
	case protocol.TaskRunning:
		if a.state != stateRunning {
			if a.state != stateGathering {
				s.learnFetchTime(a)
			}
			a.state, a.runningSince = stateRunning, s.now
			s.emit(LogEntry{Level: slog.LevelDebug, Message: "task running", Args: []any{keyJob, a.job.id, "class", a.job.spec.Class, keyTask, a.index, keyMachine, a.machine.name,
				"age", (s.now - a.job.submittedAt).Seconds(), "queued", (a.assignedAt - a.job.submittedAt).Seconds(), "fetch", (s.now - a.assignedAt).Seconds(), "gb", a.job.spec.ImageGB}})
		}
	case protocol.TaskSaving:
		a.state = stateSaving
	default:
		a.state = stateFetching
	}
	if a.state != previous {
		s.gangs.markChanged(a.job.gang)
	}
	if a.job.cancelled {
		s.stopAssignment(a, stopReasonCancelled)
	}
}

// taskEnded takes the end of one of our tasks.
func (s *Scheduler) taskEnded(a *assignment, status *protocol.TaskStatus) endedTask {
	j, m, index := a.job, a.machine, a.index
	ran := 0.0
	if a.state == stateRunning {
		ran = (s.now - a.runningSince).Seconds()
	}
	s.release(a)
	s.gangs.taskEnded(a, status)
	ended := endedTask{mustNotForget: a.startUnconfirmed}
	switch status.Reason {
	case protocol.ReasonDone:
		m.cachedImages[j.spec.Image] = s.now
		m.consecutiveFailures, m.failedJobs = 0, map[string]bool{}
		m.usefulCPUSeconds += ran * j.demand.CPUs
		if !j.cancelled {
			ended.job = j
			knownDone := j.gang != nil && j.done.has(index)
			ended.chunk, ended.sequence = s.finished.recordDone(j, index)
			if ran > 0 && !knownDone {
				s.learnRunTime(j, m, ran)
			}
		}
	case protocol.ReasonError:
		m.wastedCPUSeconds += ran * j.demand.CPUs
		s.logWarn("task failed", keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, keyMachine, m.name)
		s.recordFailure(j, m)
	case protocol.ReasonPeers, protocol.ReasonIncomplete:
		// Another task of the gang is gone, or did not come: neither the machine nor the job has failed.
		m.wastedCPUSeconds += ran * j.demand.CPUs
		s.logInfo("gang's task ended", keyJob, j.id, keyTask, index, keyAttempt, status.Attempt, keyMachine, m.name, keyReason, status.Reason)
	case protocol.ReasonStopped:
		m.wastedCPUSeconds += ran * j.demand.CPUs
		if a.stopping && a.stopReason != stopReasonCancelled {
			j.stopCounts[index]++
		}
	case protocol.ReasonUnknownTask:
		// The job's description cannot be had; try again, but not at once.
		j.retryAt = s.now + limits.JobBackoffMin
		s.logWarn("start refused", keyJob, j.id, keyTask, index, keyMachine, m.name, keyReason, status.Reason)
	default:
		s.logInfo("start refused", keyJob, j.id, keyTask, index, keyMachine, m.name, keyReason, status.Reason)
	}
	s.tryCloseJob(j)
	return ended
}
