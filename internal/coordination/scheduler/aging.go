package scheduler

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"quillshunt/internal/limits"
)

// jobGroup is what must not be left behind as a whole under lasting overload: the jobs of a class
// and team of about the same size.
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
func (s *Scheduler) tasksDue(j *job) int {
	age := s.now - j.submittedAt
	if age <= limits.FirstTaskCreditAge || j.cancelled || j.closed {
		return 0
	}
	share := float64(age-limits.AllTasksCreditAge) / float64(limits.AllTasksCreditSpan)
	return max(1, int(math.Ceil(min(share, 1)*float64(j.spec.Tasks))))
}

// overdueTasks is how many tasks a job gets before all others: the first if it has not begun, else
// what it is behind with while its group is served badly.
func (s *Scheduler) overdueTasks(j *job) int {
	n := min(s.tasksDue(j)-j.doneCount-len(j.assignments), j.waitingTasks())
	switch {
	case n <= 0:
		return 0
	case j.doneCount+len(j.assignments) == 0:
		return 1
	case s.servedShare(j) >= limits.UnderservedShare:
		return 0
	}
	return n
}

// servedShare is the share of what is due to a job's group that it has got.
func (s *Scheduler) servedShare(j *job) float64 {
	x := s.queue.groupProgress[j.group()]
	if x.due == 0 {
		return 1
	}
	return float64(x.served) / float64(x.due)
}

// updateOverdue works out which jobs are behind, in order: those that have not begun first, then by
// how badly their group is served, then by age, so that jobs are completed rather than all of them
// begun.
func (s *Scheduler) updateOverdue() {
	clear(s.queue.groupProgress)
	maps.Copy(s.queue.groupProgress, s.queue.closedProgress)
	for _, j := range s.jobs.oldestFirst() {
		if due := s.tasksDue(j); due > 0 {
			x := s.queue.groupProgress[j.group()]
			x.due += due
			x.served += min(due, j.doneCount+len(j.assignments))
			s.queue.groupProgress[j.group()] = x
		}
	}
	s.queue.overdue = s.queue.overdue[:0]
	for _, j := range s.jobs.oldestFirst() {
		j.underserved = s.tasksDue(j) > 0 && s.servedShare(j) < limits.UnderservedShare
		if s.overdueTasks(j) > 0 {
			s.queue.overdue = append(s.queue.overdue, j)
		}
	}
	begun := func(j *job) int { return min(j.doneCount+len(j.assignments), 1) }
	slices.SortStableFunc(s.queue.overdue, func(a, b *job) int { // the queue is by age
		return cmp.Or(cmp.Compare(begun(a), begun(b)), cmp.Compare(s.servedShare(a), s.servedShare(b)))
	})
}

// hold keeps the machines with the most free room for a job that is behind and finds none with
// enough, so that smaller tasks do not take that room bit by bit for ever. A machine that was held
// in the pass before comes first: otherwise each one with as much room would take the place of
// another, and none would ever have enough.
func (s *Scheduler) reserveForJob(j *job) {
	p := &s.placement.pass
	n := min(s.overdueTasks(j), p.reservationsLeft)
	if n <= 0 || !j.team.fits(j.demand) {
		return
	}
	short := p.reservationCandidates[:0]
	for _, m := range p.machines {
		if m.reservedFor == nil && s.passesHardFilters(j, m) && !m.freeResources().Fits(j.demand) {
			short = append(short, m)
		}
	}
	p.reservationCandidates = short
	slices.SortStableFunc(short, byReservation)
	n = min(n, len(short))
	for _, m := range short[:n] {
		m.reservedFor = j
	}
	p.reservationsLeft -= n
}

// byReservation orders machines that may be held: those held in the pass before, then those with
// the most free room.
func byReservation(a, b *machine) int {
	return cmp.Or(compareBool(b.wasReserved, a.wasReserved), cmp.Compare(b.freeResources().CPUs, a.freeResources().CPUs))
}
