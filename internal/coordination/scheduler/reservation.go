package scheduler

import (
	"cmp"
	"slices"
)

// reserveForJob keeps the machines with the most free room for a job that is behind and finds none with
// enough, so that smaller tasks do not take that room bit by bit for ever. A machine that was held
// in the pass before comes first: otherwise each one with as much room would take the place of
// another, and none would ever have enough.
func (s *Scheduler) reserveForJob(j *job) {
	p := &s.placement.pass
	n := min(s.queue.overdueTasks(j), p.reservationsLeft)
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
