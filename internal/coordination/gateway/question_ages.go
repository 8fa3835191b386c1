package gateway

import (
	"sync"
	"time"

	"quillshunt/internal/limits"
)

// questionAges records since when users ask about jobs without an answer from this controller. It is safe for
// concurrent use.
type questionAges struct {
	mu   sync.Mutex
	jobs map[string]questionAge // by job ID
}

// questionAge describes the questions about a job that this controller has not answered.
type questionAge struct {
	firstAt, lastAt time.Time // when the first and the last of them arrived
	number          int       // how many there are
	reported        bool      // as a violation of the invariant on their age
}

// isContinuedAt reports whether a question that arrives at a time is considered together with the earlier
// ones. It is not if too much time has passed since the last of them.
func (q questionAge) isContinuedAt(at time.Time) bool {
	return at.Sub(q.lastAt) <= limits.MaxQuestionGap
}

func newQuestionAges() *questionAges { return &questionAges{jobs: map[string]questionAge{}} }

// since returns since when users ask about a job without an answer, given that there is a question now.
func (a *questionAges) since(id string, now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if age, ok := a.jobs[id]; ok && age.isContinuedAt(now) {
		return age.firstAt
	}
	return now
}

// recordAnswer records that a question about a job was answered.
func (a *questionAges) recordAnswer(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, id)
}

// recordFailure records that a question about a job, which arrived at a time, was not answered. It returns
// since when there was no answer, and whether this is to be reported now: that is so once, when the age has
// reached limits.MaxUnansweredAge, and not if the state service was not reachable all that time.
func (a *questionAges) recordFailure(id string, arrivedAt, reachableSince time.Time) (firstAt time.Time, report bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	age, ok := a.jobs[id]
	if !ok && len(a.jobs) >= limits.MaxQuestionAges {
		return arrivedAt, false
	}
	if !ok || !age.isContinuedAt(arrivedAt) {
		age = questionAge{firstAt: arrivedAt}
	}
	age.lastAt = arrivedAt
	age.number++
	from := age.firstAt
	if from.Before(reachableSince) {
		from = reachableSince
	}
	report = !age.reported && age.number >= limits.MinUnansweredQuestions &&
		arrivedAt.Sub(from) >= limits.MaxUnansweredAge
	age.reported = age.reported || report
	a.jobs[id] = age
	return age.firstAt, report
}

// forgetOld forgets the jobs about which users do not ask any more.
func (a *questionAges) forgetOld(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, age := range a.jobs {
		if !age.isContinuedAt(now) {
			delete(a.jobs, id)
		}
	}
}
