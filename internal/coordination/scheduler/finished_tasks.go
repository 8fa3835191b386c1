package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// finishedTaskWriter records in the state service which tasks are done. The tasks of each job are
// divided into chunks, each as large as fits into one value of the state service.
//
// Existing records may cover more or fewer tasks than the chunks of this term, because earlier versions
// or other value limits of the state service used other chunk sizes. A task is done if any record says
// so. A record that begins at the same task as a chunk of this term is replaced by that chunk, but only
// after the records of the later chunks contain the done tasks that it covers beyond its own chunk. All
// other records stay unchanged until the job is closed.
type finishedTaskWriter struct {
	*environment
	jobs *jobTable

	tasksPerChunk int
	writeBudget   float64 // number of chunk writes allowed now; refilled by each tick
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

// finishedChunk is the state of one chunk of a job's finished tasks and of its record.
type finishedChunk struct {
	version          uint64
	sequence         uint64 // counts the changes of the chunk, such as each finished task
	durableSequence  uint64 // sequence up to which the record contains the changes
	writeInFlight    bool
	lastWriteAt      time.Duration
	deferredSince    time.Duration // since when a write of the chunk has been due; 0 if none is due
	expedited        bool          // written first: a machine that still lists results of the chunk will be returned
	lastCoveredChunk int           // the existing record covers done tasks up to this chunk
}

// orphanedRecord is a record of finished tasks whose job is not among the open jobs.
type orphanedRecord struct{ jobID, key string }

// chunkCount returns the number of chunks for a job with that many tasks.
func (w *finishedTaskWriter) chunkCount(tasks int) int {
	return (tasks + w.tasksPerChunk - 1) / w.tasksPerChunk
}

// load marks the tasks of a record as done. It is called for each record at the start of the term.
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
		j.earlierRecordKeys = append(j.earlierRecordKeys, key)
		return
	}
	j.chunks[chunk].version = e.Version
	for later := chunk + 1; later <= last/w.tasksPerChunk; later++ {
		j.chunks[chunk].lastCoveredChunk = later
		j.chunks[later].sequence++ // must be written before this record is replaced
	}
}

// removeOrphanedRecords removes the records that earlier terms did not remove after their jobs were
// closed.
func (w *finishedTaskWriter) removeOrphanedRecords() {
	for _, orphan := range w.orphans {
		w.removeRecords(orphan.jobID, []string{orphan.key})
	}
	w.orphans = nil
}

// removeRecords removes records of finished tasks of a job, provided that the job has no open record.
// Each record is removed by a separate write, because all of them may exceed the operations allowed in
// one transaction.
func (w *finishedTaskWriter) removeRecords(jobID string, keys []string) {
	for _, key := range keys {
		w.writeBulk(finishedTasksRemoval{},
			[]protocol.Condition{{Key: storage.OpenJobKey(jobID)}},
			[]protocol.Operation{{Delete: key}})
	}
}

// recordKeys returns the keys of all records of a job's finished tasks.
func (w *finishedTaskWriter) recordKeys(j *job) []string {
	keys := append([]string(nil), j.earlierRecordKeys...)
	for chunk := range j.chunks {
		if j.chunks[chunk].version != 0 {
			keys = append(keys, storage.FinishedTasksKey(j.id, chunk*w.tasksPerChunk))
		}
	}
	return keys
}

// recordCompletion marks a task as done; for a gang, all of its tasks. It returns the chunk that
// contains the task and the sequence number up to which this chunk must be durable before the worker
// may be instructed to forget the task.
func (w *finishedTaskWriter) recordCompletion(j *job, index int) (chunk int, sequence uint64) {
	switch {
	case j.gang == nil:
		w.markDone(j, index)
	case !j.done.has(index):
		for i := range j.spec.Tasks {
			w.markDone(j, i) // the tasks of a gang complete together
		}
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

// jobChunk identifies a chunk of a job.
type jobChunk struct {
	job   *job
	index int
}

func (c jobChunk) finishedChunk() *finishedChunk { return &c.job.chunks[c.index] }

// writeChunks writes the chunks that are due, expedited ones first and then those whose last write is
// longest ago. It uses only a share of the write rate of the state service. Delayed writes are safe:
// the workers keep the results until these are durable, and a task runs again only if its worker is
// lost before that.
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
		one, other := due[a].finishedChunk(), due[b].finishedChunk()
		if one.expedited != other.expedited {
			return one.expedited
		}
		return one.lastWriteAt < other.lastWriteAt
	})
	for _, c := range due {
		if w.writeBudget < 1 {
			return
		}
		w.writeBudget--
		w.writeChunk(c)
	}
}

