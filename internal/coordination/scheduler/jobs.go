package scheduler

import (
	"slices"
	"sort"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

func (s *Scheduler) jobSeen(e JobSeen) {
	j := s.jobs[e.ID]
	if j == nil {
		if s.closed[e.ID] {
			return
		}
		t := s.teams[e.Rec.Spec.Team]
		if t == nil {
			return // a team that the settings no longer know; its jobs stay as they are
		}
		u, _ := protocol.ParsePriority(e.Rec.Spec.Priority)
		words := (e.Rec.Spec.Tasks + 63) / 64
		j = &job{
			id: e.ID, spec: e.Rec.Spec, priority: u, team: t, class: s.class(e.Rec.Spec.Class),
			need: room{e.Rec.Spec.CPUs, e.Rec.Spec.Accelerators, e.Rec.Spec.MemoryGB},
			at:   s.now - e.Age, done: make([]uint64, words), busy: make([]uint64, words),
			bound: map[int]*binding{}, stops: map[int]int{}, failOn: map[string]bool{},
			chunks: make([]chunk, (e.Rec.Spec.Tasks+s.chunkLen-1)/s.chunkLen),
		}
		j.gang = newGang(j)
		j.dues = s.dues(j)
		s.jobs[e.ID] = j
		at := sort.Search(len(s.queue), func(i int) bool {
			q := s.queue[i]
			return q.at > j.at || (q.at == j.at && q.id > j.id)
		})
		s.queue = slices.Insert(s.queue, at, j)
		s.order = nil
	}
	if e.Version < j.version {
		return
	}
	j.version = e.Version
	if e.Rec.Cancelled && !j.cancelled {
		// The time allowed counts from the earliest word to the user, also across a change of leaders. Where it is over already, a leader that
		// knew has let no lease live; so nobody knew, nobody was told, and it begins now.
		j.cancelled, j.cancelAt, j.cancelSeen = true, s.now, s.now
		if e.CancelAge < limits.Seconds(s.cfg.Workers.CancelS) {
			j.cancelAt -= e.CancelAge
		}
		s.note(false, "job cancelled", "job", j.id, "bound", len(j.bound))
	}
	if j.cancelled {
		s.stopJob(j)
		s.finish(j)
	}
	s.dirty = true
}

// dues are the times by which the job should be complete, from its own deadline and from the aims of its class.
func (s *Scheduler) dues(j *job) []due {
	var out []due
	for _, o := range s.cfg.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch {
		case o.Kind == "deadline" && j.spec.DeadlineS > 0:
			out = append(out, due{at: j.at + limits.Seconds(j.spec.DeadlineS*max(o.Times, 1))})
		case o.Kind == "finished" && o.WithinS > 0:
			out = append(out, due{at: j.at + limits.Seconds(o.WithinS)})
		case o.Kind == "wait" && o.WithinS > 0:
			out = append(out, due{at: j.at + limits.Seconds(o.WithinS), start: true})
		}
	}
	if len(out) == 0 && j.spec.DeadlineS > 0 {
		out = append(out, due{at: j.at + limits.Seconds(j.spec.DeadlineS)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].at < out[b].at })
	return out
}

// stopJob takes a cancelled job off its machines.
func (s *Scheduler) stopJob(j *job) {
	for _, b := range j.sortedBound() {
		if b.phase == assigned {
			s.unbind(b)
			continue
		}
		s.stopBinding(b, "cancelled")
	}
}

func (s *Scheduler) stopBinding(b *binding, why string) {
	if b.stop {
		return
	}
	b.stop, b.stopWhy = true, why
	s.queueCommands(b.machine)
	if b.job.gang != nil {
		s.urgent = append(s.urgent, b.machine)
	}
	b.machine.leaving = b.machine.leaving.plus(b.job.need)
	s.note(false, "stopping", "job", b.job.id, "task", b.index, "attempt", b.attempt, "machine", b.machine.name, "reason", why)
}

// finish writes a job's final record once nothing of it is left to do.
func (s *Scheduler) finish(j *job) {
	if j.over || j.finishing || (!j.cancelled && j.doneCount < j.spec.Tasks) {
		return
	}
	if len(j.bound) > 0 && (j.gang == nil || j.cancelled) {
		return // of a gang that is done, tasks that were not heard of yet have completed as well
	}
	if j.cancelled && !s.recovered {
		return // tasks of it that we have not heard of yet still count against its team's limit
	}
	standing := protocol.Done
	if j.cancelled {
		standing = protocol.Aborted
	}
	ops := []protocol.Op{
		{Put: storage.FinalKey(j.id), Value: protocol.Encode(storage.Final{State: standing})},
		{Delete: storage.OpenKey(j.id)},
	}
	for i := range j.chunks {
		if j.chunks[i].writing {
			return // its answer comes back here
		}
	}
	keys := s.finishedKeys(j)
	now := min(len(keys), s.cfg.State.TxnOps-len(ops))
	for _, key := range keys[:now] {
		ops = append(ops, protocol.Op{Delete: key})
	}
	j.cleanup = keys[now:]
	j.finishing = true
	s.write(pendingWrite{kind: writeFinal, job: j},
		[]protocol.Condition{{Key: storage.OpenKey(j.id), Version: j.version}}, ops)
}

// closeJob forgets a job whose final record is durable.
func (s *Scheduler) closeJob(j *job) {
	j.over = true
	for _, b := range j.sortedBound() {
		if b.phase == assigned {
			s.unbind(b)
		} else {
			s.stopBinding(b, "job over")
		}
	}
	if !j.cancelled {
		x := s.closedServices[j.group()]
		s.closedServices[j.group()] = service{x.due + j.spec.Tasks, x.got + j.spec.Tasks}
	}
	delete(s.jobs, j.id)
	s.closed[j.id], s.order = true, nil
	for i, x := range s.queue {
		if x == j {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			break
		}
	}
}

func (s *Scheduler) counts(e CountsIn) {
	j := s.jobs[e.ID]
	if j == nil {
		s.emit(CountsOut{Ref: e.Ref})
		return
	}
	n := 0
	for _, b := range j.bound {
		if b.phase == running || b.phase == saving {
			n++
		}
	}
	if j.gang != nil && n < j.spec.Tasks {
		n = 0 // it runs as a whole or not at all
	}
	s.emit(CountsOut{Ref: e.Ref, Known: true, Done: j.doneCount, Running: n})
}
