package scheduler

import (
	"maps"
	"sort"
	"time"

	"quillshunt/internal/limits"
)

// guarantees works out which jobs their teams' guarantees cover: a job is covered if it fits in together with the team's
// earlier unfinished jobs. The queue is in order of submission.
func (s *Scheduler) guarantees() {
	for _, t := range s.teams {
		t.claimed = room{}
	}
	const eps = limits.Epsilon
	for _, j := range s.queue {
		n := float64(j.spec.Tasks - j.doneCount)
		if j.cancelled {
			n = 0
		}
		c := j.team.claimed.plus(room{cpu: n * j.need.cpu, gpu: n * j.need.gpu})
		j.guaranteed = c.cpu <= j.team.cfg.CPUs+eps && c.gpu <= j.team.cfg.GPUs+eps
		j.team.claimed = c
	}
}

// claim is a job's place in the queue.
type claim struct {
	j     *job
	late  bool
	slack time.Duration
	work  float64 // CPU seconds that its waiting tasks need, weighted by the slack
}

// claims orders the jobs that want room: by priority, guarantee before borrowed, then by slack to the next time
// that can still be met, then by age. Jobs whose times are all past come after those that can be helped.
//
// The order is kept for a short while, as slacks change slowly; a new job makes it anew. It holds jobs that want nothing just now as well.
func (s *Scheduler) claims() []*job {
	if s.now < s.orderAt+limits.OrderFresh && s.order != nil {
		return s.order
	}
	s.orderAt = s.now
	maps.DeleteFunc(s.pressAgain, func(_ request, t time.Duration) bool { return t <= s.now })
	s.guarantees()
	cs := s.claimed[:0]
	for _, j := range s.queue {
		if j.cancelled || j.over {
			continue
		}
		c := claim{j: j}
		j.usesGangRoom = s.yieldsGangRoom(j) // all of its tasks, until the order is made anew
		c.slack, c.late = s.slack(j)
		c.work = float64(j.free()) * j.estimate() * j.need.cpu *
			(min(c.slack, limits.SlackCap) + limits.SlackBase).Seconds()
		cs = append(cs, c)
	}
	sort.SliceStable(cs, func(a, b int) bool {
		x, y := &cs[a], &cs[b]
		switch {
		case x.j.priority != y.j.priority:
			return x.j.priority > y.j.priority
		case x.j.guaranteed != y.j.guaranteed:
			return x.j.guaranteed
		case x.late != y.late:
			return !x.late
		case x.work != y.work && !x.late:
			return x.work < y.work
		case x.slack != y.slack:
			return x.slack < y.slack
		case x.j.at != y.j.at:
			return x.j.at < y.j.at
		}
		return x.j.id < y.j.id
	})
	s.claimed, s.order = cs, s.order[:0]
	for i := range cs {
		s.order = append(s.order, cs[i].j)
	}
	s.age()
	return s.order
}

// slack is how long a job can still wait and meet the next of its times, and whether all of them are out of reach.
func (s *Scheduler) slack(j *job) (time.Duration, bool) {
	est := limits.Seconds(j.estimate())
	for _, d := range j.dues {
		left := d.at - s.now
		if d.start {
			if left > 0 {
				return left, false
			}
		} else if left -= est; left > -time.Duration(limits.LateShare*float64(est)) {
			return left, false // a little late by the estimate may still be in time
		}
	}
	if len(j.dues) == 0 {
		return never, false
	}
	return j.at - s.now, true
}
