package scheduler

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"quillshunt/internal/limits"
)

// jobGroup names the jobs of a class and team of about the same size. Such a group must not be left
// behind as a whole under lasting overload.
type jobGroup struct {
	class     *jobClass
	team      *team
	sizeClass int // of the number of tasks, in bits
}

func (j *job) group() jobGroup { return jobGroup{j.class, j.team, bits.Len(uint(j.spec.Tasks))} }

// groupProgress is the aging credit of a group's jobs, in tasks, and how many of these tasks have
// begun.
type groupProgress struct{ credit, started int }

// agingCredit is how many tasks of a job should have begun by now. The order of the queue favours
// jobs that are urgent, small and on time; under lasting overload the others would never begin. So a
// job gets credit for its first task at one age, and for the others one by one from a later age on,
// whatever else waits.
func (q *jobQueue) agingCredit(j *job) int {
	age := q.now - j.submittedAt
	if age <= limits.FirstTaskCreditAge || j.cancelled || j.closed {
		return 0
	}
	share := float64(age-limits.AllTasksCreditAge) / float64(limits.AllTasksCreditSpan)
	return max(1, int(math.Ceil(min(share, 1)*float64(j.spec.Tasks))))
}

// overdueTasks is how many tasks a job gets before all others: the first if it has not begun, else
// what it is behind its credit with while its group is underserved.
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

// servedShare is the share of the credit of a job's group that has begun.
func (q *jobQueue) servedShare(j *job) float64 {
	progress := q.progress[j.group()]
	if progress.credit == 0 {
		return 1
	}
	return float64(progress.started) / float64(progress.credit)
}

// updateOverdue works out which jobs are overdue, in order: those that have not begun first, then
// those whose group has got the smallest share of its credit, then the oldest, so that jobs are
// completed rather than all of them begun.
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

// updateGroupProgress adds up the credit of each group of jobs, and what of it has begun.
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
