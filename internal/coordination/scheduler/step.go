package scheduler

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

type writeKind uint8

const (
	writeChunk writeKind = iota
	writeFinal
	writeRental
	writeRentalRemove
	writeRegistration
	writeRegistrationRemove
	writeCleanup
)

// pendingWrite is what a WriteOut was for.
type pendingWrite struct {
	kind     writeKind
	job      *job
	n        int    // chunk; of a page, how many machines of it this write makes durable
	sequence uint64 // chunk version
	rental   string
	known    bool // this write makes a rental's machines durable
	page     *registryPage
}

// Step takes one event. The effects are to be carried out in order.
func (s *Scheduler) Step(e Event, now time.Duration) []Effect {
	if now > s.now {
		s.now = now
	}
	s.out = nil
	switch e := e.(type) {
	case JobSeen:
		s.jobSeen(e)
	case JobLeft:
		if j := s.jobs[e.ID]; j != nil && !j.finishing && e.Version > j.version {
			s.closeJob(j) // somebody else removed it: not in the protocol of our nodes, but then it is over
		}
	case FinishedLoaded:
		s.finLoaded(e)
	case RentalLoaded:
		s.rentalLoaded(e)
	case RegistrationLoaded:
		s.registrationLoaded(e)
	case Loaded:
		s.note(false, "rebuilding", "jobs", len(s.jobs), "machines", len(s.machines), "hires", len(s.rentals))
		s.loaded, s.typesAt, s.listAt = true, 0, 0
		s.removeOrphans()
		s.tick(true)
	case ReportIn:
		s.reportIn(e)
	case ProbeDone:
		s.probeDone(e)
	case DirectDone:
		s.directDone(e)
	case WriteDone:
		s.writeDone(e)
	case RentalDone:
		s.rentalDone(e)
	case DeleteDone:
		s.deleteDone(e)
	case ListDone:
		s.listDone(e)
	case TypesDone:
		s.typesDone(e)
	case CountsIn:
		s.counts(e)
	case InspectIn:
		s.inspect(e)
	case Tick:
		s.tick(e.Entitled)
	}
	if s.loaded && !s.recovered {
		s.endRecovery()
	}
	s.decide()
	s.dispatch()
	return s.out
}

// decide brings gangs in line with what is known, places what wants room and lets gangs start whose room is confirmed.
func (s *Scheduler) decide() {
	s.settleGangs()
	s.place()
	s.settleGangs()
	s.commitGangs()
}

func (s *Scheduler) emit(e Effect) { s.out = append(s.out, e) }

func (s *Scheduler) note(warn bool, msg string, args ...any) {
	level := slog.LevelInfo
	if warn {
		level = slog.LevelWarn
	}
	s.emit(Note{Level: level, Msg: msg, Args: args})
}

func (s *Scheduler) write(p pendingWrite, guards []protocol.Condition, ops []protocol.Op) {
	s.writeSeq++
	s.writes[s.writeSeq] = p
	s.emit(WriteOut{ID: s.writeSeq, Bulk: p.kind == writeChunk || p.kind == writeCleanup, Conditions: guards, Ops: ops})
}

// Jobs.

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

// taskDone notes a finished task. The worker is told to forget it only once this is durable.
func (s *Scheduler) taskDone(j *job, idx int) (n int, ver uint64) {
	n = idx / s.chunkLen
	c := &j.chunks[n]
	if j.gang != nil {
		s.gangDone(j) // its tasks complete together
	}
	if !getBit(j.done, idx) {
		setBit(j.done, idx)
		j.doneCount++
		c.sequence++
	}
	j.failOn = map[string]bool{}
	j.backoff, j.resume = 0, 0
	return n, c.sequence
}

// flush writes finished tasks down, those first that were not written for longest, within a share of the state service's rate: what is
// not written is
// kept by the workers, and done again only where one is lost. A job that is nearly over needs no record but its final one.
func (s *Scheduler) flush() {
	rate := s.cfg.State.WriteRPS * limits.FlushShare
	s.flushes = min(s.flushes+rate*limits.TickEvery.Seconds(), max(rate, 1))
	type part struct {
		j *job
		n int
	}
	var parts []part
	for _, j := range s.queue {
		s.finish(j)
		if j.finishing || j.cancelled {
			continue
		}
		for i := range j.chunks {
			c := &j.chunks[i]
			if c.durable == c.sequence || c.writing || j.coversUnwritten(i) || (!c.hurry && s.now < c.wroteAt+limits.FlushEvery) {
				continue
			}
			if c.since == 0 {
				c.since = s.now
			}
			if !c.hurry && s.now < c.since+limits.FlushPatience && s.nearlyOver(j) {
				continue
			}
			parts = append(parts, part{j, i})
		}
	}
	sort.SliceStable(parts, func(a, b int) bool {
		x, y := &parts[a].j.chunks[parts[a].n], &parts[b].j.chunks[parts[b].n]
		if x.hurry != y.hurry {
			return x.hurry
		}
		return x.wroteAt < y.wroteAt
	})
	for _, x := range parts {
		if s.flushes < 1 {
			return
		}
		s.flushes--
		j, c := x.j, &x.j.chunks[x.n]
		c.writing, c.wroteAt, c.since, c.hurry = true, s.now, 0, false
		key := storage.FinKey(j.id, x.n*s.chunkLen)
		// Guarded by its own stamp as well: an earlier write of this chunk that was given up
		// must not come late and undo this one.
		s.write(pendingWrite{kind: writeChunk, job: j, n: x.n, sequence: c.sequence},
			[]protocol.Condition{{Key: key, Version: c.version}},
			[]protocol.Op{{Put: key, Value: protocol.Encode(storage.EncodeFin(j.done, x.n*s.chunkLen, s.chunkLen))}})
	}
}

