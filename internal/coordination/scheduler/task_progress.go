package scheduler

import (
	"log/slog"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// confirmStart notes that the worker has our start. Only where it was repeated can another copy still
// be on its way.
func (a *assignment) confirmStart() {
	a.directID = 0
	if !a.startRepeated {
		a.startUnconfirmed = false
	}
}

// runTime returns how long the task has been seen running, in seconds; 0 if it is not running.
func (a *assignment) runTime(now time.Duration) float64 {
	if a.state != stateRunning {
		return 0
	}
	return (now - a.runningSince).Seconds()
}

// updateProgress notes what an assigned task is doing.
func (s *Scheduler) updateProgress(a *assignment, status *protocol.TaskStatus) {
	a.confirmStart()
	previous := a.state
	switch status.State {
	case protocol.TaskGathering:
		s.taskGathering(a)
	case protocol.TaskRunning:
		s.taskRunning(a)
	case protocol.TaskSaving:
		a.state = stateSaving
	default:
		a.state = stateFetching
	}
	if a.state != previous {
		s.gangs.markChanged(a.job.gang)
	}
	if a.job.cancelled {
		s.assignments.stop(a, stopReasonCancelled)
	}
}

// taskGathering notes that a task of a gang has its image and waits for the others.
func (s *Scheduler) taskGathering(a *assignment) {
	if a.state == stateGathering {
		return
	}
	a.learnFetchTime(s.now)
	a.state = stateGathering
	s.gangs.setCompletionDeadline(a.job.gang)
}

// taskRunning notes that a task runs.
func (s *Scheduler) taskRunning(a *assignment) {
	if a.state == stateRunning {
		return
	}
	if a.state != stateGathering {
		a.learnFetchTime(s.now)
	}
	a.state, a.runningSince = stateRunning, s.now
	spec := &a.job.spec
	s.emit(LogEntry{Level: slog.LevelDebug, Message: "task running", Args: []any{
		keyJob, a.job.id, "class", spec.Class, keyTask, a.index, keyMachine, a.machine.name,
		"age", (s.now - a.job.submittedAt).Seconds(),
		"queued", (a.assignedAt - a.job.submittedAt).Seconds(),
		"fetch", (s.now - a.assignedAt).Seconds(), "gb", spec.ImageGB,
	}})
}

// learnFetchTime adds the time that a task waited for its image to what is known of its class.
func (a *assignment) learnFetchTime(now time.Duration) {
	seconds := (now - a.assignedAt).Seconds()
	a.job.class.learnFetchTime(seconds)
	a.machine.fetchCPUSeconds += seconds * a.job.demand.CPUs
	a.machine.cachedImages[a.job.spec.Image] = now
}

// taskEnded handles the end of one of our tasks, or the refusal of its start.
func (s *Scheduler) taskEnded(a *assignment, status *protocol.TaskStatus) endedTask {
	j, m := a.job, a.machine
	runTime := a.runTime(s.now)
	s.assignments.release(a)
	s.gangs.taskEnded(a, status)
	ended := endedTask{mustNotForget: a.startUnconfirmed}
	switch status.Reason {
	case protocol.ReasonDone:
		s.taskCompleted(a, runTime, &ended)
	case protocol.ReasonError:
		m.wastedCPUSeconds += runTime * j.demand.CPUs
		s.logWarn("task failed", keyJob, j.id, keyTask, a.index, keyAttempt, status.Attempt, keyMachine, m.name)
		s.inventory.recordFailure(j, m)
	case protocol.ReasonPeerLost, protocol.ReasonGangIncomplete:
		// Another task of the gang is gone, or did not come: neither the machine nor the job has failed.
		m.wastedCPUSeconds += runTime * j.demand.CPUs
		s.logInfo("gang's task ended", keyJob, j.id, keyTask, a.index, keyAttempt, status.Attempt,
			keyMachine, m.name, keyReason, status.Reason)
	case protocol.ReasonStopped:
		m.wastedCPUSeconds += runTime * j.demand.CPUs
		if a.stopping && a.stopReason != stopReasonCancelled {
			j.stopCounts[a.index]++
		}
	case protocol.ReasonUnknownTask:
		// The job's description cannot be had; try again, but not at once.
		j.retryAt = s.now + limits.JobBackoffMin
		s.logWarn("start refused", keyJob, j.id, keyTask, a.index, keyMachine, m.name, keyReason, status.Reason)
	default:
		s.logInfo("start refused", keyJob, j.id, keyTask, a.index, keyMachine, m.name, keyReason, status.Reason)
	}
	s.tryCloseJob(j)
	return ended
}

// taskCompleted records the result of one of our tasks. The ended task refers to it, as the worker
// must keep the result until it is durable.
func (s *Scheduler) taskCompleted(a *assignment, runTime float64, ended *endedTask) {
	j, m := a.job, a.machine
	m.cachedImages[j.spec.Image] = s.now
	m.recordSuccess(runTime * j.demand.CPUs)
	if j.cancelled {
		return
	}
	doneWithGang := j.gang != nil && j.done.has(a.index)
	ended.job = j
	ended.chunk, ended.sequence = s.finished.recordDone(j, a.index)
	if runTime > 0 && !doneWithGang {
		j.learnRunTime(m, runTime)
	}
}

// learnRunTime adds a task's run time, in seconds, to what is known of its class, its job and its
// machine.
func (j *job) learnRunTime(m *machine, runTime float64) {
	if j.spec.EstimateS > 0 {
		j.class.learnRunTime(runTime / j.spec.EstimateS)
	}
	if j.runCount >= limits.MinRunTimeSamples && j.gang == nil { // a gang runs at the speed of its slowest machine
		m.speedCount++
		m.speedSum += runTime / (j.runSum / float64(j.runCount))
	}
	j.runSum += runTime
	j.runCount++
}
