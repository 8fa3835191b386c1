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

// groupServed is how many tasks of a group's jobs should have been started by now, and how many of
// these were.
type groupServed struct{ due, served int }

// tasksDue is how many tasks of a job should have been started by now. The order of the queue
// favours what is urgent, small and on time; under lasting overload the rest would never begin. So
// a job is due its first task at one age, and the others one by one from a later one on, whatever
// else waits.
func (q *jobQueue) tasksDue(j *job) int {
	age := q.now - j.submittedAt
	if age <= limits.FirstTaskCreditAge || j.cancelled || j.closed {
		return 0
	}
	share := float64(age-limits.AllTasksCreditAge) / float64(limits.AllTasksCreditSpan)
	return max(1, int(math.Ceil(min(share, 1)*float64(j.spec.Tasks))))
}

// overdueTasks is how many tasks a job gets before all others: the first if it has not begun, else
// what it is behind with while its group is underserved.
func (q *jobQueue) overdueTasks(j *job) int {
	overdue := min(q.tasksDue(j)-j.begunTasks(), j.waitingTasks())
	switch {
	case overdue <= 0:
		return 0
	case j.begunTasks() == 0:
		return 1
	case q.servedShare(j) >= limits.UnderservedShare:
		return 0
	}
	return overdue
}

// servedShare is the share of what is due to a job's group that it has got.
func (q *jobQueue) servedShare(j *job) float64 {
	progress := q.groupProgress[j.group()]
	if progress.due == 0 {
		return 1
	}
	return float64(progress.served) / float64(progress.due)
}

// updateOverdue works out which jobs are behind, in order: those that have not begun first, then
// those whose group has got the smallest share of what is due, then the oldest, so that jobs are
// completed rather than all of them begun.
func (q *jobQueue) updateOverdue() {
	q.updateGroupProgress()
	q.overdue = q.overdue[:0]
	for _, j := range q.jobs.oldestFirst() {
		j.underserved = q.tasksDue(j) > 0 && q.servedShare(j) < limits.UnderservedShare
		if q.overdueTasks(j) > 0 {
			q.overdue = append(q.overdue, j)
		}
	}
	hasBegun := func(j *job) int { return min(j.begunTasks(), 1) }
	slices.SortStableFunc(q.overdue, func(a, b *job) int {
		return cmp.Or(cmp.Compare(hasBegun(a), hasBegun(b)), cmp.Compare(q.servedShare(a), q.servedShare(b)))
	})
}

// updateGroupProgress counts what is due to each group of jobs, and what it has got.
func (q *jobQueue) updateGroupProgress() {
	clear(q.groupProgress)
	maps.Copy(q.groupProgress, q.closedProgress)
	for _, j := range q.jobs.oldestFirst() {
		if due := q.tasksDue(j); due > 0 {
			progress := q.groupProgress[j.group()]
			progress.due += due
			progress.served += min(due, j.begunTasks())
			q.groupProgress[j.group()] = progress
		}
	}
}