// nearlyOver tells whether all tasks of a job are done or on machines, and the last should be done soon.
func (s *Scheduler) nearlyOver(j *job) bool {
	if j.free() > 0 {
		return false
	}
	est := limits.Seconds(j.occupies())
	for _, b := range j.bound {
		if b.at+est > s.now+limits.FlushPatience {
			return false
		}
	}
	return true
}

func (s *Scheduler) writeDone(e WriteDone) {
	p, ok := s.writes[e.ID]
	if !ok {
		return
	}
	delete(s.writes, e.ID)
	switch p.kind {
	case writeChunk:
		c := &p.job.chunks[p.n]
		c.writing = false
		if e.OK {
			c.version, c.durable = e.Version, max(c.durable, p.sequence)
		}
		s.finish(p.job)
	case writeFinal:
		p.job.finishing = false
		if e.OK {
			s.note(false, "job over", "job", p.job.id, "cancelled", p.job.cancelled, "tasks", p.job.spec.Tasks)
			s.closeJob(p.job)
			s.removeFinished(p.job.id, p.job.cleanup)
		}
		// Otherwise it was cancelled meanwhile: the watch brings the new record, and finish runs again.
	case writeRental:
		s.rentalWritten(p, e.OK, e.Version)
	case writeRegistration:
		s.registrationsWritten(p, e.OK, e.Version)
	case writeRentalRemove:
		if e.OK {
			delete(s.rentals, p.rental)
		} else if h := s.rentals[p.rental]; h != nil {
			h.state = rentalAnswered
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

// tick looks at everything that only time changes.
func (s *Scheduler) tick(entitled bool) {
	s.expire()
	s.roomChanged = true // a machine may be usable again
	if !entitled {
		return
	}
	s.flush()
	s.manageFleet()
}

// expire frees the tasks of sessions that are surely over.
func (s *Scheduler) expire() {
	for _, m := range s.fleet {
		if m.endedSession >= max(m.session, 1) || s.now < m.leaseBase+limits.WaitOut(s.lease) {
			if s.now > m.heard+s.stale() {
				s.withdraw(m)
			}
			continue
		}
		// The worker sent the last report that we answered before it arrived here, so by its own clock
		// and ours its lease is over and it has killed its tasks.
		if len(m.bindings) > 0 {
			s.note(true, "session lapsed", "machine", m.name, "tasks", len(m.bindings))
		}
		for _, b := range m.sortedBinds() {
			s.unbind(b)
		}
		m.exits = map[attemptKey]exit{}
		m.endedSession = max(m.session, 1)
		if !m.seen {
			m.endedSession = 0 // we do not know which session it was in; see endRecovery
		}
	}
}

// stale is how long a machine may be silent and still get tasks.
func (s *Scheduler) stale() time.Duration {
	return time.Duration(float64(s.report) * limits.FreshReports)
}

// withdraw takes back tasks that no order has left for.
func (s *Scheduler) withdraw(m *machine) {
	for _, b := range m.sortedBinds() {
		if b.phase == assigned {
			s.unbind(b)
		}
	}
}

// endRecovery ends the time after a take-over in which tasks may run that we have not heard of: each machine that
// may hold some has reported to us or is gone, or its lease from before is over. A machine that we have greeted has had its lease
// renewed by that: it has
// the whole of it again, although it has shown us no tasks yet. A leader that is too busy to take its next reports must not forget that.
func (s *Scheduler) endRecovery() {
	for _, m := range s.fleet {
		if !m.fenced && m.registration != unregistered && s.now < max(s.tookOver, m.leaseBase)+limits.WaitOut(s.lease) {
			return
		}
	}
	s.recovered, s.dirty = true, true
	for _, j := range s.queue {
		s.touchGang(j.gang)
	}
	s.note(false, "rebuilt", "after", s.now-s.tookOver, "machines", len(s.fleet), "jobs", len(s.jobs))
}
