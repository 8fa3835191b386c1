package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestFinishedTasksInOtherChunkSizes checks records of finished tasks that were written with another
// chunk size, because the value limit of the state service was larger or smaller. A task counts as done
// if any record says so. While the records are replaced, no done task may be missing from the state
// service at any moment. When the job is closed, all records are removed, and no transaction exceeds the
// limit on its operations.
func TestFinishedTasksInOtherChunkSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, job = 6000, "job-1"
		sizes := []float64{0.5, 1, 2} // value limits, in KB
		before := storage.TasksPerChunk(rapid.SampledFrom(sizes).Draw(t, "before"))
		state := config.StateLimits{WriteRPS: 200, ValueKB: rapid.SampledFrom(sizes).Draw(t, "now"), TxnOps: 4}
		finished := newBitmap(tasks)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			finished.add(rapid.IntRange(0, tasks-2).Draw(t, "task"))
		}
		store := &memoryStore{records: map[string]storedRecord{storage.OpenJobKey(job): {version: 1}}, version: 10}
		s := newSchedulerOfOneJob(state, job, tasks)
		loadFinishedTasks(s, store, job, finished, tasks, before)
		orphan := storage.FinishedTasks{} // of a closed job; earlier versions left such records
		orphanVersion := store.put(storage.FinishedTasksKey("job-9", 0), orphan)
		s.Step(FinishedTasksLoaded{JobID: "job-9", Version: orphanVersion, Record: orphan}, 0)
		now := time.Second
		store.execute(s, s.Step(StateLoaded{}, now), now)
		j := s.jobs.find(job)
		requireAllKnown := func(when string) {
			stored := store.finishedTasks(t, job)
			for i := range tasks {
				if finished.has(i) && !(j.done.has(i) && stored[i]) {
					t.Fatalf("%s: finished task %d: known %v, stored %v; want both", when, i, j.done.has(i), stored[i])
				}
			}
		}
		requireAllKnown("after loading")
		for range 30 { // long enough to rewrite all records, one at a time
			s.finishedTasks.recordCompletion(j, rapid.IntRange(0, tasks-1).Draw(t, "finished"))
			now += 3 * time.Second
			for _, effect := range s.Step(Tick{Entitled: true}, now) {
				store.execute(s, []Effect{effect}, now)
				requireAllKnown("while rewriting")
			}
		}
		for i := range tasks {
			s.finishedTasks.recordCompletion(j, i)
		}
		largest := 0
		for range 30 {
			now += 3 * time.Second
			largest = max(largest, store.execute(s, s.Step(Tick{Entitled: true}, now), now))
		}
		if largest > state.TxnOps {
			t.Errorf("a transaction has %d operations; the limit is %d", largest, state.TxnOps)
		}
		for key := range store.records {
			if key != storage.FinalJobKey(job) {
				t.Errorf("record not removed: %s", key)
			}
		}
	})
}

// newSchedulerOfOneJob returns a scheduler that has loaded one job array and nothing else yet.
func newSchedulerOfOneJob(state config.StateLimits, job string, tasks int) *Scheduler {
	s := New(Config{
		Term:    3,
		Teams:   []config.Team{{Name: "red", MaxCPUs: 100}},
		Workers: config.WorkerTimes{HeartbeatIntervalS: 2, LeaseS: 14, CancelWithinS: 34},
		State:   state,
		Options: config.DefaultOptions(),
	}, 0)
	s.Step(JobChanged{JobID: job, Version: 1, Record: storage.OpenJob{Spec: protocol.Spec{
		ID: job, Class: "c", Team: "red", Shape: protocol.ShapeArray, Priority: "standard", Tasks: tasks,
		CPUs: 1, EstimateS: 10,
	}}}, 0)
	return s
}

// loadFinishedTasks stores the finished tasks of a job in records of size tasks each and loads them.
func loadFinishedTasks(s *Scheduler, store *memoryStore, job string, finished bitmap, tasks, size int) {
	for base := 0; base < tasks; base += size {
		record := storage.EncodeFinishedTasks(finished, base, size)
		if record.Bitmap == "" {
			continue
		}
		version := store.put(storage.FinishedTasksKey(job, base), record)
		s.Step(FinishedTasksLoaded{JobID: job, Version: version, Record: record}, 0)
	}
}

