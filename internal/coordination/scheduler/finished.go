package scheduler

import (
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// Records of finished tasks may be of another size than the chunks of this term: earlier versions and other limits of the state service cut
// them differently. All of them are read as their union. A record that begins where a chunk of ours does is replaced by it, once what it tells
// of later chunks is written elsewhere; the others stay as they are until the job is over.

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

// removeFinished removes records of finished tasks of a job that is over, each by a write of its own, as there may be more than a transaction
// takes.
func (s *Scheduler) removeFinished(job string, keys []string) {
	for _, key := range keys {
		s.write(pendingWrite{kind: writeCleanup}, []protocol.Condition{{Key: storage.OpenKey(job)}}, []protocol.Op{{Delete: key}})
	}
}
