package scheduler

import (
	"log/slog"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// takeTasks compares what a machine has with what we think it has. It returns commands about tasks that should not be there. The message is
// a report, or with direct set the answer to that direct command.
func (s *Scheduler) takeTasks(m *machine, r *protocol.Report, direct uint64) []protocol.Command {
	m.sequence = r.Sequence
	var commands []protocol.Command
	listed := make(map[string]bool, len(r.Tasks))
	exits := make(map[attemptKey]exit, len(m.exits))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		jobID, index, ok := protocol.ParseTaskName(t.Task)
		if !ok {
			continue
		}
		j := s.jobs[jobID]
		if j != nil && index >= j.spec.Tasks {
			j = nil
		}
		if t.State == protocol.Ended {
			x, ours := s.takeEnded(m, j, index, t)
			if ours {
				listed[t.Task] = true
			}
			exits[exitKey(t)] = x
			if !x.keep && x.durable() {
				commands = append(commands, protocol.Command{Verb: protocol.CommandForget, Task: t.Task, Attempt: t.Attempt})
			}
			continue
		}
		if s.takePresent(m, j, index, t) {
			listed[t.Task] = true
			continue
		}
		commands = append(commands, s.stopStray(m, j, t))
	}
	m.exits = exits
	s.takeMissing(m, listed, direct)
	return commands
}

// takeEnded takes a task that a machine lists as ended; j is its job, or nil if we do not know it. It tells whether the attempt was ours.
func (s *Scheduler) takeEnded(m *machine, j *job, index int, t *protocol.TaskReport) (x exit, ours bool) {
	b := m.bindings[t.Task]
	ours = b != nil && b.attempt == t.Attempt
	onItsWay := ours && (b.direct != 0 || b.unclear)
	if ours {
		b.arrived()
	}
	x, seen := m.exits[exitKey(t)]
	switch {
	case seen && ours:
		// The attempt had ended here before we sent it once more, as the gang's tasks share one. The start has no effect, as long as the
		// worker is not told to forget the attempt.
		s.unbind(b)
		x.keep = x.keep || onItsWay
		return x, true
	case seen:
		return x, false
	case ours:
		return s.ended(b, t), true
	case j == nil || t.Reason != protocol.ReasonDone || j.cancelled:
		return exit{}, false
	}
	// An attempt that we had given up, or one of an earlier term: the result counts. If the task is bound elsewhere meanwhile, it is
	// stopped there.
	x = exit{job: j}
	x.chunk, x.sequence = s.taskDone(j, index)
	if o := j.bound[index]; o != nil && o != b {
		if o.phase == assigned {
			s.unbind(o)
		} else {
			s.stopBinding(o, "done elsewhere")
		}
	}
	s.finish(j)
	return x, false
}

// takePresent takes a task that fetches, runs or saves on a machine; j is its job, or nil if we do not know it. It returns false if the
// task should not be there.
func (s *Scheduler) takePresent(m *machine, j *job, index int, t *protocol.TaskReport) bool {
	b := m.bindings[t.Task]
	if b != nil && b.phase != assigned && t.Attempt > b.attempt {
		// A later attempt than ours, of an earlier command of this term? Attempts rise, so ours is over.
		s.unbind(b)
		b = nil
	}
	switch {
	case b != nil && b.attempt == t.Attempt:
		s.progress(b, t)
	case j != nil && !getBit(j.done, index) && (j.bound[index] == nil || j.bound[index].phase == assigned):
		// Running, but not by our command: of an earlier term, mostly. It is ours now.
		if o := j.bound[index]; o != nil {
			s.unbind(o)
		}
		s.progress(s.bind(j, index, m, t.Attempt, sent), t)
		if s.recovered && !j.cancelled {
			s.note(true, "unexpected task adopted", "job", j.id, "task", index, "attempt", t.Attempt, "machine", m.name)
		}
	case b != nil && b.phase != assigned:
		// An older attempt is still here; our start is refused as busy. Keep the one that is here.
		newer := b.attempt
		s.unbind(b)
		s.progress(s.bind(j, index, m, t.Attempt, sent), t)
		s.note(true, "older attempt still there", "job", j.id, "task", index, "attempt", t.Attempt, "newer", newer, "machine", m.name)
	default:
		return false
	}
	return true
}

// stopStray ends a task that should not be on a machine.
func (s *Scheduler) stopStray(m *machine, j *job, t *protocol.TaskReport) protocol.Command {
	if j == nil || !j.cancelled {
		s.note(true, "stray task", "piece", t.Task, "attempt", t.Attempt, "machine", m.name)
	}
	zero := 0.0
	return protocol.Command{Verb: protocol.CommandStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero}
}

// takeMissing frees the tasks of a machine that a message does not list, where that proves that they are not there and will not come.
func (s *Scheduler) takeMissing(m *machine, listed map[string]bool, direct uint64) {
	for _, b := range m.sortedBinds() {
		if b.phase == assigned || listed[b.task] {
			continue
		}
		if b.phase == sent {
			switch {
			case b.unclear || (b.direct != 0 && b.direct != direct):
				continue // a direct start that may still arrive
			case b.direct == 0 && direct != 0:
				continue // the start went out in an answer to a report; that exchange may not be over yet
			}
			// It was in this very command; or it went out in the answer to an earlier report. The worker has one report in
			// flight and sends the next only once that exchange is over. Either way it can no longer arrive.
			if direct == 0 && b.direct == 0 {
				s.setVerified(m, false) // our answer did not reach it
			}
		} else {
			s.note(true, "task vanished", "job", b.job.id, "task", b.index, "attempt", b.attempt, "machine", m.name)
		}
		s.unbind(b)
	}
}

