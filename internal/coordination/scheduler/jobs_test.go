package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestJobTable checks that the table keeps jobs in order of submission, opens no job of an unknown team,
// and does not reopen a closed job.
func TestJobTable(t *testing.T) {
	f := newQueueFixture()
	open := func(id, team string, sinceSubmission time.Duration) *job {
		return f.jobs.open(JobChanged{JobID: id, SinceSubmission: sinceSubmission, Record: storage.OpenJob{
			Spec: protocol.Spec{ID: id, Team: team, Tasks: 1},
		}}, 1)
	}
	young, old := open("young", "red", time.Second), open("old", "blue", time.Minute)
	middle := open("middle", "red", 30*time.Second)
	if got := joinIDs(f.jobs.oldestFirst()); got != "[old middle young]" {
		t.Errorf("order of submission: %s", got)
	}
	if open("of no team", "green", 0) != nil || f.jobs.count() != 3 {
		t.Errorf("a job of an unknown team was opened")
	}
	f.jobs.close(middle)
	if f.jobs.find("middle") != nil || open("middle", "red", 0) != nil {
		t.Error("a closed job was not removed, or was reopened")
	}
	if got := joinIDs(f.jobs.oldestFirst()); got != "[old young]" ||
		f.jobs.find("old") != old || f.jobs.find("young") != young {
		t.Errorf("open jobs after one was closed: %s", got)
	}
}

// TestGuarantees checks that a team's guarantee covers its unfinished jobs, oldest first, and that the
// tasks of cancelled jobs do not use up the guarantee.
func TestGuarantees(t *testing.T) {
	f := newQueueFixture() // team red is guaranteed 8 CPUs, team blue none
	first, second := f.submit("a", "red", "standard", 6, 0), f.submit("b", "red", "standard", 3, 0)
	other := f.submit("c", "blue", "standard", 1, 0)
	expect := func(when string, guaranteed ...bool) {
		t.Helper()
		f.jobs.updateGuarantees()
		for i, j := range []*job{first, second, other} {
			if j.guaranteed != guaranteed[i] {
				t.Errorf("%s: job %s: guaranteed %v, want %v", when, j.id, j.guaranteed, guaranteed[i])
			}
		}
	}
	expect("9 CPUs needed by team red", true, false, false)
	first.doneCount = 1
	expect("8 CPUs needed by team red", true, true, false)
	first.doneCount, first.cancelled = 0, true
	expect("first job cancelled", true, true, false)
}

// TestTaskCounts checks the reply to a request for task counts: tasks count as running while they run or
// save, and those of a gang only if all of them do.
func TestTaskCounts(t *testing.T) {
	f := newQueueFixture()
	j := f.submit("job-1", "red", "standard", 10, 0)
	j.doneCount = 2
	for index, state := range []assignmentState{stateUnsent, stateSent, stateFetching, stateRunning, stateSaving} {
		j.assignments[index] = &assignment{index: index, state: state}
	}
	ask := func(id string) TaskCounts {
		f.env.beginStep(0)
		f.jobs.answerTaskCounts(TaskCountsRequested{JobID: id})
		return f.env.effects[0].(TaskCounts)
	}
	if got := ask("job-1"); got != (TaskCounts{Known: true, Done: 2, Running: 2}) {
		t.Errorf("task counts: %+v", got)
	}
	j.gang = &gang{job: j}
	if got := ask("job-1"); got.Running != 0 {
		t.Errorf("%d tasks of an incomplete gang counted as running, want 0", got.Running)
	}
	if got := ask("job-2"); got.Known {
		t.Errorf("task counts of an unknown job: %+v", got)
	}
}
