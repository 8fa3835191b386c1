package scheduler

import (
	"log/slog"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// reconcileTasks compares what a machine has with what we think it has. It returns commands about
// tasks that should not be there. The message is a report, or with direct set the answer to that
// direct command.
func (s *Scheduler) reconcileTasks(m *machine, r *protocol.Heartbeat, direct uint64) []protocol.Command {
	m.sequence = r.Sequence
	var commands []protocol.Command
	listed := make(map[string]bool, len(r.Tasks))
	exits := make(map[attemptKey]endedTask, len(m.endedTasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		jobID, index, ok := protocol.ParseTaskName(t.Task)
		if !ok {
			continue
		}
		j := s.jobs.byID[jobID]
		if j != nil && index >= j.spec.Tasks {
			j = nil
		}
		if t.State == protocol.Ended {
			x, ours := s.reconcileEndedTask(m, j, index, t)
			if ours {
				listed[t.Task] = true
			}
			exits[attemptKeyOf(t)] = x
			if !x.mustNotForget && x.isDurable() {
				commands = append(commands, protocol.Command{Verb: protocol.CommandForget, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		if s.reconcilePresentTask(m, j, index, t) {
			listed[t.Task] = true
			continue
		}
		commands = append(commands, s.stopUnexpectedTask(m, j, t))
	}
	m.endedTasks = exits
	s.reconcileMissingTasks(m, listed, direct)
	return commands
}

// reconcileEndedTask takes a task that a machine lists as ended; j is its job, or nil if we do not
// know it. It tells whether the attempt was ours.
func (s *Scheduler) reconcileEndedTask(m *machine, j *job, index int, t *protocol.TaskStatus) (x endedTask, ours bool) {
	b := m.assignments[t.Task]
	ours = b != nil && b.attempt == t.Attempt
	onItsWay := ours && (b.directID != 0 || b.startUnconfirmed)
	if ours {
		b.confirmStart()
	}
	x, seen := m.endedTasks[attemptKeyOf(t)]
	switch {
	case seen && ours:
		// The attempt had ended here before we sent it once more, as the gang's tasks share one.
		// The start has no effect, as long as the worker is not told to forget the attempt.
		s.release(b)
		x.mustNotForget = x.mustNotForget || onItsWay
		return x, true
	case seen:
		return x, false
	case ours:
		return s.taskEnded(b, t), true
	case j == nil || t.Reason != protocol.ReasonDone || j.cancelled:
		return endedTask{}, false
	}
	// An attempt that we had given up, or one of an earlier term: the result counts. If the task is
	// bound elsewhere meanwhile, it is stopped there.
	x = endedTask{job: j}
	x.chunk, x.sequence = s.recordTaskDone(j, index)
	if o := j.assignments[index]; o != nil && o != b {
		if o.state == stateUnsent {
			s.release(o)
		} else {
			s.stopAssignment(o, "done elsewhere")
		}
	}
	s.tryCloseJob(j)
	return x, false
}

// reconcilePresentTask takes a task that fetches, runs or saves on a machine; j is its job, or nil
// if we do not know it. It returns false if the task should not be there.
func (s *Scheduler) reconcilePresentTask(m *machine, j *job, index int, t *protocol.TaskStatus) bool {
	b := m.assignments[t.Task]
	if b != nil && b.state != stateUnsent && t.Attempt > b.attempt {
		// A later attempt than ours, of an earlier command of this term? Attempts rise, so ours is over.
		s.release(b)
		b = nil
	}
	switch {
	case b != nil && b.attempt == t.Attempt:
		s.updateProgress(b, t)
	case j != nil && !getBit(j.doneBits, index) && (j.assignments[index] == nil || j.assignments[index].state == stateUnsent):
		// Running, but not by our command: of an earlier term, mostly. It is ours now.
		if o := j.assignments[index]; o != nil {
			s.release(o)
		}
		s.updateProgress(s.assign(j, index, m, t.Attempt, stateSent), t)
		if s.recovery.ended && !j.cancelled {
			s.log(true, "unexpected task adopted", "job", j.id, "task", index, "attempt", t.Attempt, "machine", m.name)
		}
	case b != nil && b.state != stateUnsent:
		// An older attempt is still here; our start is refused as busy. Keep the one that is here.
		newer := b.attempt
		s.release(b)
		s.updateProgress(s.assign(j, index, m, t.Attempt, stateSent), t)
		s.log(true, "older attempt still there", "job", j.id, "task", index, "attempt", t.Attempt, "newer", newer, "machine", m.name)
	default:
		return false
	}
	return true
}

// stopUnexpectedTask ends a task that should not be on a machine.
func (s *Scheduler) stopUnexpectedTask(m *machine, j *job, t *protocol.TaskStatus) protocol.Command {
	if j == nil || !j.cancelled {
		s.log(true, "stray task", "piece", t.Task, "attempt", t.Attempt, "machine", m.name)
	}
	zero := 0.0
	return protocol.Command{Verb: protocol.CommandStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
}

// reconcileMissingTasks frees the tasks of a machine that a message does not list, where that
// proves that they are not there and will not come.
func (s *Scheduler) reconcileMissingTasks(m *machine, listed map[string]bool, direct uint64) {
	for _, b := range m.sortedAssignments() {
		if b.state == stateUnsent || listed[b.taskName] {
			continue
		}
		if b.state == stateSent {
			switch {
			case b.startUnconfirmed || (b.directID != 0 && b.directID != direct):
				continue // a direct start that may still arrive
			case b.directID == 0 && direct != 0:
				continue // the start went out in an answer to a report; that exchange may not be over yet
			}
			// It was in this very command; or it went out in the answer to an earlier report. The
			// worker has one report in flight and sends the next only once that exchange is over.
			// Either way it can no longer arrive.
			if direct == 0 && b.directID == 0 {
				s.setVerified(m, false) // our answer did not reach it
			}
		} else {
			s.log(true, "task vanished", "job", b.job.id, "task", b.index, "attempt", b.attempt, "machine", m.name)
		}
		s.release(b)
	}
}

// attemptKey names one attempt of one task.
type attemptKey struct {
	task    string
	attempt uint64
}

func attemptKeyOf(t *protocol.TaskStatus) attemptKey { return attemptKey{t.Task, t.Attempt} }

// confirmStart notes that the worker has our start. Only where it was repeated can another copy
// still be on its way.
func (b *assignment) confirmStart() {
	b.directID = 0
	if !b.startRepeated {
		b.startUnconfirmed = false
	}
}

// updateProgress notes what a bound task is doing.
func (s *Scheduler) updateProgress(b *assignment, t *protocol.TaskStatus) {
	b.confirmStart()
	before := b.state
	switch t.State {
	case protocol.Gathering:
		if b.state != stateGathering {
			s.learnFetchTime(b)
			b.state = stateGathering
			s.gangTaskGathering(b.job.gang)
		}
	case protocol.Running:
		if b.state != stateRunning {
			if b.state != stateGathering {
				s.learnFetchTime(b)
			}
			b.state, b.runningSince = stateRunning, s.now
			s.emit(LogEntry{Level: slog.LevelDebug, Message: "task running", Args: []any{"job", b.job.id, "class", b.job.spec.Class, "task", b.index, "machine", b.machine.name,
				"age", (s.now - b.job.submittedAt).Seconds(), "queued", (b.assignedAt - b.job.submittedAt).Seconds(), "fetch", (s.now - b.assignedAt).Seconds(), "gb", b.job.spec.ImageGB}})
		}
	case protocol.Saving:
		b.state = stateSaving
	default:
		b.state = stateFetching
	}
	if b.state != before {
		s.markGangChanged(b.job.gang)
	}
	if b.job.cancelled {
		s.stopAssignment(b, "cancelled")
	}
}

// learnFetchTime takes the time that a task waited for its image into the estimates.
func (s *Scheduler) learnFetchTime(b *assignment) {
	c := b.job.class
	c.fetchSamples++
	c.fetchSeconds += max(1/float64(c.fetchSamples), limits.LearnWeight) * ((s.now - b.assignedAt).Seconds() - c.fetchSeconds)
	b.machine.fetchCPUSeconds += (s.now - b.assignedAt).Seconds() * b.job.demand.CPUs
	b.machine.cachedImages[b.job.spec.Image] = s.now
}

// taskEnded takes the end of one of our tasks.
func (s *Scheduler) taskEnded(b *assignment, t *protocol.TaskStatus) endedTask {
	j, m, idx := b.job, b.machine, b.index
	ran := 0.0
	if b.state == stateRunning {
		ran = (s.now - b.runningSince).Seconds()
	}
	s.release(b)
	s.gangTaskEnded(b, t)
	x := endedTask{mustNotForget: b.startUnconfirmed}
	switch t.Reason {
	case protocol.ReasonDone:
		m.cachedImages[j.spec.Image] = s.now
		m.consecutiveFailures, m.failedJobs = 0, map[string]bool{}
		m.usefulCPUSeconds += ran * j.demand.CPUs
		if !j.cancelled {
			x.job = j
			known := j.gang != nil && getBit(j.doneBits, idx)
			x.chunk, x.sequence = s.recordTaskDone(j, idx)
			if ran > 0 && !known {
				s.learnRunTime(j, m, ran)
			}
		}
	case protocol.ReasonError:
		m.wastedCPUSeconds += ran * j.demand.CPUs
		s.log(true, "task failed", "job", j.id, "task", idx, "attempt", t.Attempt, "machine", m.name)
		s.recordFailure(j, m)
	case protocol.ReasonPeers, protocol.ReasonIncomplete:
		// Another task of the gang is gone, or did not come: neither the machine nor the job has failed.
		m.wastedCPUSeconds += ran * j.demand.CPUs
		s.log(false, "gang's task ended", "job", j.id, "task", idx, "attempt", t.Attempt, "machine", m.name, "reason", t.Reason)
	case protocol.ReasonStopped:
		m.wastedCPUSeconds += ran * j.demand.CPUs
		if b.stopping && b.stopReason != "cancelled" {
			j.stopCounts[idx]++
		}
	case protocol.ReasonUnknownTask:
		// The job's description cannot be had; try again, but not at once.
		j.retryAt = s.now + limits.JobBackoffMin
		s.log(true, "start refused", "job", j.id, "task", idx, "machine", m.name, "reason", t.Reason)
	default:
		s.log(false, "start refused", "job", j.id, "task", idx, "machine", m.name, "reason", t.Reason)
	}
	s.tryCloseJob(j)
	return x
}

// learnRunTime takes a task's run time into the estimates.
func (s *Scheduler) learnRunTime(j *job, m *machine, ran float64) {
	if j.spec.EstimateS > 0 {
		c := j.class
		c.runSamples++
		w := max(1/float64(c.runSamples), limits.LearnWeight)
		c.estimateRatio += w * (ran/j.spec.EstimateS - c.estimateRatio)
	}
	if j.runCount >= 3 && j.gang == nil { // a gang runs at the speed of its slowest machine
		m.speedCount++
		m.speedSum += ran / (j.runSum / float64(j.runCount))
	}
	j.runSum += ran
	j.runCount++
}

// recordFailure weighs who is to blame for a failure: the machine, or the job.
func (s *Scheduler) recordFailure(j *job, m *machine) {
	j.failedMachines[m.name] = true
	if len(j.failedMachines) >= limits.JobFaultMachines {
		// It fails wherever it goes, with no success between. It waits longer and longer, and its
		// failures condemn no machine.
		j.backoff = min(max(2*j.backoff, limits.JobBackoffMin), limits.JobBackoffMax)
		j.retryAt = s.now + j.backoff
		for _, o := range s.inventory.sorted {
			delete(o.failedJobs, j.id)
		}
		return
	}
	m.consecutiveFailures++
	m.failedJobs[j.id] = true
}
