package scheduler

import (
	"sort"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Records of finished tasks may be of another size than the chunks of this term: earlier versions and other limits of the state
// service cut them differently. All of them are read as their union. A record that begins where a chunk of ours does is replaced by
// it, once what it tells of later chunks is written elsewhere; the others stay as they are until the job is over.

// finLoaded takes a record of finished tasks, read at the start of the term.
func (s *Scheduler) finLoaded(e FinishedLoaded) {
	key := storage.FinKey(e.ID, e.Rec.Base)
	j := s.jobs[e.ID]
	if j == nil {
		s.orphans = append(s.orphans, orphan{e.ID, key})
		return
	}
	last := -1
	_ = e.Rec.Decode(func(i int) {
		if i < 0 || i >= j.spec.Tasks {
			return
		}
		last = max(last, i)
		if !getBit(j.done, i) {
			setBit(j.done, i)
			j.doneCount++
		}
	})
	n := e.Rec.Base / s.chunkLen
	if e.Rec.Base%s.chunkLen != 0 || n >= len(j.chunks) {
		j.leftover = append(j.leftover, key)
		return
	}
	j.chunks[n].version = e.Version
	for k := n + 1; k <= last/s.chunkLen; k++ {
		j.chunks[n].covers = k
		j.chunks[k].sequence++ // to be written before this record is replaced
	}
}

// coversUnwritten tells whether the record of a chunk still tells of tasks of later chunks that are not written elsewhere.
func (j *job) coversUnwritten(n int) bool {
	for k := n + 1; k <= j.chunks[n].covers; k++ {
		if j.chunks[k].durable < j.chunks[k].sequence {
			return true
		}
	}
	return false
}

// finishedKeys are the keys of all records of a job's finished tasks.
func (s *Scheduler) finishedKeys(j *job) []string {
	keys := append([]string(nil), j.leftover...)
	for i := range j.chunks {
		if j.chunks[i].version != 0 {
			keys = append(keys, storage.FinKey(j.id, i*s.chunkLen))
		}
	}
	return keys
}

// orphan is a record of finished tasks without an open job.
type orphan struct{ job, key string }

// removeOrphans removes records that earlier terms left behind of jobs that are over.
func (s *Scheduler) removeOrphans() {
	for _, o := range s.orphans {
		s.removeFinished(o.job, []string{o.key})
	}
	s.orphans = nil
}

// removeFinished removes records of finished tasks of a job that is over, each by a write of its own, as there may be more than a
// transaction takes.
func (s *Scheduler) removeFinished(job string, keys []string) {
	for _, key := range keys {
		s.write(pendingWrite{kind: writeCleanup}, []protocol.Condition{{Key: storage.OpenKey(job)}}, []protocol.Op{{Delete: key}})
	}
}

// taskDone notes a finished task. The worker is told to forget it only once this is durable.
func (s *Scheduler) taskDone(j *job, idx int) (n int, ver uint64) {
	n = idx / s.chunkLen
	if j.gang != nil {
		for i := range j.spec.Tasks {
			s.markDone(j, i) // they complete together
		}
	} else {
		s.markDone(j, idx)
	}
	j.failOn = map[string]bool{}
	j.backoff, j.resume = 0, 0
	return n, j.chunks[n].sequence
}

func (s *Scheduler) markDone(j *job, idx int) {
	if getBit(j.done, idx) {
		return
	}
	setBit(j.done, idx)
	j.doneCount++
	j.chunks[idx/s.chunkLen].sequence++
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
