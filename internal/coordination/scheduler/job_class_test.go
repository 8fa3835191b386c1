package scheduler

import (
	"math"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// submitEstimated opens a job with one task and the given estimate of its run time, which is due in 1000 s.
func (f *schedulerFixture) submitEstimated(id string, estimateS float64) *job {
	return f.submitSpec(protocol.Spec{
		ID: id, Team: "red", Priority: "standard", Tasks: 1, CPUs: 1, EstimateS: estimateS, DeadlineS: 1000,
	})
}

// TestTinyEstimateDoesNotSpoilItsClass guards against a user's estimate so low that the ratio of the measured run time
// to it is infinite: for the rest of the term, all jobs of the class would have an infinite estimate, or one that is
// not a number, and would count as unable to meet their deadlines.
func TestTinyEstimateDoesNotSpoilItsClass(t *testing.T) {
	f := newSchedulerFixture(t, 1)
	f.sendHeartbeat(0)
	tiny := f.submitEstimated("job-1", 5e-324)
	start := f.directCommands()[0].Commands[0]
	f.runFor(10*time.Second, runningStatus(start))
	f.sendHeartbeat(0, completedStatus(start))
	if tiny.doneCount != 1 {
		t.Fatalf("%d tasks done, want 1", tiny.doneCount)
	}
	for id, estimateS := range map[string]float64{"job-2": 0, "job-3": 5e-324, "job-4": 5, "job-5": limits.MaxAmount} {
		j := f.submitEstimated(id, estimateS)
		want := max(estimateS*limits.MaxRunTimeRatio, limits.MinRunTimeS)
		if got := j.estimatedRunSeconds(); got > want || got < limits.MinRunTimeS || math.IsNaN(got) {
			t.Errorf("estimate %v of the user: estimated run time %v, want at most %v", estimateS, got, want)
		}
		if slack, late := f.scheduler.queue.slack(j); late != (estimateS == limits.MaxAmount) {
			t.Errorf("estimate %v of the user: slack %v, late: %v", estimateS, slack, late)
		}
	}
	class := tiny.class
	for range 100 {
		class.recordRunTime(10, 10)
	}
	if class.runTimeRatio > 2 {
		t.Errorf("ratio %v after 100 tasks with exact estimates, want about 1", class.runTimeRatio)
	}
}
