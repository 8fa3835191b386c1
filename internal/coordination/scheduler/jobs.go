package scheduler

import (
	"slices"
	"sort"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// jobTable holds the jobs that are not over, with their teams and classes.
type jobTable struct {
	*environment
	byID         map[string]*job
	closed       map[string]bool // jobs over in this term; a late record of one must not open it again
	bySubmission []*job
	teams        map[string]*team
	classes      map[string]*jobClass
}

// newJobTable returns a table without jobs, with the teams of the settings.
func newJobTable(env *environment) *jobTable {
	t := &jobTable{
		environment: env,
		byID:        map[string]*job{},
		closed:      map[string]bool{},
		teams:       map[string]*team{},
		classes:     map[string]*jobClass{},
	}
	for _, settings := range env.cfg.Teams {
		t.teams[settings.Name] = &team{cfg: settings}
	}
	return t
}

func (s *Scheduler) jobChanged(e JobChanged) {
	j := s.jobs.byID[e.JobID]
	if j == nil {
		if s.jobs.closed[e.JobID] {
			return
		}
		t := s.jobs.teams[e.Record.Spec.Team]
		if t == nil {
			return // a team that the settings no longer know; its jobs stay as they are
		}
		u, _ := protocol.ParsePriority(e.Record.Spec.Priority)
		words := (e.Record.Spec.Tasks + 63) / 64
		j = &job{
			id: e.JobID, spec: e.Record.Spec, priority: u, team: t, class: s.class(e.Record.Spec.Class),
			demand:      taskDemand(&e.Record.Spec),
			submittedAt: s.now - e.SinceSubmission, doneBits: make([]uint64, words), assignedBits: make([]uint64, words),
			assignments: map[int]*assignment{}, stopCounts: map[int]int{}, failedMachines: map[string]bool{},
			chunks: make([]finishedChunk, (e.Record.Spec.Tasks+s.finished.tasksPerChunk-1)/s.finished.tasksPerChunk),
		}
		j.gang = newGang(j)
		j.deadlines = s.deadlines(j)
		s.jobs.byID[e.JobID] = j
		at := sort.Search(len(s.jobs.bySubmission), func(i int) bool {
			q := s.jobs.bySubmission[i]
			return q.submittedAt > j.submittedAt || (q.submittedAt == j.submittedAt && q.id > j.id)
		})
		s.jobs.bySubmission = slices.Insert(s.jobs.bySubmission, at, j)
		s.queue.ordered = nil
	}
	if e.Version < j.version {
		return
	}
	j.version = e.Version
	if e.Record.Cancelled && !j.cancelled {
		// The time allowed counts from the earliest word to the user, also across a change of
		// leaders. Where it is over already, a leader that knew has let no lease live; so nobody
		// knew, nobody was told, and it begins now.
		j.cancelled, j.cancelledAt, j.cancelSeenAt = true, s.now, s.now
		if e.SinceCancellation < limits.Seconds(s.cfg.Workers.CancelS) {
			j.cancelledAt -= e.SinceCancellation
		}
		s.logInfo("job cancelled", "job", j.id, "bound", len(j.assignments))
	}
	if j.cancelled {
		s.stopJob(j)
		s.tryCloseJob(j)
	}
	s.placement.needed = true
}

// deadlines are the times by which the job should be complete, from its own deadline and from the
// aims of its class.
func (s *Scheduler) deadlines(j *job) []deadline {
	var out []deadline
	for _, o := range s.cfg.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch {
		case o.Kind == "deadline" && j.spec.DeadlineS > 0:
			out = append(out, deadline{at: j.submittedAt + limits.Seconds(j.spec.DeadlineS*max(o.Times, 1))})
		case o.Kind == "finished" && o.WithinS > 0:
			out = append(out, deadline{at: j.submittedAt + limits.Seconds(o.WithinS)})
		case o.Kind == "wait" && o.WithinS > 0:
			out = append(out, deadline{at: j.submittedAt + limits.Seconds(o.WithinS), forStart: true})
		}
	}
	if len(out) == 0 && j.spec.DeadlineS > 0 {
		out = append(out, deadline{at: j.submittedAt + limits.Seconds(j.spec.DeadlineS)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].at < out[b].at })
	return out
}

