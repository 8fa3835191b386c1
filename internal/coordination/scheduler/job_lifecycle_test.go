package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestStepTime: an event with an earlier time than one before it does not turn time back.
func TestStepTime(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.scheduler.Step(Tick{Entitled: true}, time.Minute)
	f.scheduler.Step(Tick{Entitled: true}, time.Second)
	if got := f.scheduler.now; got != time.Minute {
		t.Errorf("the time is %v", got)
	}
}

// TestJobRemovedByOthers: a job whose open record somebody else has removed is over, and a late
// record does not open it again. Its running tasks are stopped.
func TestJobRemovedByOthers(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	j := f.scheduler.jobs.find("job-1")
	f.confirmDirectStarts()
	f.step(JobRemoved{JobID: "job-1", Version: j.version})
	if f.scheduler.jobs.find("job-1") == nil {
		t.Fatal("closed by the removal of an older record")
	}
	f.step(JobRemoved{JobID: "job-1", Version: j.version + 1})
	if f.scheduler.jobs.find("job-1") != nil || !j.closed {
		t.Fatal("still open")
	}
	if a := j.assignments[0]; a == nil || !a.stopping {
		t.Errorf("its task is not stopped: %+v", a)
	}
	f.step(JobChanged{JobID: "job-1", Version: j.version + 2, Record: storage.OpenJob{Spec: j.spec}})
	if f.scheduler.jobs.find("job-1") != nil {
		t.Error("opened again by a late record")
	}
}

// TestOwnRemovalIsAwaited: the removal of the open record by our own final write closes the job only
// when that write is completed.
func TestOwnRemovalIsAwaited(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 100, 0) // too large for any machine
	j := f.scheduler.jobs.find("job-1")
	f.cancel("job-1", 0)
	var final WriteRecords
	for _, effect := range f.effects {
		if write, ok := effect.(WriteRecords); ok && write.Operations[0].Put == storage.FinalJobKey("job-1") {
			final = write
		}
	}
	if final.ID == 0 || !j.closing {
		t.Fatalf("no final record is written: %+v", f.effects)
	}
	f.step(JobRemoved{JobID: "job-1", Version: j.version + 1})
	if j.closed {
		t.Error("closed before the write was completed")
	}
	f.step(WriteCompleted{ID: final.ID, OK: true, Version: j.version + 1})
	if !j.closed || f.scheduler.jobs.find("job-1") != nil {
		t.Error("not closed when the write was completed")
	}
}

// TestFinalWriteRefused: if the open record has changed meanwhile, the final one is written again
// after the change is seen.
func TestFinalWriteRefused(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 1, 1, 0)
	j := f.scheduler.jobs.find("job-1")
	task := f.confirmDirectStarts()
	task.State, task.Reason = protocol.TaskEnded, protocol.ReasonDone
	f.sendHeartbeat(0, task)
	if !j.closing {
		t.Fatalf("no final record is written: %+v", f.effects)
	}
	first := f.scheduler.lastWriteID
	f.step(WriteCompleted{ID: first})
	if j.closing || j.closed {
		t.Fatal("closed by a refused write")
	}
	f.cancel("job-1", 0)
	if !j.closing || f.scheduler.lastWriteID == first {
		t.Error("the final record is not written again")
	}
}
