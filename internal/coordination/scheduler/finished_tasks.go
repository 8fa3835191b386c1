package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// finishedTaskWriter writes down which tasks are done, each job's in chunks of as many tasks as fit
// into a value of the state service.
//
// Records may be of another size than the chunks of this term: earlier versions and other limits of
// the state service cut them differently. All of them are read as their union. A record that begins
// where a chunk of ours does is replaced by it, once what it tells of later chunks is written
// elsewhere; the others stay as they are until the job is over.
type finishedTaskWriter struct {
	*environment
	jobs *jobTable

	tasksPerChunk int
	writeBudget   float64 // chunk writes that may go out now
	orphans       []orphanedRecord
}

// newFinishedTaskWriter returns a writer of the finished tasks of the table's jobs.
func newFinishedTaskWriter(env *environment, jobs *jobTable) *finishedTaskWriter {
	return &finishedTaskWriter{
		environment:   env,
		jobs:          jobs,
		tasksPerChunk: storage.TasksPerChunk(env.cfg.State.ValueKB),
	}
}

// finishedChunk is a part of a job's finished tasks as the state service keeps it.
type finishedChunk struct {
	version          uint64
	sequence         uint64 // rises with every finished task
	durableSequence  uint64 // highest sequence that is written
	writing          bool
	writtenAt        time.Duration
	deferredSince    time.Duration // when its write was first deferred; 0 if it was not
	expedite         bool          // a machine that has results of it is to go
	lastCoveredChunk int           // the written record tells of tasks up to this chunk
}

// orphanedRecord is a record of finished tasks without an open job.
type orphanedRecord struct{ jobID, key string }

// chunkCount is how many chunks the finished tasks of a job are kept in.
func (w *finishedTaskWriter) chunkCount(tasks int) int {
	return (tasks + w.tasksPerChunk - 1) / w.tasksPerChunk
}

// load marks the tasks of a record as done, at the start of the term.
func (w *finishedTaskWriter) load(e FinishedTasksLoaded) {
	key := storage.FinishedTasksKey(e.JobID, e.Record.FirstTask)
	j := w.jobs.find(e.JobID)
	if j == nil {
		w.orphans = append(w.orphans, orphanedRecord{e.JobID, key})
		return
	}
	last := -1
	_ = e.Record.Decode(func(index int) {
		if index < 0 || index >= j.spec.Tasks {
			return
		}
		last = max(last, index)
		if !j.done.has(index) {
			j.done.add(index)
			j.doneCount++
		}
	})
	chunk := e.Record.FirstTask / w.tasksPerChunk
	if e.Record.FirstTask%w.tasksPerChunk != 0 || chunk >= len(j.chunks) {
		j.otherRecordKeys = append(j.otherRecordKeys, key)
		return
	}
	j.chunks[chunk].version = e.Version
	for later := chunk + 1; later <= last/w.tasksPerChunk; later++ {
		j.chunks[chunk].lastCoveredChunk = later
		j.chunks[later].sequence++ // to be written before this record is replaced
	}
}

// removeOrphanedRecords removes records that earlier terms left behind of jobs that are over.
func (w *finishedTaskWriter) removeOrphanedRecords() {
	for _, orphan := range w.orphans {
		w.removeRecords(orphan.jobID, []string{orphan.key})
	}
	w.orphans = nil
}

// removeRecords removes records of finished tasks of a job that is over, each by a write of its
// own, as there may be more than a transaction takes.
func (w *finishedTaskWriter) removeRecords(jobID string, keys []string) {
	for _, key := range keys {
		w.writeBulk(orphanRemoval{},
			[]protocol.Condition{{Key: storage.OpenJobKey(jobID)}},
			[]protocol.Operation{{Delete: key}})
	}
}

// recordKeys returns the keys of all records of a job's finished tasks.
func (w *finishedTaskWriter) recordKeys(j *job) []string {
	keys := append([]string(nil), j.otherRecordKeys...)
	for chunk := range j.chunks {
		if j.chunks[chunk].version != 0 {
			keys = append(keys, storage.FinishedTasksKey(j.id, chunk*w.tasksPerChunk))
		}
	}
	return keys
}

// recordDone notes a finished task. The worker is told to forget it only once the chunk that has it
// is durable up to that sequence.
func (w *finishedTaskWriter) recordDone(j *job, index int) (chunk int, sequence uint64) {
	if j.gang != nil {
		for i := range j.spec.Tasks {
			w.markDone(j, i) // they complete together
		}
	} else {
		w.markDone(j, index)
	}
	j.failedMachines = map[string]bool{}
	j.backoff, j.retryAt = 0, 0
	chunk = index / w.tasksPerChunk
	return chunk, j.chunks[chunk].sequence
}

