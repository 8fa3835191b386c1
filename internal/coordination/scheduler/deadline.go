package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
)

// Kinds of objectives in the settings that set a deadline.
const (
	objectiveDeadline = "deadline" // completed within the job's own deadline, or a multiple of it
	objectiveFinished = "finished" // completed within a given time after submission
	objectiveWait     = "wait"     // started within a given time after submission
)

// deadline is a time by which a job should complete or, if forStart is set, start its tasks.
type deadline struct {
	at       time.Duration
	forStart bool
}

// deadlinesOf returns the deadlines that the objectives of a job's class set, earliest first. If they
// set none, it returns the deadline of the job's spec, if there is one.
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
			add(j.spec.DeadlineS*max(objective.Times, 1), false)
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