// stopJob takes a cancelled job off its machines.
func (s *Scheduler) stopJob(j *job) {
	for _, b := range j.sortedAssignments() {
		if b.state == stateUnsent {
			s.release(b)
			continue
		}
		s.stopAssignment(b, "cancelled")
	}
}

func (s *Scheduler) stopAssignment(b *assignment, why string) {
	if b.stopping {
		return
	}
	b.stopping, b.stopReason = true, why
	s.queueDispatch(b.machine)
	if b.job.gang != nil {
		s.dispatcher.gangQueue = append(s.dispatcher.gangQueue, b.machine)
	}
	b.machine.releasing = b.machine.releasing.Plus(b.job.demand)
	s.logInfo("stopping", "job", b.job.id, "task", b.index, "attempt", b.attempt, "machine", b.machine.name, "reason", why)
}

// tryCloseJob writes a job's final record once nothing of it is left to do.
func (s *Scheduler) tryCloseJob(j *job) {
	if j.closed || j.closing || (!j.cancelled && j.doneCount < j.spec.Tasks) {
		return
	}
	if len(j.assignments) > 0 && (j.gang == nil || j.cancelled) {
		return // of a gang that is done, tasks that were not heard of yet have completed as well
	}
	if j.cancelled && !s.recovery.ended {
		return // tasks of it that we have not heard of yet still count against its team's limit
	}
	standing := protocol.Done
	if j.cancelled {
		standing = protocol.Aborted
	}
	ops := []protocol.Operation{
		{Put: storage.FinalJobKey(j.id), Value: protocol.Encode(storage.FinalJob{State: standing})},
		{Delete: storage.OpenJobKey(j.id)},
	}
	for i := range j.chunks {
		if j.chunks[i].writing {
			return // its answer comes back here
		}
	}
	keys := s.finishedTasksKeys(j)
	now := min(len(keys), s.cfg.State.TxnOps-len(ops))
	for _, key := range keys[:now] {
		ops = append(ops, protocol.Operation{Delete: key})
	}
	j.remainingRecordKeys = keys[now:]
	j.closing = true
	s.write(pendingWrite{kind: writeFinal, job: j},
		[]protocol.Condition{{Key: storage.OpenJobKey(j.id), Version: j.version}}, ops)
}

// closeJob forgets a job whose final record is durable.
func (s *Scheduler) closeJob(j *job) {
	j.closed = true
	for _, b := range j.sortedAssignments() {
		if b.state == stateUnsent {
			s.release(b)
		} else {
			s.stopAssignment(b, "job over")
		}
	}
	if !j.cancelled {
		x := s.queue.closedProgress[j.group()]
		s.queue.closedProgress[j.group()] = groupServed{x.due + j.spec.Tasks, x.served + j.spec.Tasks}
	}
	delete(s.jobs.byID, j.id)
	s.jobs.closed[j.id], s.queue.ordered = true, nil
	for i, x := range s.jobs.bySubmission {
		if x == j {
			s.jobs.bySubmission = append(s.jobs.bySubmission[:i], s.jobs.bySubmission[i+1:]...)
			break
		}
	}
}

func (s *Scheduler) answerTaskCounts(e TaskCountsRequested) {
	j := s.jobs.byID[e.ID]
	if j == nil {
		s.emit(TaskCounts{ReplyTo: e.ReplyTo})
		return
	}
	n := 0
	for _, b := range j.assignments {
		if b.state == stateRunning || b.state == stateSaving {
			n++
		}
	}
	if j.gang != nil && n < j.spec.Tasks {
		n = 0 // it runs as a whole or not at all
	}
	s.emit(TaskCounts{ReplyTo: e.ReplyTo, Known: true, Done: j.doneCount, Running: n})
}
