package storage

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestFinishedTasksRoundTrip checks that the chunks of a job together hold exactly its finished tasks,
// for several value limits, and that each record fits the limit.
func TestFinishedTasksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueKB := rapid.SampledFrom([]float64{0.25, 1, 4, 8}).Draw(t, "kb")
		size := TasksPerChunk(valueKB)
		tasks := rapid.IntRange(1, 100_000).Draw(t, "tasks")
		bits := make([]uint64, (tasks+63)/64)
		want := map[int]bool{}
		for range rapid.IntRange(0, 200).Draw(t, "done") {
			task := rapid.IntRange(0, tasks-1).Draw(t, "i")
			bits[task/64] |= 1 << (task % 64)
			want[task] = true
		}
		if rapid.Bool().Draw(t, "all") {
			for task := range tasks {
				bits[task/64] |= 1 << (task % 64)
				want[task] = true
			}
		}
		got := map[int]bool{}
		for firstTask := 0; firstTask < tasks; firstTask += size {
			chunk := EncodeFinishedTasks(bits, firstTask, size)
			if !FitsValueLimit(chunk, valueKB) {
				t.Fatalf("record of a chunk of %d tasks does not fit %v KiB", size, valueKB)
			}
			var decoded FinishedTasks
			if err := protocol.Decode(protocol.Encode(chunk), &decoded); err != nil {
				t.Fatal(err)
			}
			if err := decoded.Decode(func(task int) { got[task] = true }); err != nil {
				t.Fatal(err)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("decoded %d finished tasks, want %d", len(got), len(want))
		}
		for task := range want {
			if !got[task] {
				t.Fatalf("finished task %d is missing from the decoded chunks", task)
			}
		}
	})
}

// TestFinishedTasksKey checks that a key is parsed into its parts, and that other keys are rejected.
func TestFinishedTasksKey(t *testing.T) {
	if id, firstTask, ok := ParseFinishedTasksKey(FinishedTasksKey("job-7", 4096)); !ok ||
		id != "job-7" || firstTask != 4096 {
		t.Fatalf("parsed as job %q, first task %d, ok %v; want job-7, 4096, true", id, firstTask, ok)
	}
	for _, key := range []string{"open/job-7", "fin/job-7", "fin/job-7/x"} {
		if _, _, ok := ParseFinishedTasksKey(key); ok {
			t.Errorf("key %q was accepted as a key of finished tasks", key)
		}
	}
}

// TestRecordSizesWithExtremeValueLimit checks that the sizes of records stay within what the service takes in one
// transaction, whatever limit on values the settings name.
func TestRecordSizesWithExtremeValueLimit(t *testing.T) {
	for _, valueKB := range []float64{64, 1e6, 1e300, math.MaxFloat64} {
		tasks := TasksPerChunk(valueKB)
		if tasks <= 0 || tasks%64 != 0 || tasks/8 > limits.MaxTransactionBytes {
			t.Errorf("with a limit of %v KiB a chunk has %d tasks", valueKB, tasks)
		}
		if machines := MaxRentalMachines(valueKB); machines != limits.MaxRentalSize {
			t.Errorf("with a limit of %v KiB a rental has up to %d machines, want %d",
				valueKB, machines, limits.MaxRentalSize)
		}
	}
}
