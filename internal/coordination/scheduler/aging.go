package scheduler

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"quillshunt/internal/limits"
)

// jobGroup identifies the jobs of one class and team that have about the same number of tasks. Credit and
// started tasks are counted for each group, so that no kind of job starves during a long overload.
type jobGroup struct {
	class     *jobClass
	team      *team
	sizeClass int // bit length of the number of tasks, so each size class spans a factor of two
}

func (j *job) group() jobGroup { return jobGroup{j.class, j.team, bits.Len(uint(j.spec.Tasks))} }

// groupProgress is the sum of the aging credit of a group's jobs, in tasks, and how much of this credit
// started tasks have used.
type groupProgress struct{ credit, started int }

// agingCredit returns how many tasks of a job should have started by now. The queue order favors urgent
// and small jobs and those that can meet a deadline, so during a long overload other jobs would never
// start. Each job therefore gets credit for its first task at FirstTaskCreditAge, and for the others
// one by one during AllTasksCreditSpan after AllTasksCreditAge, whichever other jobs are waiting.
func (q *jobQueue) agingCredit(j *job) int {
	age := q.now - j.submittedAt
	if age <= limits.FirstTaskCreditAge || j.cancelled || j.closed {
		return 0
	}
	share := float64(age-limits.AllTasksCreditAge) / float64(limits.AllTasksCreditSpan)
	return max(1, limits.Whole(math.Ceil(share*float64(j.spec.Tasks)), j.spec.Tasks))
}

// starvedTasks returns how many tasks of a job are placed before those of all other jobs. A job with
// credit that has started no task gets one. A job that has started gets the unused rest of its credit
// if its group is underserved, otherwise none.
func (q *jobQueue) starvedTasks(j *job) int {
	starved := min(q.agingCredit(j)-j.startedTasks(), j.waitingTasks())
	switch {
	case starved <= 0:
		return 0
	case j.startedTasks() == 0:
		return 1
	case q.servedShare(j) >= limits.UnderservedShare:
		return 0
	}
	return starved
}

// servedShare returns which share of the aging credit of a job's group has been used by started tasks. It
// is 1 for a group without credit.
func (q *jobQueue) servedShare(j *job) float64 {
	progress := q.progress[j.group()]
	if progress.credit == 0 {
		return 1
	}
	return float64(progress.started) / float64(progress.credit)
}

// updateStarvedJobs lists the jobs with starved tasks and sorts them: jobs that have not started first,
// then those of the group with the smallest served share, then the oldest. Among equals the oldest job
// gets all its tasks first, so that jobs complete one after another instead of all making slow progress.
func (q *jobQueue) updateStarvedJobs() {
	q.updateGroupProgress()
	q.starved = q.starved[:0]
	for _, j := range q.jobs.oldestFirst() {
		j.underserved = q.agingCredit(j) > 0 && q.servedShare(j) < limits.UnderservedShare
		if q.starvedTasks(j) > 0 {
			q.starved = append(q.starved, j)
		}
	}
	startedRank := func(j *job) int { return min(j.startedTasks(), 1) }
	slices.SortStableFunc(q.starved, func(a, b *job) int {
		return cmp.Or(cmp.Compare(startedRank(a), startedRank(b)), cmp.Compare(q.servedShare(a), q.servedShare(b)))
	})
}

// updateGroupProgress recomputes the credit of each group and how much of it started tasks have used.
func (q *jobQueue) updateGroupProgress() {
	clear(q.progress)
	maps.Copy(q.progress, q.closedProgress)
	for _, j := range q.jobs.oldestFirst() {
		if credit := q.agingCredit(j); credit > 0 {
			progress := q.progress[j.group()]
			progress.credit += credit
			progress.started += min(credit, j.startedTasks())
			q.progress[j.group()] = progress
		}
	}
}
