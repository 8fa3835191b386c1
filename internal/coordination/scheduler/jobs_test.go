package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestJobTable: jobs are kept in order of submission, and one that is over is not opened again.
func TestJobTable(t *testing.T) {
	f := newQueueFixture()
	open := func(id, team string, sinceSubmission time.Duration) *job {
		return f.jobs.open(JobChanged{JobID: id, SinceSubmission: sinceSubmission, Record: storage.OpenJob{
			Spec: protocol.Spec{ID: id, Team: team, Tasks: 1},
		}}, 1)
	}
	young, old := open("young", "red", time.Second), open("old", "blue", time.Minute)
	middle := open("middle", "red", 30*time.Second)
	if got := ids(f.jobs.oldestFirst()); got != "[old middle young]" {
		t.Errorf("order of submission: %s", got)
	}
	if open("of no team", "green", 0) != nil || f.jobs.count() != 3 {
		t.Errorf("a job of an unknown team is opened")
	}
	f.jobs.close(middle)
	if f.jobs.find("middle") != nil || open("middle", "red", 0) != nil {
		t.Error("a job that is over is opened again")
	}
	if got := ids(f.jobs.oldestFirst()); got != "[old young]" ||
		f.jobs.find("old") != old || f.jobs.find("young") != young {
		t.Errorf("after the end of one: %s", got)
	}
}

// TestGuarantees: a team's guarantee covers its unfinished jobs, the oldest first, and no job that is
// cancelled.
func TestGuarantees(t *testing.T) {
	f := newQueueFixture() // red has a guarantee of 8 CPUs, blue has none
	first, second := f.submit("a", "red", "standard", 6, 0), f.submit("b", "red", "standard", 3, 0)
	other := f.submit("c", "blue", "standard", 1, 0)
	expect := func(when string, guaranteed ...bool) {
		t.Helper()
		f.jobs.updateGuarantees()
		for i, j := range []*job{first, second, other} {
			if j.guaranteed != guaranteed[i] {
				t.Errorf("%s: job %s is guaranteed: %v", when, j.id, j.guaranteed)
			}
		}
	}
	expect("9 CPUs are claimed", true, false, false)
	first.doneCount = 1
	expect("8 CPUs are claimed", true, true, false)
	first.doneCount, first.cancelled = 0, true
	expect("the first is cancelled", true, true, false)
}

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
		t.Errorf("counts: %+v", got)
	}
	j.gang = &gang{job: j}
	if got := ask("job-1"); got.Running != 0 {
		t.Errorf("%d tasks of a gang run without the others", got.Running)
	}
	if got := ask("job-2"); got.Known {
		t.Errorf("an unknown job: %+v", got)
	}
}