func (w *finishedTaskWriter) markDone(j *job, index int) {
	if j.done.has(index) {
		return
	}
	j.done.add(index)
	j.doneCount++
	j.chunks[index/w.tasksPerChunk].sequence++
}

// jobChunk names a chunk of a job.
type jobChunk struct {
	job   *job
	index int
}

func (c jobChunk) get() *finishedChunk { return &c.job.chunks[c.index] }

// writeChunks writes finished tasks down, expedited chunks first and then those that were not
// written for longest, within a share of the state service's rate: what is not written is kept by
// the workers, and done again only where one is lost.
func (w *finishedTaskWriter) writeChunks() {
	rate := w.cfg.State.WriteRPS * limits.ChunkWriteShare
	w.writeBudget = min(w.writeBudget+rate*limits.TickInterval.Seconds(), max(rate, 1))
	var due []jobChunk
	for _, j := range w.jobs.oldestFirst() {
		if j.closing || j.cancelled {
			continue
		}
		for index := range j.chunks {
			if w.isDue(j, index) {
				due = append(due, jobChunk{j, index})
			}
		}
	}
	sort.SliceStable(due, func(a, b int) bool {
		one, other := due[a].get(), due[b].get()
		if one.expedite != other.expedite {
			return one.expedite
		}
		return one.writtenAt < other.writtenAt
	})
	for _, c := range due {
		if w.writeBudget < 1 {
			return
		}
		w.writeBudget--
		w.writeChunk(c)
	}
}

// isDue reports whether a chunk should be written now. A chunk of a job that is nearly over is
// deferred for a while, as the job may soon need no record but its final one.
func (w *finishedTaskWriter) isDue(j *job, index int) bool {
	chunk := &j.chunks[index]
	if chunk.durableSequence == chunk.sequence || chunk.writing || j.coversUnwrittenTasks(index) {
		return false
	}
	if !chunk.expedite && w.now < chunk.writtenAt+limits.ChunkWriteInterval {
		return false
	}
	if chunk.deferredSince == 0 {
		chunk.deferredSince = w.now
	}
	return chunk.expedite || w.now >= chunk.deferredSince+limits.MaxChunkWriteDelay || !w.isNearlyOver(j)
}

func (w *finishedTaskWriter) writeChunk(c jobChunk) {
	chunk := c.get()
	chunk.writing, chunk.writtenAt, chunk.deferredSince, chunk.expedite = true, w.now, 0, false
	base := c.index * w.tasksPerChunk
	key := storage.FinishedTasksKey(c.job.id, base)
	record := storage.EncodeFinishedTasks(c.job.done, base, w.tasksPerChunk)
	// Guarded by its own version as well: an earlier write of this chunk that was given up must not
	// come late and undo this one.
	w.writeBulk(chunkWrite{job: c.job, chunk: c.index, sequence: chunk.sequence},
		[]protocol.Condition{{Key: key, Version: chunk.version}},
		[]protocol.Operation{{Put: key, Value: protocol.Encode(record)}})
}

// chunkWritten notes which finished tasks are durable now.
func (w *finishedTaskWriter) chunkWritten(write chunkWrite, e WriteCompleted) {
	chunk := &write.job.chunks[write.chunk]
	chunk.writing = false
	if e.OK {
		chunk.version = e.Version
		chunk.durableSequence = max(chunk.durableSequence, write.sequence)
	}
}

// isNearlyOver reports whether all tasks of a job are done or on machines, and the last should be
// done soon.
func (w *finishedTaskWriter) isNearlyOver(j *job) bool {
	if j.waitingTasks() > 0 {
		return false
	}
	occupancy := limits.Seconds(j.occupancy())
	for _, a := range j.assignments {
		if a.assignedAt+occupancy > w.now+limits.MaxChunkWriteDelay {
			return false
		}
	}
	return true
}

// coversUnwrittenTasks reports whether the record of a chunk still tells of tasks of later chunks
// that are not written elsewhere.
func (j *job) coversUnwrittenTasks(chunk int) bool {
	for later := chunk + 1; later <= j.chunks[chunk].lastCoveredChunk; later++ {
		if j.chunks[later].durableSequence < j.chunks[later].sequence {
			return true
		}
	}
	return false
}

// isWritingChunks reports whether a write of the job's finished tasks is under way.
func (j *job) isWritingChunks() bool {
	for i := range j.chunks {
		if j.chunks[i].writing {
			return true
		}
	}
	return false
}

// expediteResults lets the results that a machine lists be written next, as the machine is to go.
func (w *finishedTaskWriter) expediteResults(m *machine) {
	for _, ended := range m.endedTasks {
		if !ended.isDurable() {
			ended.job.chunks[ended.chunk].expedite = true
		}
	}
}
