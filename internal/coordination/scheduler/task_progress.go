package scheduler

import (
	"log/slog"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

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
			s.emit(LogEntry{Level: slog.LevelDebug, Message: "task running", Args: []any{"job", a.job.id, "class", a.job.spec.Class, "task", a.index, "machine", a.machine.name,
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
		s.logWarn("task failed", "job", j.id, "task", index, "attempt", status.Attempt, "machine", m.name)
		s.recordFailure(j, m)
	case protocol.ReasonPeers, protocol.ReasonIncomplete:
		// Another task of the gang is gone, or did not come: neither the machine nor the job has failed.
		m.wastedCPUSeconds += ran * j.demand.CPUs
		s.logInfo("gang's task ended", "job", j.id, "task", index, "attempt", status.Attempt, "machine", m.name, "reason", status.Reason)
	case protocol.ReasonStopped:
		m.wastedCPUSeconds += ran * j.demand.CPUs
		if a.stopping && a.stopReason != stopReasonCancelled {
			j.stopCounts[index]++
		}
	case protocol.ReasonUnknownTask:
		// The job's description cannot be had; try again, but not at once.
		j.retryAt = s.now + limits.JobBackoffMin
		s.logWarn("start refused", "job", j.id, "task", index, "machine", m.name, "reason", status.Reason)
	default:
		s.logInfo("start refused", "job", j.id, "task", index, "machine", m.name, "reason", status.Reason)
	}
	s.tryCloseJob(j)
	return ended
}

// confirmStart notes that the worker has our start. Only where it was repeated can another copy
// still be on its way.
func (a *assignment) confirmStart() {
	a.directID = 0
	if !a.startRepeated {
		a.startUnconfirmed = false
	}
}

// learnRunTime takes a task's run time into the estimates.
func (s *Scheduler) learnRunTime(j *job, m *machine, ran float64) {
	if j.spec.EstimateS > 0 {
		class := j.class
		class.runSamples++
		weight := max(1/float64(class.runSamples), limits.RunTimeLearningRate)
		class.estimateRatio += weight * (ran/j.spec.EstimateS - class.estimateRatio)
	}
	if j.runCount >= 3 && j.gang == nil { // a gang runs at the speed of its slowest machine
		m.speedCount++
		m.speedSum += ran / (j.runSum / float64(j.runCount))
	}
	j.runSum += ran
	j.runCount++
}

// learnFetchTime takes the time that a task waited for its image into the estimates.
func (s *Scheduler) learnFetchTime(a *assignment) {
	class := a.job.class
	class.fetchSamples++
	class.fetchSeconds += max(1/float64(class.fetchSamples), limits.RunTimeLearningRate) * ((s.now - a.assignedAt).Seconds() - class.fetchSeconds)
	a.machine.fetchCPUSeconds += (s.now - a.assignedAt).Seconds() * a.job.demand.CPUs
	a.machine.cachedImages[a.job.spec.Image] = s.now
}
