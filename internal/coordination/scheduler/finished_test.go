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
	pairs   map[string]pairOf
	stamp   uint64
	changes int // carried out
}

// carryOut applies the writes among some effects and feeds the answers back. It returns the size of the largest transaction.
func (f *memoryStore) carryOut(s *Scheduler, out []Effect, now time.Duration) (most int) {
	for _, e := range out {
		w, ok := e.(WriteOut)
		if !ok {
			continue
		}
		most = max(most, len(w.Ops))
		done := WriteDone{ID: w.ID, OK: true}
		for _, c := range w.Conditions {
			done.OK = done.OK && f.pairs[c.Key].stamp == c.Version
		}
		if done.OK {
			f.stamp++
			done.Version = f.stamp
			f.changes += len(w.Ops)
			for _, op := range w.Ops {
				if op.Delete != "" {
					delete(f.pairs, op.Delete)
					continue
				}
				f.pairs[op.Put] = pairOf{f.stamp, op.Value}
			}
		}
		most = max(most, f.carryOut(s, s.Step(done, now), now))
	}
	return most
}

// union are the finished tasks that a new leader would read.
func (f *memoryStore) union(t *rapid.T, job string) map[int]bool {
	done := map[int]bool{}
	for key, p := range f.pairs {
		if id, _, ok := storage.ParseFinKey(key); !ok || id != job {
			continue
		}
		var rec storage.Fin
		if err := protocol.Decode(p.data, &rec); err != nil {
			t.Fatal(err)
		}
		_ = rec.Decode(func(i int) { done[i] = true })
	}
	return done
}

// TestFinishedOfAnotherSize: records that were cut for larger or smaller values are read as their union; nothing that they tell is
// lost at any moment while they are replaced, and all are removed when the job is over, within the size of a transaction.
func TestFinishedOfAnotherSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, job = 6000, "job-1"
		sizes := []float64{0.5, 1, 2}
		before := storage.ChunkTasks(rapid.SampledFrom(sizes).Draw(t, "before"))
		state := config.State{WriteRPS: 200, ValueKB: rapid.SampledFrom(sizes).Draw(t, "now"), TxnOps: 4}
		bits := make([]uint64, (tasks+63)/64)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			setBit(bits, rapid.IntRange(0, tasks-2).Draw(t, "task"))
		}
		f := &memoryStore{pairs: map[string]pairOf{storage.OpenKey(job): {stamp: 1}}, stamp: 10}
		s := New(Config{Term: 3, Teams: []config.Team{{Name: "red", CPUsMax: 100}}, Workers: config.Workers{ReportS: 2, LeaseS: 14, CancelS: 34},
			State: state, Options: config.DefaultOptions()}, 0)
		s.Step(JobSeen{ID: job, Version: 1, Rec: storage.Open{Spec: protocol.Spec{ID: job, Class: "c", Team: "red", Shape: protocol.ShapeArray,
			Priority: "standard", Tasks: tasks, CPUs: 1, EstimateS: 10}}}, 0)
		for base := 0; base < tasks; base += before {
			rec := storage.EncodeFin(bits, base, before)
			if rec.Bits == "" {
				continue
			}
			f.stamp++
			f.pairs[storage.FinKey(job, base)] = pairOf{f.stamp, protocol.Encode(rec)}
			s.Step(FinishedLoaded{ID: job, Version: f.stamp, Rec: rec}, 0)
		}
		f.stamp++
		f.pairs[storage.FinKey("job-9", 0)] = pairOf{f.stamp, protocol.Encode(storage.Fin{})}
		s.Step(FinishedLoaded{ID: "job-9", Version: f.stamp, Rec: storage.Fin{}}, 0) // left behind by an earlier version
		now := time.Second
		f.carryOut(s, s.Step(Loaded{}, now), now)
		j := s.jobs[job]
		expect := func(what string) {
			got := f.union(t, job)
			for i := range tasks {
				if getBit(bits, i) && !(getBit(j.done, i) && got[i]) {
					t.Fatalf("%s: finished task %d: known %v, stored %v", what, i, getBit(j.done, i), got[i])
				}
			}
		}
		expect("read")
		for range 30 { // all that is written again goes out, one piece after the other
			s.taskDone(j, rapid.IntRange(0, tasks-1).Draw(t, "finished"))
			now += 3 * time.Second
			out := s.Step(Tick{Entitled: true}, now)
			for len(out) > 0 { // one write at a time
				f.carryOut(s, out[:1], now)
				out = out[1:]
				expect("rewritten")
			}
		}
		for i := range tasks {
			s.taskDone(j, i)
		}
		most := 0
		for range 30 {
			now += 3 * time.Second
			most = max(most, f.carryOut(s, s.Step(Tick{Entitled: true}, now), now))
		}
		if most > state.TxnOps {
			t.Errorf("a transaction of %d changes", most)
		}
		for key := range f.pairs {
			if key != storage.FinalKey(job) {
				t.Errorf("left behind: %s", key)
			}
		}
	})
}
