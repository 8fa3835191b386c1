package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// reserveForJob reserves the machines with the most free resources for a job that is overdue and
// finds none with enough, so that smaller tasks do not use them up bit by bit for ever.
func (p *placer) reserveForJob(j *job) {
	pass := &p.pass
	count := min(p.queue.overdueTasks(j), pass.reservationsLeft)
	if count <= 0 || !j.team.fits(j.demand) {
		return
	}
	candidates := pass.reservationCandidates[:0]
	for _, m := range pass.machines {
		if m.reservedFor == nil && j.mayUse(m) && !m.freeResources().Covers(j.demand) {
			candidates = append(candidates, m)
		}
	}
	pass.reservationCandidates = candidates
	slices.SortStableFunc(candidates, compareReservations)
	p.reserve(j, candidates[:min(count, len(candidates))])
}

// reserveForGang reserves machines for an overdue gang that finds none, all in one zone if the gang
// must be in one.
func (p *placer) reserveForGang(j *job) {
	if j.waitingTasks() == 0 || p.pass.reservationsLeft <= 0 || !j.withinTeamLimit() {
		return
	}
	machinesByZone := map[string][]*machine{}
	for _, m := range p.pass.machines {
		if m.reservedFor != nil || !j.mayUse(m) {
			continue
		}
		zone := ""
		if j.spec.SameZone {
			zone = m.zone
		}
		machinesByZone[zone] = append(machinesByZone[zone], m)
	}
	var best []*machine
	mostFreeCPUs := -1.0
	for _, zone := range slices.Sorted(maps.Keys(machinesByZone)) {
		picked, freeCPUs := pickForGang(j, machinesByZone[zone])
		if freeCPUs > mostFreeCPUs {
			best, mostFreeCPUs = picked, freeCPUs
		}
	}
	p.reserve(j, best[:min(len(best), p.pass.reservationsLeft)])
}

// reserve keeps other jobs off machines for the rest of the pass.
func (p *placer) reserve(j *job, machines []*machine) {
	for _, m := range machines {
		m.reservedFor = j
	}
	p.pass.reservationsLeft -= len(machines)
}

// pickForGang picks the machines that should be the first with free resources for all tasks of a
// gang, and returns how many CPUs are free there. It returns -1 if they could never run all tasks.
func pickForGang(j *job, machines []*machine) (picked []*machine, freeCPUs float64) {
	slices.SortStableFunc(machines, compareReservations)
	fitting := 0
	for _, m := range machines {
		if fitting >= j.waitingTasks() {
			break
		}
		fitting += m.size().TasksThatFit(j.demand)
		freeCPUs += m.freeResources().CPUs
		picked = append(picked, m)
	}
	if fitting < j.waitingTasks() {
		return nil, -1
	}
	return picked, freeCPUs
}

// compareReservations orders machines that may be reserved: those that were reserved in the pass
// before come first, then those with the most free resources. Otherwise each machine with as much
// would take the place of another, and none would ever have enough.
func compareReservations(a, b *machine) int {
	return cmp.Or(
		compareBool(b.wasReserved, a.wasReserved),
		cmp.Compare(b.freeResources().CPUs, a.freeResources().CPUs),
	)
}
