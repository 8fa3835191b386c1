package gateway

import (
	"net/http"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestPollsNeedNoSubmissionSlot guards against polls that are rejected because submissions and cancellations,
// which take longer, hold all slots.
func TestPollsNeedNoSubmissionSlot(t *testing.T) {
	f := newGatewayFixture(t)
	f.expect("submission", submit(jobSpec("job-1", nil)), http.StatusCreated, protocol.JobPending)
	for range cap(f.gateway.userSlots) {
		f.gateway.userSlots <- struct{}{}
	}
	f.expectRetryLater("submission without a free slot", submit(jobSpec("job-2", nil)))
	f.expect("poll", get("/v2/runs/job-1"), http.StatusOK, protocol.JobPending)
	f.expect("poll of an unknown job", get("/v2/runs/job-2"), http.StatusNotFound, "")
}

// TestUnansweredQuestionsAreReported checks that a job about which users ask for too long without an answer is
// reported once, unless they were answered in between, stopped asking, or the state service was not reachable.
func TestUnansweredQuestionsAreReported(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	const interval = 5 * time.Second
	// step is the question that arrives limits.MaxUnansweredAge after the first.
	const step = int(limits.MaxUnansweredAge / interval)
	for _, c := range []struct {
		name        string
		unreachable time.Duration       // time from the first question until the state service is reachable
		between     func(*questionAges) // is called before the question in the middle
		pause       time.Duration       // additional time before the question in the middle
		reportedAt  int                 // question with which the job is reported
	}{
		{name: "never answered", reportedAt: step},
		{name: "answered once", between: func(a *questionAges) { a.recordAnswer("job-1") }, reportedAt: step/2 + step},
		{name: "not asked for a while", pause: limits.MaxQuestionGap, reportedAt: step/2 + step},
		{name: "unreachable at first", unreachable: 4 * interval, reportedAt: step + 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			ages := newQuestionAges()
			reports, at := 0, start
			for question := range 4 * step {
				if question == step/2 {
					at = at.Add(c.pause)
					if c.between != nil {
						c.between(ages)
					}
				}
				if _, report := ages.recordFailure("job-1", at, start.Add(c.unreachable)); report {
					reports++
					if question != c.reportedAt {
						t.Errorf("reported with question %d, want question %d", question, c.reportedAt)
					}
				}
				at = at.Add(interval)
			}
			if reports != 1 {
				t.Errorf("reported %d times, want once", reports)
			}
		})
	}
}

// TestQuestionAgesAreForgotten checks that the ages of questions take no memory when nobody asks any more, and
// that their number is bounded.
func TestQuestionAgesAreForgotten(t *testing.T) {
	ages, now := newQuestionAges(), time.Now()
	for i := range limits.MaxQuestionAges + 10 {
		ages.recordFailure("job-"+time.Duration(i).String(), now, now)
	}
	if len(ages.jobs) != limits.MaxQuestionAges {
		t.Errorf("ages of %d jobs, want %d", len(ages.jobs), limits.MaxQuestionAges)
	}
	ages.forgetOld(now.Add(limits.MaxQuestionGap + time.Second))
	if len(ages.jobs) != 0 {
		t.Errorf("ages of %d jobs after nobody asks any more, want none", len(ages.jobs))
	}
}
