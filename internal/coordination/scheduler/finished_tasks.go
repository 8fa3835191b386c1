package scheduler

import (
	"sort"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// finishedTaskWriter writes down which tasks are done.
type finishedTaskWriter struct {
	*environment
	tasksPerChunk int
	writeBudget   float64 // chunk writes that may go out now
}

// newFinishedTaskWriter returns a writer whose chunks fit into a value of the state service.
func newFinishedTaskWriter(env *environment) *finishedTaskWriter {
	return &finishedTaskWriter{environment: env, tasksPerChunk: storage.TasksPerChunk(env.cfg.State.ValueKB)}
}

// chunkCount is how many chunks the finished tasks of a job are kept in.
func (w *finishedTaskWriter) chunkCount(tasks int) int {
	return (tasks + w.tasksPerChunk - 1) / w.tasksPerChunk
}

// Records of finished tasks may be of another size than the chunks of this term: earlier versions
// and other limits of the state service cut them differently. All of them are read as their union.
// A record that begins where a chunk of ours does is replaced by it, once what it tells of later
// chunks is written elsewhere; the others stay as they are until the job is over.

// finishedTasksLoaded takes a record of finished tasks, read at the start of the term.
func (s *Scheduler) finishedTasksLoaded(e FinishedTasksLoaded) {
	key := storage.FinishedTasksKey(e.JobID, e.Record.Base)
	j := s.jobs.find(e.JobID)
	if j == nil {
		s.recovery.orphanedRecords = append(s.recovery.orphanedRecords, orphanedRecord{e.JobID, key})
		return
	}
	last := -1
	_ = e.Record.Decode(func(i int) {
		if i < 0 || i >= j.spec.Tasks {
			return
		}
		last = max(last, i)
		if !getBit(j.doneBits, i) {
			setBit(j.doneBits, i)
			j.doneCount++
		}
	})
	n := e.Record.Base / s.finished.tasksPerChunk
	if e.Record.Base%s.finished.tasksPerChunk != 0 || n >= len(j.chunks) {
		j.otherRecordKeys = append(j.otherRecordKeys, key)
		return
	}
	j.chunks[n].version = e.Version
	for k := n + 1; k <= last/s.finished.tasksPerChunk; k++ {
		j.chunks[n].lastCoveredChunk = k
		j.chunks[k].sequence++ // to be written before this record is replaced
	}
}

// coversUnwrittenTasks tells whether the record of a chunk still tells of tasks of later chunks
// that are not written elsewhere.
func (j *job) coversUnwrittenTasks(n int) bool {
	for k := n + 1; k <= j.chunks[n].lastCoveredChunk; k++ {
		if j.chunks[k].durableSequence < j.chunks[k].sequence {
			return true
		}
	}
	return false
}

// finishedTasksKeys are the keys of all records of a job's finished tasks.
func (s *Scheduler) finishedTasksKeys(j *job) []string {
	keys := append([]string(nil), j.otherRecordKeys...)
	for i := range j.chunks {
		if j.chunks[i].version != 0 {
			keys = append(keys, storage.FinishedTasksKey(j.id, i*s.finished.tasksPerChunk))
		}
	}
	return keys
}

// orphanedRecord is a record of finished tasks without an open job.
type orphanedRecord struct{ jobID, key string }

// removeOrphanedRecords removes records that earlier terms left behind of jobs that are over.
func (s *Scheduler) removeOrphanedRecords() {
	for _, o := range s.recovery.orphanedRecords {
		s.removeFinishedTasks(o.jobID, []string{o.key})
	}
	s.recovery.orphanedRecords = nil
}

// removeFinishedTasks removes records of finished tasks of a job that is over, each by a write of
// its own, as there may be more than a transaction takes.
func (s *Scheduler) removeFinishedTasks(job string, keys []string) {
	for _, key := range keys {
		s.write(pendingWrite{kind: writeCleanup}, []protocol.Condition{{Key: storage.OpenJobKey(job)}}, []protocol.Operation{{Delete: key}})
	}
}

// recordTaskDone notes a finished task. The worker is told to forget it only once this is durable.
func (s *Scheduler) recordTaskDone(j *job, idx int) (n int, ver uint64) {
	n = idx / s.finished.tasksPerChunk
	if j.gang != nil {
		for i := range j.spec.Tasks {
			s.markDone(j, i) // they complete together
		}
	} else {
		s.markDone(j, idx)
	}
	j.failedMachines = map[string]bool{}
	j.backoff, j.retryAt = 0, 0
	return n, j.chunks[n].sequence
}

func (s *Scheduler) markDone(j *job, idx int) {
	if getBit(j.doneBits, idx) {
		return
	}
	setBit(j.doneBits, idx)
	j.doneCount++
	j.chunks[idx/s.finished.tasksPerChunk].sequence++
}

// writeFinishedTasks writes finished tasks down, those first that were not written for longest,
// within a share of the state service's rate: what is not written is kept by the workers, and done
// again only where one is lost. A job that is nearly over needs no record but its final one.
func (s *Scheduler) writeFinishedTasks() {
	rate := s.cfg.State.WriteRPS * limits.ChunkWriteShare
	s.finished.writeBudget = min(s.finished.writeBudget+rate*limits.TickInterval.Seconds(), max(rate, 1))
	type part struct {
		j *job
		n int
	}
	var parts []part
	for _, j := range s.jobs.oldestFirst() {
		s.tryCloseJob(j)
		if j.closing || j.cancelled {
			continue
		}
		for i := range j.chunks {
			c := &j.chunks[i]
			if c.durableSequence == c.sequence || c.writing || j.coversUnwrittenTasks(i) || (!c.expedite && s.now < c.writtenAt+limits.ChunkWriteInterval) {
				continue
			}
			if c.deferredSince == 0 {
				c.deferredSince = s.now
			}
			if !c.expedite && s.now < c.deferredSince+limits.MaxChunkWriteDelay && s.nearlyOver(j) {
				continue
			}
			parts = append(parts, part{j, i})
		}
	}
	sort.SliceStable(parts, func(a, b int) bool {
		x, y := &parts[a].j.chunks[parts[a].n], &parts[b].j.chunks[parts[b].n]
		if x.expedite != y.expedite {
			return x.expedite
		}
		return x.writtenAt < y.writtenAt
	})
	for _, x := range parts {
		if s.finished.writeBudget < 1 {
			return
		}
		s.finished.writeBudget--
		j, c := x.j, &x.j.chunks[x.n]
		c.writing, c.writtenAt, c.deferredSince, c.expedite = true, s.now, 0, false
		key := storage.FinishedTasksKey(j.id, x.n*s.finished.tasksPerChunk)
		// Guarded by its own stamp as well: an earlier write of this chunk that was given up
		// must not come late and undo this one.
		s.write(pendingWrite{kind: writeChunk, job: j, count: x.n, sequence: c.sequence},
			[]protocol.Condition{{Key: key, Version: c.version}},
			[]protocol.Operation{{Put: key, Value: protocol.Encode(storage.EncodeFinishedTasks(j.doneBits, x.n*s.finished.tasksPerChunk, s.finished.tasksPerChunk))}})
	}
}

// nearlyOver tells whether all tasks of a job are done or on machines, and the last should be done soon.
func (s *Scheduler) nearlyOver(j *job) bool {
	if j.waitingTasks() > 0 {
		return false
	}
	est := limits.Seconds(j.occupancy())
	for _, b := range j.assignments {
		if b.assignedAt+est > s.now+limits.MaxChunkWriteDelay {
			return false
		}
	}
	return true
}
