package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestStepTimeIsMonotonic checks that an event with an earlier time than the event before it does not set
// the scheduler's time back.
func TestStepTimeIsMonotonic(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.scheduler.Step(Tick{Entitled: true}, time.Minute)
	f.scheduler.Step(Tick{Entitled: true}, time.Second)
	if got := f.scheduler.now; got != time.Minute {
		t.Errorf("time after the earlier event is %v, want 1m", got)
	}
}

// TestJobRemovedByOthers checks that a job is closed when another party deletes its open record: its
// running tasks are stopped, and a delayed open record does not reopen it. The deletion of an older
// version of the record has no effect.
func TestJobRemovedByOthers(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	j := f.scheduler.jobs.find("job-1")
	f.confirmDirectStarts()
	f.step(JobRemoved{JobID: "job-1", Version: j.version})
	if f.scheduler.jobs.find("job-1") == nil {
		t.Fatal("job closed by the removal of an older version of its record")
	}
	f.step(JobRemoved{JobID: "job-1", Version: j.version + 1})
	if f.scheduler.jobs.find("job-1") != nil || !j.closed {
		t.Fatal("job still open after its record was removed")
	}
	if a := j.assignments[0]; a == nil || !a.stopping {
		t.Errorf("task of the removed job is not stopping: %+v", a)
	}
	f.step(JobChanged{JobID: "job-1", Version: j.version + 2, Record: storage.OpenJob{Spec: j.spec}})
	if f.scheduler.jobs.find("job-1") != nil {
		t.Error("job reopened by a delayed open record")
	}
}

// TestRemovalByOwnFinalWrite checks that a job whose open record is deleted by the leader's own final
// write is closed only when that write is reported as completed.
func TestRemovalByOwnFinalWrite(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 100, 0) // needs more CPUs than any machine has
	j := f.scheduler.jobs.find("job-1")
	f.cancel("job-1", 0)
	var final WriteRecords
	for _, effect := range f.effects {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Put == storage.FinalJobKey("job-1") {
			final = write
		}
	}
	if final.ID == 0 || !j.closing {
		t.Fatalf("final record not written: %+v", f.effects)
	}
	f.step(JobRemoved{JobID: "job-1", Version: j.version + 1})
	if j.closed {
		t.Error("job closed before the final write was completed")
	}
	f.step(WriteCompleted{ID: final.ID, Committed: true, Version: j.version + 1})
	if !j.closed || f.scheduler.jobs.find("job-1") != nil {
		t.Error("job not closed after the final write was completed")
	}
}

// TestFinalWriteRetriedAfterConflict checks that if the open record has changed concurrently, so that the
// final write fails, the final record is written again once the new open record arrives.
func TestFinalWriteRetriedAfterConflict(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	j := f.scheduler.jobs.find("job-1")
	task := f.confirmDirectStarts()
	task.State, task.Reason = protocol.TaskEnded, protocol.ReasonDone
	f.sendHeartbeat(0, task)
	if !j.closing {
		t.Fatalf("final record not written: %+v", f.effects)
	}
	first := f.scheduler.lastWriteID
	f.step(WriteCompleted{ID: first})
	if j.closing || j.closed {
		t.Fatal("job still closing, or closed, after the final write failed")
	}
	f.cancel("job-1", 0)
	if !j.closing || f.scheduler.lastWriteID == first {
		t.Error("final record not written again")
	}
}
