package scheduler

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"quillshunt/internal/limits"
)

// group is what must not be left behind as a whole under lasting overload: the jobs of a class and team of about the same size.
type group struct {
	class *class
	team  *team
	size  int // of the number of tasks, in bits
}

func (j *job) group() group { return group{j.class, j.team, bits.Len(uint(j.spec.Tasks))} }

// service is how many tasks of a group's jobs should have been started by now, and how many of these were.
type service struct{ due, got int }

// dueTasks is how many tasks of a job should have been started by now. The order of the queue favours what is urgent, small and on time;
// under
// lasting overload the rest would never begin. So a job is due its first task at one age, and the others one by one from a later one on,
// whatever else waits.
func (s *Scheduler) dueTasks(j *job) int {
	age := s.now - j.at
	if age <= limits.AgeBegin || j.cancelled || j.over {
		return 0
	}
	share := float64(age-limits.AgeRest) / float64(limits.AgeSpan)
	return max(1, int(math.Ceil(min(share, 1)*float64(j.spec.Tasks))))
}

// behind is how many tasks a job gets before all others: the first if it has not begun, else what it is behind with while its group is
// served badly.
func (s *Scheduler) behind(j *job) int {
	n := min(s.dueTasks(j)-j.doneCount-len(j.bound), j.free())
	switch {
	case n <= 0:
		return 0
	case j.doneCount+len(j.bound) == 0:
		return 1
	case s.served(j) >= limits.AgeServed:
		return 0
	}
	return n
}

// served is the share of what is due to a job's group that it has got.
func (s *Scheduler) served(j *job) float64 {
	x := s.services[j.group()]
	if x.due == 0 {
		return 1
	}
	return float64(x.got) / float64(x.due)
}

// age works out which jobs are behind, in order: those that have not begun first, then by how badly their group is served, then by age,
// so that
// jobs are completed rather than all of them begun.
func (s *Scheduler) age() {
	clear(s.services)
	maps.Copy(s.services, s.closedServices)
	for _, j := range s.queue {
		if due := s.dueTasks(j); due > 0 {
			x := s.services[j.group()]
			x.due += due
			x.got += min(due, j.doneCount+len(j.bound))
			s.services[j.group()] = x
		}
	}
	s.aged = s.aged[:0]
	for _, j := range s.queue {
		j.owed = s.dueTasks(j) > 0 && s.served(j) < limits.AgeServed
		if s.behind(j) > 0 {
			s.aged = append(s.aged, j)
		}
	}
	begun := func(j *job) int { return min(j.doneCount+len(j.bound), 1) }
	slices.SortStableFunc(s.aged, func(a, b *job) int { // the queue is by age
		return cmp.Or(cmp.Compare(begun(a), begun(b)), cmp.Compare(s.served(a), s.served(b)))
	})
}

// hold keeps the machines with the most free room for a job that is behind and finds none with enough, so that smaller tasks do not take
// that room bit by bit for ever. A machine that was held in the pass before comes first: otherwise each one with as much room would take
// the
// place of another, and none would ever have enough.
func (s *Scheduler) reserve(j *job) {
	p := &s.pass
	n := min(s.behind(j), p.holds)
	if n <= 0 || !j.team.fits(j.need) {
		return
	}
	short := p.short[:0]
	for _, m := range p.machines {
		if m.heldFor == nil && s.allowed(j, m) && !m.freeRoom().holds(j.need) {
			short = append(short, m)
		}
	}
	p.short = short
	slices.SortStableFunc(short, heldFirst)
	n = min(n, len(short))
	for _, m := range short[:n] {
		m.heldFor = j
	}
	p.holds -= n
}

// heldFirst orders machines that may be held: those held in the pass before, then those with the most free room.
func heldFirst(a, b *machine) int {
	return cmp.Or(compareBool(b.wasHeld, a.wasHeld), cmp.Compare(b.freeRoom().cpu, a.freeRoom().cpu))
}
