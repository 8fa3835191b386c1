package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// memoryStore is the state service as far as transactions go.
type memoryStore struct {
	records map[string]storedRecord
	version uint64
	changes int // carried out
}

// execute applies the writes among some effects and feeds the answers back. It returns the size of
// the largest transaction.
func (f *memoryStore) execute(s *Scheduler, out []Effect, now time.Duration) (most int) {
	for _, e := range out {
		w, ok := e.(WriteRecords)
		if !ok {
			continue
		}
		most = max(most, len(w.Operations))
		done := WriteCompleted{ID: w.ID, OK: true}
		for _, c := range w.Conditions {
			done.OK = done.OK && f.records[c.Key].version == c.Version
		}
		if done.OK {
			f.version++
			done.Version = f.version
			f.changes += len(w.Operations)
			for _, op := range w.Operations {
				if op.Delete != "" {
					delete(f.records, op.Delete)
					continue
				}
				f.records[op.Put] = storedRecord{f.version, op.Value}
			}
		}
		most = max(most, f.execute(s, s.Step(done, now), now))
	}
	return most
}

// union are the finished tasks that a new leader would read.
func (f *memoryStore) union(t *rapid.T, job string) map[int]bool {
	done := map[int]bool{}
	for key, p := range f.records {
		if id, _, ok := storage.ParseFinishedTasksKey(key); !ok || id != job {
			continue
		}
		var rec storage.FinishedTasks
		if err := protocol.Decode(p.value, &rec); err != nil {
			t.Fatal(err)
		}
		_ = rec.Decode(func(i int) { done[i] = true })
	}
	return done
}

// TestFinishedOfAnotherSize: records that were cut for larger or smaller values are read as their
// union; nothing that they tell is lost at any moment while they are replaced, and all are removed
// when the job is over, within the size of a transaction.
func TestFinishedOfAnotherSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, job = 6000, "job-1"
		sizes := []float64{0.5, 1, 2}
		before := storage.TasksPerChunk(rapid.SampledFrom(sizes).Draw(t, "before"))
		state := config.State{WriteRPS: 200, ValueKB: rapid.SampledFrom(sizes).Draw(t, "now"), TxnOps: 4}
		bits := newBitmap(tasks)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			bits.add(rapid.IntRange(0, tasks-2).Draw(t, "task"))
		}
		f := &memoryStore{records: map[string]storedRecord{storage.OpenJobKey(job): {version: 1}}, version: 10}
		s := New(Config{Term: 3, Teams: []config.Team{{Name: "red", CPUsMax: 100}}, Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34},
			State: state, Options: config.DefaultOptions()}, 0)
		s.Step(JobChanged{JobID: job, Version: 1, Record: storage.OpenJob{Spec: protocol.Spec{ID: job, Class: "c", Team: "red", Shape: protocol.ShapeArray,
			Priority: "standard", Tasks: tasks, CPUs: 1, EstimateS: 10}}}, 0)
		for base := 0; base < tasks; base += before {
			rec := storage.EncodeFinishedTasks(bits, base, before)
			if rec.Bits == "" {
				continue
			}
			f.version++
			f.records[storage.FinishedTasksKey(job, base)] = storedRecord{f.version, protocol.Encode(rec)}
			s.Step(FinishedTasksLoaded{JobID: job, Version: f.version, Record: rec}, 0)
		}
		f.version++
		f.records[storage.FinishedTasksKey("job-9", 0)] = storedRecord{f.version, protocol.Encode(storage.FinishedTasks{})}
		s.Step(FinishedTasksLoaded{JobID: "job-9", Version: f.version, Record: storage.FinishedTasks{}}, 0) // left behind by an earlier version
		now := time.Second
		f.execute(s, s.Step(StateLoaded{}, now), now)
		j := s.jobs.find(job)
		expect := func(what string) {
			got := f.union(t, job)
			for i := range tasks {
				if bits.has(i) && !(j.done.has(i) && got[i]) {
					t.Fatalf("%s: finished task %d: known %v, stored %v", what, i, j.done.has(i), got[i])
				}
			}
		}
		expect("read")
		for range 30 { // all that is written again goes out, one piece after the other
			s.finished.recordDone(j, rapid.IntRange(0, tasks-1).Draw(t, "finished"))
			now += 3 * time.Second
			out := s.Step(Tick{Entitled: true}, now)
			for len(out) > 0 { // one write at a time
				f.execute(s, out[:1], now)
				out = out[1:]
				expect("rewritten")
			}
		}
		for i := range tasks {
			s.finished.recordDone(j, i)
		}
		most := 0
		for range 30 {
			now += 3 * time.Second
			most = max(most, f.execute(s, s.Step(Tick{Entitled: true}, now), now))
		}
		if most > state.TxnOps {
			t.Errorf("a transaction of %d changes", most)
		}
		for key := range f.records {
			if key != storage.FinalJobKey(job) {
				t.Errorf("left behind: %s", key)
			}
		}
	})
}
