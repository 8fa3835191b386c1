package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
)

// The kinds of objectives that set a deadline.
const (
	objectiveDeadline = "deadline" // done within the job's own deadline, or a multiple of it
	objectiveFinished = "finished" // done within a time after the submission
	objectiveWait     = "wait"     // started within a time after the submission
)

// deadline is a time that a job should meet, by its completion or by the start of its tasks.
type deadline struct {
	at       time.Duration
	forStart bool
}

// deadlinesOf returns the deadlines of a job that the objectives of its class set, earliest first.
// Without any it is the job's own deadline, if it has one.
func deadlinesOf(j *job, objectives []config.Objective) []deadline {
	var deadlines []deadline
	add := func(seconds float64, forStart bool) {
		deadlines = append(deadlines, deadline{at: j.submittedAt + limits.Seconds(seconds), forStart: forStart})
	}
	for _, objective := range objectives {
		if objective.Class != j.spec.Class {
			continue
		}
		switch {
		case objective.Kind == objectiveDeadline && j.spec.DeadlineS > 0:
			add(j.spec.DeadlineS*max(objective.DeadlineMultiple, 1), false)
		case objective.Kind == objectiveFinished && objective.WithinS > 0:
			add(objective.WithinS, false)
		case objective.Kind == objectiveWait && objective.WithinS > 0:
			add(objective.WithinS, true)
		}
	}
	if len(deadlines) == 0 && j.spec.DeadlineS > 0 {
		add(j.spec.DeadlineS, false)
	}
	slices.SortFunc(deadlines, func(a, b deadline) int { return cmp.Compare(a.at, b.at) })
	return deadlines
}