// isDue reports whether a chunk should be written now. The chunks of a nearly complete job are deferred
// for up to limits.MaxChunkWriteDelay, because the final record of the job may soon replace them.
func (w *finishedTaskWriter) isDue(j *job, index int) bool {
	chunk := &j.chunks[index]
	if chunk.durableSequence == chunk.sequence || chunk.writeInFlight || j.coversPendingChunks(index) {
		return false
	}
	if !chunk.expedited && w.now < chunk.lastWriteAt+limits.ChunkWriteInterval {
		return false
	}
	if chunk.deferredSince == 0 {
		chunk.deferredSince = w.now
	}
	return chunk.expedited || w.now >= chunk.deferredSince+limits.MaxChunkWriteDelay || !w.isNearlyComplete(j)
}

func (w *finishedTaskWriter) writeChunk(c jobChunk) {
	chunk := c.finishedChunk()
	chunk.writeInFlight, chunk.lastWriteAt, chunk.deferredSince, chunk.expedited = true, w.now, 0, false
	base := c.index * w.tasksPerChunk
	key := storage.FinishedTasksKey(c.job.id, base)
	record := storage.EncodeFinishedTasks(c.job.done, base, w.tasksPerChunk)
	// The condition on the record's version prevents an earlier, abandoned write of this chunk from
	// being applied late and overwriting this one.
	w.writeBulk(chunkWrite{job: c.job, chunk: c.index, writtenSequence: chunk.sequence},
		[]protocol.Condition{{Key: key, Version: chunk.version}},
		[]protocol.Operation{{Put: key, Value: protocol.Encode(record)}})
}

// handleChunkWritten handles the outcome of a chunk write: on success, the tasks that were done when the
// write was sent are durable.
func (w *finishedTaskWriter) handleChunkWritten(write chunkWrite, e WriteCompleted) {
	chunk := &write.job.chunks[write.chunk]
	chunk.writeInFlight = false
	if e.Committed {
		chunk.version = e.Version
		chunk.durableSequence = max(chunk.durableSequence, write.writtenSequence)
	}
}

// isNearlyComplete reports whether all tasks of a job are done or assigned, and all assigned ones are
// expected to be done within limits.MaxChunkWriteDelay.
func (w *finishedTaskWriter) isNearlyComplete(j *job) bool {
	if j.waitingTasks() > 0 {
		return false
	}
	occupancy := limits.Seconds(j.expectedOccupancySeconds())
	for _, a := range j.assignments {
		if a.assignedAt+occupancy > w.now+limits.MaxChunkWriteDelay {
			return false
		}
	}
	return true
}

// coversPendingChunks reports whether the existing record of a chunk also covers done tasks of later
// chunks whose own records do not contain them yet. Such a record must not be replaced.
func (j *job) coversPendingChunks(chunk int) bool {
	for later := chunk + 1; later <= j.chunks[chunk].lastCoveredChunk; later++ {
		if j.chunks[later].durableSequence < j.chunks[later].sequence {
			return true
		}
	}
	return false
}

// hasChunkWriteInFlight reports whether a write of any of the job's chunks has no outcome yet.
func (j *job) hasChunkWriteInFlight() bool {
	for i := range j.chunks {
		if j.chunks[i].writeInFlight {
			return true
		}
	}
	return false
}

// expediteResults makes the chunks with results that a machine still lists be written first, because
// the machine will be returned.
func (w *finishedTaskWriter) expediteResults(m *machine) {
	for _, ended := range m.endedTasks {
		if !ended.isDurable() {
			ended.job.chunks[ended.chunk].expedited = true
		}
	}
}