// TestLargestJob checks that a job with the maximum number of tasks is placed without overloading a
// machine, and that its finished tasks are recorded in several chunks by transactions within the limit.
func TestLargestJob(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.sendHeartbeat(1)
	f.submitJob("job-1", "red", "standard", limits.MaxTasksPerJob, 0.01, 0)
	j := f.scheduler.jobs.find("job-1")
	for _, m := range f.scheduler.inventory.all() {
		if len(m.assignments) > limits.MaxTasksPerMachine {
			t.Fatalf("%d tasks on %s: its heartbeat would exceed the size limit", len(m.assignments), m.name)
		}
	}
	if len(j.assignments) == 0 || len(j.chunks) < 2 {
		t.Fatalf("%d tasks assigned, %d chunks; want at least 1 task and 2 chunks", len(j.assignments), len(j.chunks))
	}
	for i := range limits.MaxTasksPerJob {
		if j.assignments[i] == nil {
			f.scheduler.finishedTasks.recordCompletion(j, i)
		}
	}
	f.now += 4 * time.Second
	for _, effect := range f.step(Tick{Entitled: true}) {
		if write, ok := effect.(WriteRecords); ok && len(write.Operations) > 8 {
			t.Fatalf("a transaction has %d operations; the limit is 8", len(write.Operations))
		}
	}
	if got := j.waitingTasks(); got != 0 {
		t.Fatalf("%d tasks are still waiting, want 0", got)
	}
}

// TestFinishedTasksOfOpenJobAreKept guards against losing the finished tasks of an open job whose team
// is missing from the settings. The scheduler does not know such a job and treats its records as
// orphaned, so it may remove them only on the condition that the job has no open record.
func TestFinishedTasksOfOpenJobAreKept(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	s := New(f.scheduler.cfg, 0)
	spec := protocol.Spec{ID: "job-1", Team: "gone", Priority: "low", Tasks: 2}
	s.Step(JobChanged{JobID: "job-1", Version: 5, Record: storage.OpenJob{Spec: spec}}, 0)
	s.Step(FinishedTasksLoaded{JobID: "job-1", Version: 6, Record: storage.FinishedTasks{Bitmap: "AQ"}}, 0)
	noOpenRecord := protocol.Condition{Key: storage.OpenJobKey("job-1")}
	for _, effect := range s.Step(StateLoaded{}, 0) {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Delete != "" {
			if len(write.Conditions) != 1 || write.Conditions[0] != noOpenRecord {
				t.Errorf("removal without the condition that the job is not open: %+v", write)
			}
		}
	}
}

// TestFinalRecordWaitsForChunkWrite checks that the final record of a job is not written while the write
// of one of its chunks is in flight. The transaction with the final record also removes the chunk's
// record, which would otherwise be left over.
func TestFinalRecordWaitsForChunkWrite(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.submitJob("job-1", "red", "standard", 10, 1, 0)
	j := f.scheduler.jobs.find("job-1")
	chunkKey, finalKey := storage.FinishedTasksKey("job-1", 0), storage.FinalJobKey("job-1")
	writes := func() []WriteRecords { // writes of the job's chunk or final record in the last step
		var found []WriteRecords
		for _, effect := range f.effects {
			write, ok := effect.(WriteRecords)
			if ok && (write.Operations[0].Put == chunkKey || write.Operations[0].Put == finalKey) {
				found = append(found, write)
			}
		}
		return found
	}
	f.scheduler.finishedTasks.recordCompletion(j, 0)
	f.now += limits.ChunkWriteInterval
	f.step(Tick{Entitled: true})
	chunk := writes()
	if len(chunk) != 1 || chunk[0].Operations[0].Put != chunkKey {
		t.Fatalf("writes after the first task is done: %+v, want one of the chunk", chunk)
	}
	for index := range 10 {
		f.scheduler.finishedTasks.recordCompletion(j, index)
	}
	f.step(Tick{Entitled: true})
	if got := writes(); len(got) != 0 {
		t.Fatalf("writes while the chunk write is in flight: %+v, want none", got)
	}
	f.step(WriteCompleted{ID: chunk[0].ID, Committed: true, Version: 7})
	final := writes()
	if len(final) != 1 || final[0].Operations[0].Put != finalKey || final[0].Operations[2].Delete != chunkKey {
		t.Fatalf("writes after the chunk write is completed: %+v, want one with the final record", final)
	}
}

// TestGangCompletionsDoNotBlock guards against a leader that stops answering when the largest gang that a job may be
// completes: each worker reports its tasks, and the work for one of them must not grow with the size of the gang.
func TestGangCompletionsDoNotBlock(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.submitGang("job-1", limits.MaxTasksPerJob, 0.01)
	j := f.scheduler.jobs.find("job-1")
	requireReturn(t, func() {
		for range 4 { // machines that run the same task again report it again
			for index := range j.spec.Tasks {
				f.scheduler.finishedTasks.recordCompletion(j, index)
			}
		}
	})
	if j.doneCount != limits.MaxTasksPerJob {
		t.Errorf("%d tasks of the gang are done, want %d", j.doneCount, limits.MaxTasksPerJob)
	}
}
