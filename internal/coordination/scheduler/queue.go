package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/limits"
)

// jobQueue sorts the open jobs into the order in which their tasks are placed.
type jobQueue struct {
	*environment
	jobs *jobTable

	entries        []queueEntry // reused between sorts
	ordered        []*job       // nil if the jobs must be sorted again; see jobsInOrder
	orderedAt      time.Duration
	starved        []*job                     // jobs that get tasks before all others; see updateStarvedJobs
	progress       map[jobGroup]groupProgress // of all jobs of this term, closed ones included
	closedProgress map[jobGroup]groupProgress // of the closed jobs that were not cancelled
}

// newJobQueue returns the queue of the jobs in a table.
func newJobQueue(env *environment, jobs *jobTable) *jobQueue {
	return &jobQueue{
		environment:    env,
		jobs:           jobs,
		progress:       map[jobGroup]groupProgress{},
		closedProgress: map[jobGroup]groupProgress{},
	}
}

// queueEntry is a job with its sort keys.
type queueEntry struct {
	job   *job
	late  bool          // it can meet none of its deadlines
	slack time.Duration // see jobQueue.slack
	work  float64       // CPU seconds that its waiting tasks need, multiplied by a weight that grows with the slack
}

// sortsBefore reports whether an entry sorts before another. Higher priority comes first, then jobs that
// their team's guarantee covers, then jobs that can still meet a deadline, then less work, less slack
// and earlier submission. Late jobs are not compared by work.
func (e *queueEntry) sortsBefore(other *queueEntry) bool {
	switch {
	case e.job.priority != other.job.priority:
		return e.job.priority > other.job.priority
	case e.job.guaranteed != other.job.guaranteed:
		return e.job.guaranteed
	case e.late != other.late:
		return !e.late
	case e.work != other.work && !e.late:
		return e.work < other.work
	case e.slack != other.slack:
		return e.slack < other.slack
	case e.job.submittedAt != other.job.submittedAt:
		return e.job.submittedAt < other.job.submittedAt
	}
	return e.job.id < other.job.id
}

// invalidate makes the next call of jobsInOrder sort the jobs again.
func (q *jobQueue) invalidate() { q.ordered = nil }

// handleJobClosed removes a closed job from the queue. Its tasks still count in the progress of its group, unless
// it was cancelled.
func (q *jobQueue) handleJobClosed(j *job) {
	if !j.cancelled {
		progress := q.closedProgress[j.group()]
		q.closedProgress[j.group()] = groupProgress{
			credit:  progress.credit + j.spec.Tasks,
			started: progress.started + j.spec.Tasks,
		}
	}
	q.invalidate()
}

// jobsInOrder returns the open jobs in the order in which they are placed; see queueEntry.sortsBefore. Jobs without
// waiting tasks are included, cancelled ones are not. The caller must not modify the slice.
//
// The order is cached for QueueOrderTTL, as slacks change slowly. A new or closed job invalidates it.
func (q *jobQueue) jobsInOrder() []*job {
	if q.now < q.orderedAt+limits.QueueOrderTTL && q.ordered != nil {
		return q.ordered
	}
	q.orderedAt = q.now
	q.jobs.updateGuarantees()
	entries := q.entries[:0]
	for _, j := range q.jobs.oldestFirst() {
		if j.cancelled || j.closed {
			continue
		}
		// Updated here so that it is the same for all tasks of the job until the next sort.
		j.mayUseGangReservation = j.isEligibleForGangReservation(q.now)
		entries = append(entries, q.newEntry(j))
	}
	sort.SliceStable(entries, func(a, b int) bool { return entries[a].sortsBefore(&entries[b]) })
	q.entries, q.ordered = entries, q.ordered[:0]
	for i := range entries {
		q.ordered = append(q.ordered, entries[i].job)
	}
	q.updateStarvedJobs()
	return q.ordered
}

// newEntry returns the queue entry of an open job.
func (q *jobQueue) newEntry(j *job) queueEntry {
	slack, late := q.slack(j)
	weight := (min(slack, limits.SlackCap) + limits.SlackBase).Seconds()
	work := float64(j.waitingTasks()) * j.estimatedRunSeconds() * j.demand.CPUs * weight
	return queueEntry{job: j, late: late, slack: slack, work: work}
}

// starvedJobs returns the jobs that get tasks before all others, in the order of their placement; see
// starvedTasks. The list was made at the last sort. The caller must not modify the slice.
func (q *jobQueue) starvedJobs() []*job { return q.starved }

// slack returns how long the start of a job's tasks can still be delayed without missing a deadline: the
// earliest one that is not missed already. If the job can meet none of its deadlines, late is true and the
// slack is the negated age of the job, so that older jobs come first. A job without deadlines has unlimited
// slack.
func (q *jobQueue) slack(j *job) (slack time.Duration, late bool) {
	estimate := limits.Seconds(j.estimatedRunSeconds())
	for _, d := range j.deadlines {
		left := d.at - q.now
		if d.forStart {
			if left > 0 {
				return left, false
			}
			continue
		}
		left -= estimate
		if left > -limits.Scale(estimate, limits.LateToleranceShare) {
			return left, false // the estimate may be too high, so a job that is slightly late counts as on time
		}
	}
	if len(j.deadlines) == 0 {
		return never, false
	}
	return j.submittedAt - q.now, true
}