// attemptKey names one attempt of one task.
type attemptKey struct {
	piece string
	try   uint64
}

func exitKey(t *protocol.TaskReport) attemptKey { return attemptKey{t.Task, t.Attempt} }

// arrived notes that the worker has our start. Only where it was repeated can another copy still be on its way.
func (b *binding) arrived() {
	b.direct = 0
	if !b.resent {
		b.unclear = false
	}
}

// progress notes what a bound task is doing.
func (s *Scheduler) progress(b *binding, t *protocol.TaskReport) {
	b.arrived()
	before := b.phase
	switch t.State {
	case protocol.Gathering:
		if b.phase != gathering {
			s.learnFetch(b)
			b.phase = gathering
			s.gangGathers(b.job.gang)
		}
	case protocol.Running:
		if b.phase != running {
			if b.phase != gathering {
				s.learnFetch(b)
			}
			b.phase, b.runAt = running, s.now
			s.emit(Note{Level: slog.LevelDebug, Msg: "task running", Args: []any{"job", b.job.id, "class", b.job.spec.Class, "task", b.index, "machine", b.machine.name,
				"age", (s.now - b.job.at).Seconds(), "queued", (b.at - b.job.at).Seconds(), "fetch", (s.now - b.at).Seconds(), "gb", b.job.spec.ImageGB}})
		}
	case protocol.Saving:
		b.phase = saving
	default:
		b.phase = fetching
	}
	if b.phase != before {
		s.touchGang(b.job.gang)
	}
	if b.job.cancelled {
		s.stopBinding(b, "cancelled")
	}
}

// learnFetch takes the time that a task waited for its image into the estimates.
func (s *Scheduler) learnFetch(b *binding) {
	c := b.job.class
	c.seen++
	c.fetch += max(1/float64(c.seen), limits.LearnWeight) * ((s.now - b.at).Seconds() - c.fetch)
	b.machine.fetched += (s.now - b.at).Seconds() * b.job.need.cpu
	b.machine.images[b.job.spec.Image] = s.now
}

// ended takes the end of one of our tasks.
func (s *Scheduler) ended(b *binding, t *protocol.TaskReport) exit {
	j, m, idx := b.job, b.machine, b.index
	ran := 0.0
	if b.phase == running {
		ran = (s.now - b.runAt).Seconds()
	}
	s.unbind(b)
	s.gangTaskEnded(b, t)
	x := exit{keep: b.unclear}
	switch t.Reason {
	case protocol.ReasonDone:
		m.images[j.spec.Image] = s.now
		m.failures, m.failedJobs = 0, map[string]bool{}
		m.useful += ran * j.need.cpu
		if !j.cancelled {
			x.job = j
			known := j.gang != nil && getBit(j.done, idx)
			x.chunk, x.sequence = s.taskDone(j, idx)
			if ran > 0 && !known {
				s.learn(j, m, ran)
			}
		}
	case protocol.ReasonError:
		m.wasted += ran * j.need.cpu
		s.note(true, "task failed", "job", j.id, "task", idx, "attempt", t.Attempt, "machine", m.name)
		s.failed(j, m)
	case protocol.ReasonPeers, protocol.ReasonIncomplete:
		// Another task of the gang is gone, or did not come: neither the machine nor the job has failed.
		m.wasted += ran * j.need.cpu
		s.note(false, "gang's task ended", "job", j.id, "task", idx, "attempt", t.Attempt, "machine", m.name, "reason", t.Reason)
	case protocol.ReasonHalted:
		m.wasted += ran * j.need.cpu
		if b.stop && b.stopWhy != "cancelled" {
			j.stops[idx]++
		}
	case protocol.ReasonNoSuch:
		// The job's description cannot be had; try again, but not at once.
		j.resume = s.now + limits.JobBackoffMin
		s.note(true, "start refused", "job", j.id, "task", idx, "machine", m.name, "reason", t.Reason)
	default:
		s.note(false, "start refused", "job", j.id, "task", idx, "machine", m.name, "reason", t.Reason)
	}
	s.finish(j)
	return x
}

// learn takes a task's run time into the estimates.
func (s *Scheduler) learn(j *job, m *machine, ran float64) {
	if j.spec.EstimateS > 0 {
		c := j.class
		c.n++
		w := max(1/float64(c.n), limits.LearnWeight)
		c.ratio += w * (ran/j.spec.EstimateS - c.ratio)
	}
	if j.runCount >= 3 && j.gang == nil { // a gang runs at the speed of its slowest machine
		m.speedCount++
		m.speedSum += ran / (j.runSum / float64(j.runCount))
	}
	j.runSum += ran
	j.runCount++
}

// failed weighs who is to blame for a failure: the machine, or the job.
func (s *Scheduler) failed(j *job, m *machine) {
	j.failOn[m.name] = true
	if len(j.failOn) >= limits.JobFaultMachines {
		// It fails wherever it goes, with no success between. It waits longer and longer, and its failures
		// condemn no machine.
		j.backoff = min(max(2*j.backoff, limits.JobBackoffMin), limits.JobBackoffMax)
		j.resume = s.now + j.backoff
		for _, o := range s.fleet {
			delete(o.failedJobs, j.id)
		}
		return
	}
	m.failures++
	m.failedJobs[j.id] = true
}
