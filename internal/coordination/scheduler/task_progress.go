package scheduler

import (
	"log/slog"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// confirmStart records that the worker has received the start of the attempt.
func (a *assignment) confirmStart() { a.directID, a.startUnconfirmed = 0, false }

// runTime returns the time since the task was first reported as running; 0 if it is not running.
func (a *assignment) runTime(now time.Duration) time.Duration {
	if a.state != stateRunning {
		return 0
	}
	return now - a.runningSince
}

// unsavedRunTime returns the run time since the last checkpoint that the task has saved by itself, or since its
// start if it saves none. A task whose checkpoint interval is below the resolution of a duration has nothing
// unsaved.
func (a *assignment) unsavedRunTime(now time.Duration) time.Duration {
	ran := a.runTime(now)
	if a.job.spec.CheckpointS == 0 {
		return ran
	}
	interval := limits.Seconds(a.job.spec.CheckpointS)
	if interval == 0 {
		return 0
	}
	return ran % interval
}

// updateProgress updates an assignment from the state of the task that its worker reports.
func (s *Scheduler) updateProgress(a *assignment, status *protocol.TaskStatus) {
	a.confirmStart()
	previous := a.state
	switch status.State {
	case protocol.TaskGathering:
		s.handleTaskGathering(a)
	case protocol.TaskRunning:
		s.handleTaskRunning(a)
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

// handleTaskGathering records that a task of a gang has its image and waits for the other tasks of the gang.
func (s *Scheduler) handleTaskGathering(a *assignment) {
	if a.state == stateGathering {
		return
	}
	a.recordFetchTime(s.now)
	a.state = stateGathering
	s.gangs.setCompletionDeadline(a.job.gang)
}

// handleTaskRunning records that a task is running, and since when.
func (s *Scheduler) handleTaskRunning(a *assignment) {
	if a.state == stateRunning {
		return
	}
	if a.state != stateGathering {
		a.recordFetchTime(s.now)
	}
	a.state, a.runningSince = stateRunning, s.now
	spec := &a.job.spec
	s.emit(LogEntry{Level: slog.LevelDebug, Message: "task running", Args: []any{
		keyJob, a.job.id, "class", spec.Class, keyTask, a.index, keyMachine, a.machine.name,
		"job_age_s", (s.now - a.job.submittedAt).Seconds(),
		"queued_s", (a.assignedAt - a.job.submittedAt).Seconds(),
		"fetch_s", (s.now - a.assignedAt).Seconds(), "image_gb", spec.ImageGB,
	}})
}

// recordFetchTime adds the time that a task waited for its image to the statistics of its class and its
// machine.
func (a *assignment) recordFetchTime(now time.Duration) {
	seconds := (now - a.assignedAt).Seconds()
	a.job.class.recordFetchTime(seconds)
	a.machine.fetchCPUSeconds += seconds * a.job.demand.CPUs
	a.machine.cachedImages[a.job.spec.Image] = now
}

// handleTaskEnded handles the end of an assigned task, or the worker's refusal to start it.
func (s *Scheduler) handleTaskEnded(a *assignment, status *protocol.TaskStatus) endedTask {
	j, m := a.job, a.machine
	runTime := a.runTime(s.now).Seconds()
	s.assignments.release(a)
	s.gangs.handleTaskEnded(a, status)
	var ended endedTask
	switch status.Reason {
	case protocol.ReasonDone:
		s.handleTaskCompleted(a, runTime, &ended)
	case protocol.ReasonError:
		m.wastedCPUSeconds += runTime * j.demand.CPUs
		s.logWarn("task failed", keyJob, j.id, keyTask, a.index, keyAttempt, status.Attempt, keyMachine, m.name)
		s.inventory.recordFailure(j, m)
	case protocol.ReasonPeerLost, protocol.ReasonGangIncomplete:
		// Another task of the gang was lost or did not join in time. This is a failure of neither the
		// machine nor the job.
		m.wastedCPUSeconds += runTime * j.demand.CPUs
		s.logInfo("gang task ended without its peers", keyJob, j.id, keyTask, a.index, keyAttempt, status.Attempt,
			keyMachine, m.name, keyReason, status.Reason)
	case protocol.ReasonStopped:
		m.wastedCPUSeconds += runTime * j.demand.CPUs
		if a.stopping && a.stopReason != stopReasonCancelled {
			j.stopCounts[a.index]++
		}
	case protocol.ReasonUnknownTask:
		// The worker could not obtain the job's description. Retry after a delay.
		j.retryAt = s.now + limits.JobBackoffMin
		s.logWarn("task start refused", keyJob, j.id, keyTask, a.index, keyMachine, m.name, keyReason, status.Reason)
	default:
		s.logInfo("task start refused", keyJob, j.id, keyTask, a.index, keyMachine, m.name, keyReason, status.Reason)
	}
	s.tryCloseJob(j)
	return ended
}

// handleTaskCompleted records the result of an assigned task. It stores in ended which chunk contains the
// result, because the worker must keep the result until that chunk is durable.
func (s *Scheduler) handleTaskCompleted(a *assignment, runTime float64, ended *endedTask) {
	j, m := a.job, a.machine
	m.cachedImages[j.spec.Image] = s.now
	m.recordSuccess(runTime * j.demand.CPUs)
	if j.cancelled {
		return
	}
	doneWithGang := j.gang != nil && j.done.has(a.index)
	ended.job = j
	ended.chunk, ended.sequence = s.finishedTasks.recordCompletion(j, a.index)
	if runTime > 0 && !doneWithGang {
		j.recordRunTime(m, runTime)
	}
}

// recordRunTime adds a task's run time, in seconds, to the statistics of its class, its job and its
// machine.
func (j *job) recordRunTime(m *machine, runTime float64) {
	if j.spec.EstimateS > 0 {
		j.class.recordRunTime(runTime, j.spec.EstimateS)
	}
	if j.runTimeCount >= limits.MinRunTimeSamples && j.gang == nil { // a gang runs at the speed of its slowest machine
		m.runTimeRatioCount++
		m.runTimeRatioSum += runTime / (j.runTimeSum / float64(j.runTimeCount))
	}
	j.runTimeSum += runTime
	j.runTimeCount++
}
