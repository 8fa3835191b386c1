package scheduler

import (
	"maps"
	"sort"
	"time"

	"quillshunt/internal/limits"
)

// jobQueue is the order in which jobs get room.
type jobQueue struct {
	*environment
	entries        []queueEntry // kept for its memory
	ordered        []*job       // see queueOrder
	orderedAt      time.Duration
	overdue        []*job // those of them that are behind; see updateOverdue
	groupProgress  map[jobGroup]groupServed
	closedProgress map[jobGroup]groupServed // of the jobs that are over
}

// newJobQueue returns an empty queue.
func newJobQueue(env *environment) *jobQueue {
	return &jobQueue{
		environment:    env,
		groupProgress:  map[jobGroup]groupServed{},
		closedProgress: map[jobGroup]groupServed{},
	}
}

// queueEntry is a job's place in the queue.
type queueEntry struct {
	job   *job
	late  bool
	slack time.Duration
	work  float64 // CPU seconds that its waiting tasks need, weighted by the slack
}

// invalidate makes the order anew when it is next asked for.
func (q *jobQueue) invalidate() { q.ordered = nil }

// jobClosed takes a job off the queue. What a completed job got still counts for its group.
func (q *jobQueue) jobClosed(j *job) {
	if !j.cancelled {
		progress := q.closedProgress[j.group()]
		q.closedProgress[j.group()] = groupServed{progress.due + j.spec.Tasks, progress.served + j.spec.Tasks}
	}
	q.invalidate()
}

// queueOrder orders the jobs that want room: by priority, guarantee before borrowed, then by slack
// to the next time that can still be met, then by age. Jobs whose times are all past come after
// those that can be helped.
//
// The order is kept for a short while, as slacks change slowly; a new job makes it anew. It holds
// jobs that want nothing just now as well.
func (s *Scheduler) queueOrder() []*job {
	if s.now < s.queue.orderedAt+limits.QueueOrderTTL && s.queue.ordered != nil {
		return s.queue.ordered
	}
	s.queue.orderedAt = s.now
	maps.DeleteFunc(s.placement.nextPreemptionSearch, func(_ placementRequest, t time.Duration) bool { return t <= s.now })
	s.jobs.updateGuarantees()
	cs := s.queue.entries[:0]
	for _, j := range s.jobs.oldestFirst() {
		if j.cancelled || j.closed {
			continue
		}
		c := queueEntry{job: j}
		j.mayUseGangReservation = s.mayUseGangReservation(j) // all of its tasks, until the order is made anew
		c.slack, c.late = s.slack(j)
		c.work = float64(j.waitingTasks()) * j.estimate() * j.demand.CPUs *
			(min(c.slack, limits.SlackCap) + limits.SlackBase).Seconds()
		cs = append(cs, c)
	}
	sort.SliceStable(cs, func(a, b int) bool {
		x, y := &cs[a], &cs[b]
		switch {
		case x.job.priority != y.job.priority:
			return x.job.priority > y.job.priority
		case x.job.guaranteed != y.job.guaranteed:
			return x.job.guaranteed
		case x.late != y.late:
			return !x.late
		case x.work != y.work && !x.late:
			return x.work < y.work
		case x.slack != y.slack:
			return x.slack < y.slack
		case x.job.submittedAt != y.job.submittedAt:
			return x.job.submittedAt < y.job.submittedAt
		}
		return x.job.id < y.job.id
	})
	s.queue.entries, s.queue.ordered = cs, s.queue.ordered[:0]
	for i := range cs {
		s.queue.ordered = append(s.queue.ordered, cs[i].job)
	}
	s.updateOverdue()
	return s.queue.ordered
}

// slack is how long a job can still wait and meet the next of its times, and whether all of them
// are out of reach.
func (s *Scheduler) slack(j *job) (time.Duration, bool) {
	est := limits.Seconds(j.estimate())
	for _, d := range j.deadlines {
		left := d.at - s.now
		if d.forStart {
			if left > 0 {
				return left, false
			}
		} else if left -= est; left > -time.Duration(limits.LateToleranceShare*float64(est)) {
			return left, false // a little late by the estimate may still be in time
		}
	}
	if len(j.deadlines) == 0 {
		return never, false
	}
	return j.submittedAt - s.now, true
}
