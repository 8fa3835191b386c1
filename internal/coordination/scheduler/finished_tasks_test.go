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

// TestFinishedTasksOfAnotherSize: records that were cut for larger or smaller values are read as
// their union; nothing that they tell is lost at any moment while they are replaced, and all are
// removed when the job is over, within the size of a transaction.
func TestFinishedTasksOfAnotherSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, job = 6000, "job-1"
		sizes := []float64{0.5, 1, 2} // of a value, in KB
		before := storage.TasksPerChunk(rapid.SampledFrom(sizes).Draw(t, "before"))
		state := config.StateLimits{WriteRPS: 200, ValueKB: rapid.SampledFrom(sizes).Draw(t, "now"), TxnOps: 4}
		finished := newBitmap(tasks)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			finished.add(rapid.IntRange(0, tasks-2).Draw(t, "task"))
		}
		store := &memoryStore{records: map[string]storedRecord{storage.OpenJobKey(job): {version: 1}}, version: 10}
		s := newSchedulerOfOneJob(state, job, tasks)
		loadFinishedTasks(s, store, job, finished, tasks, before)
		orphan := storage.FinishedTasks{} // of a job that is over, left behind by an earlier version
		orphanVersion := store.put(storage.FinishedTasksKey("job-9", 0), orphan)
		s.Step(FinishedTasksLoaded{JobID: "job-9", Version: orphanVersion, Record: orphan}, 0)
		now := time.Second
		store.execute(s, s.Step(StateLoaded{}, now), now)
		j := s.jobs.find(job)
		requireAllKnown := func(when string) {
			stored := store.finishedTasks(t, job)
			for i := range tasks {
				if finished.has(i) && !(j.done.has(i) && stored[i]) {
					t.Fatalf("%s: finished task %d: known %v, stored %v", when, i, j.done.has(i), stored[i])
				}
			}
		}
		requireAllKnown("loaded")
		for range 30 { // all that is written again goes out, one record after the other
			s.finished.recordDone(j, rapid.IntRange(0, tasks-1).Draw(t, "finished"))
			now += 3 * time.Second
			for _, effect := range s.Step(Tick{Entitled: true}, now) {
				store.execute(s, []Effect{effect}, now)
				requireAllKnown("rewritten")
			}
		}
		for i := range tasks {
			s.finished.recordDone(j, i)
		}
		largest := 0
		for range 30 {
			now += 3 * time.Second
			largest = max(largest, store.execute(s, s.Step(Tick{Entitled: true}, now), now))
		}
		if largest > state.TxnOps {
			t.Errorf("a transaction of %d operations", largest)
		}
		for key := range store.records {
			if key != storage.FinalJobKey(job) {
				t.Errorf("left behind: %s", key)
			}
		}
	})
}

// newSchedulerOfOneJob returns a scheduler that has loaded a job array, and nothing else yet.
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

// loadFinishedTasks stores and loads the finished tasks of a job in records of some size.
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

// TestLargestJob: a job of the largest size is placed, recorded in chunks below the value limit, and
// finished.
func TestLargestJob(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.report(0)
	f.report(1)
	f.job("job-1", "red", "standard", limits.MaxTasksPerJob, 0.01, 0)
	j := f.scheduler.jobs.find("job-1")
	for _, m := range f.scheduler.inventory.all() {
		if len(m.assignments) > limits.MaxTasksPerMachine {
			t.Fatalf("%d tasks on %s: its heartbeat would be too long", len(m.assignments), m.name)
		}
	}
	if len(j.assignments) == 0 || len(j.chunks) < 2 {
		t.Fatalf("%d tasks assigned, %d chunks", len(j.assignments), len(j.chunks))
	}
	for i := range limits.MaxTasksPerJob {
		if j.assignments[i] == nil {
			f.scheduler.finished.recordDone(j, i)
		}
	}
	f.now += 4 * time.Second
	for _, effect := range f.step(Tick{Entitled: true}) {
		if write, ok := effect.(WriteRecords); ok && len(write.Operations) > 8 {
			t.Fatalf("%d operations", len(write.Operations))
		}
	}
	if got := j.waitingTasks(); got != 0 {
		t.Fatalf("%d tasks wait", got)
	}
}

// TestOrphanOfAnOpenJob: finished tasks of a job that is open, but whose team the settings do not
// name, are no orphans.
func TestOrphanOfAnOpenJob(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	s := New(f.scheduler.cfg, 0)
	spec := protocol.Spec{ID: "job-1", Team: "gone", Priority: "low", Tasks: 2}
	s.Step(JobChanged{JobID: "job-1", Version: 5, Record: storage.OpenJob{Spec: spec}}, 0)
	s.Step(FinishedTasksLoaded{JobID: "job-1", Version: 6, Record: storage.FinishedTasks{Bitmap: "AQ"}}, 0)
	noOpenRecord := protocol.Condition{Key: storage.OpenJobKey("job-1")}
	for _, effect := range s.Step(StateLoaded{}, 0) {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Delete != "" {
			if len(write.Conditions) != 1 || write.Conditions[0] != noOpenRecord {
				t.Errorf("removed without a condition: %+v", write)
			}
		}
	}
}

// TestFinalRecordWaitsForChunk: while a chunk of a job is being written, the final record is not; it
// removes what the write has left behind.
func TestFinalRecordWaitsForChunk(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.job("job-1", "red", "standard", 10, 1, 0)
	j := f.scheduler.jobs.find("job-1")
	chunkKey, finalKey := storage.FinishedTasksKey("job-1", 0), storage.FinalJobKey("job-1")
	writes := func() []WriteRecords { // of the job
		var found []WriteRecords
		for _, effect := range f.effects {
			write, ok := effect.(WriteRecords)
			if ok && (write.Operations[0].Put == chunkKey || write.Operations[0].Put == finalKey) {
				found = append(found, write)
			}
		}
		return found
	}
	f.scheduler.finished.recordDone(j, 0)
	f.now += limits.ChunkWriteInterval
	f.step(Tick{Entitled: true})
	chunk := writes()
	if len(chunk) != 1 || chunk[0].Operations[0].Put != chunkKey {
		t.Fatalf("writes after a task is done: %+v", chunk)
	}
	for index := range 10 {
		f.scheduler.finished.recordDone(j, index)
	}
	f.step(Tick{Entitled: true})
	if got := writes(); len(got) != 0 {
		t.Fatalf("writes while the chunk is written: %+v", got)
	}
	f.step(WriteCompleted{ID: chunk[0].ID, OK: true, Version: 7})
	final := writes()
	if len(final) != 1 || final[0].Operations[0].Put != finalKey || final[0].Operations[2].Delete != chunkKey {
		t.Fatalf("writes after that: %+v", final)
	}
}
