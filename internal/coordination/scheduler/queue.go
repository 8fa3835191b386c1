package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/limits"
)

// jobQueue is the order in which waiting jobs are placed.
type jobQueue struct {
	*environment
	jobs *jobTable

	entries        []queueEntry // kept for its memory
	ordered        []*job       // nil if it is to be made anew; see order
	orderedAt      time.Duration
	starved        []*job                     // those of them that get tasks before all others; see updateOverdue
	progress       map[jobGroup]groupProgress // of all jobs of this term
	closedProgress map[jobGroup]groupProgress // of the jobs that are over
}

// newJobQueue returns the queue of the table's jobs.
func newJobQueue(env *environment, jobs *jobTable) *jobQueue {
	return &jobQueue{
		environment:    env,
		jobs:           jobs,
		progress:       map[jobGroup]groupProgress{},
		closedProgress: map[jobGroup]groupProgress{},
	}
}

// queueEntry is a job's place in the queue.
type queueEntry struct {
	job   *job
	late  bool
	slack time.Duration
	work  float64 // CPU seconds that its waiting tasks need, weighted by the slack
}

// before orders entries by priority, guarantee before borrowed, then by work and slack, then by age.
// Jobs whose deadlines are all past come after those that can be helped.
func (e *queueEntry) before(other *queueEntry) bool {
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

// invalidate lets the order be made anew when it is next asked for.
func (q *jobQueue) invalidate() { q.ordered = nil }

// jobClosed takes a job off the queue. What a completed job has got still counts for its group.
func (q *jobQueue) jobClosed(j *job) {
	if !j.cancelled {
		progress := q.closedProgress[j.group()]
		q.closedProgress[j.group()] = groupProgress{
			credit:  progress.credit + j.spec.Tasks,
			started: progress.started + j.spec.Tasks,
		}
	}
	q.invalidate()
}

// order returns the jobs in the order in which they are placed; see queueEntry.before. The slice is
// the queue's own.
//
// The order is kept for a short while, as slacks change slowly; a new job makes it anew. It also
// has jobs without waiting tasks.
func (q *jobQueue) order() []*job {
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
		// The same for all of its tasks, until the order is made anew.
		j.mayUseGangReservation = j.eligibleForGangReservation(q.now)
		entries = append(entries, q.newEntry(j))
	}
	sort.SliceStable(entries, func(a, b int) bool { return entries[a].before(&entries[b]) })
	q.entries, q.ordered = entries, q.ordered[:0]
	for i := range entries {
		q.ordered = append(q.ordered, entries[i].job)
	}
	q.updateStarvedJobs()
	return q.ordered
}

// newEntry returns the entry of a job that is not over.
func (q *jobQueue) newEntry(j *job) queueEntry {
	slack, late := q.slack(j)
	weight := (min(slack, limits.SlackCap) + limits.SlackBase).Seconds()
	work := float64(j.waitingTasks()) * j.estimatedRunSeconds() * j.demand.CPUs * weight
	return queueEntry{job: j, late: late, slack: slack, work: work}
}

// overdueJobs returns the jobs that get tasks before all others, in order; see overdueTasks. The
// slice is the queue's own, and as old as the order.
func (q *jobQueue) starvedJobs() []*job { return q.starved }

// slack is how long a job can still wait and meet the next of its deadlines. Late means that all of
// them are out of reach; the slack is then negative, and lower for older jobs.
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
		if left > -time.Duration(limits.LateToleranceShare*float64(estimate)) {
			return left, false // a little late by the estimate may still be in time
		}
	}
	if len(j.deadlines) == 0 {
		return never, false
	}
	return j.submittedAt - q.now, true
}
