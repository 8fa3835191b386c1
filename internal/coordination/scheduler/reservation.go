package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// reserveForJob reserves the machines with the most free CPUs for a job whose starved tasks found no
// machine with enough room. Otherwise smaller tasks would keep taking the resources that become free,
// and the job would never start.
func (p *placer) reserveForJob(j *job) {
	pass := &p.pass
	count := min(p.queue.starvedTasks(j), pass.reservationsLeft)
	if count <= 0 || !j.team.isWithinLimit(j.demand) {
		return
	}
	isCandidate := func(m *machine) bool { return j.mayUse(m) && !m.freeResources().Covers(j.demand) }
	p.reserve(j, pass.unreserved.take(pass.machines, count, isCandidate))
}

// reserveForGang reserves machines for a starved gang that could not be placed. If the gang must run in
// one zone, all of them are in one zone.
func (p *placer) reserveForGang(j *job) {
	if j.waitingTasks() == 0 || p.pass.reservationsLeft <= 0 || !j.isWithinTeamLimit() {
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
		picked, freeCPUs := selectForGang(j, machinesByZone[zone])
		if freeCPUs > mostFreeCPUs {
			best, mostFreeCPUs = picked, freeCPUs
		}
	}
	p.reserve(j, best[:min(len(best), p.pass.reservationsLeft)])
}

// reserve reserves machines for a job until the next pass begins.
func (p *placer) reserve(j *job, machines []*machine) {
	for _, m := range machines {
		m.reservedFor = j
	}
	p.pass.reservationsLeft -= len(machines)
}

// selectForGang selects machines that could together run all waiting tasks of a gang if they were empty,
// in the order of compareReservations. It returns them with the number of CPUs that are free there now,
// or no machines and -1 if all the given machines together are too small.
func selectForGang(j *job, machines []*machine) (picked []*machine, freeCPUs float64) {
	slices.SortStableFunc(machines, compareReservations)
	fitting := 0
	for _, m := range machines {
		if fitting >= j.waitingTasks() {
			break
		}
		fitting += m.capacity().TasksThatFit(j.demand)
		freeCPUs += m.freeResources().CPUs
		picked = append(picked, m)
	}
	if fitting < j.waitingTasks() {
		return nil, -1
	}
	return picked, freeCPUs
}

// compareReservations orders machines by their suitability for a reservation: those reserved in the
// previous pass first, then those with the most free CPUs. Without the first rule the reservations would
// move between machines in each pass, and no machine would stay reserved until it has enough free resources.
func compareReservations(a, b *machine) int {
	return cmp.Or(
		compareBool(b.wasReserved, a.wasReserved),
		cmp.Compare(b.freeResources().CPUs, a.freeResources().CPUs),
	)
}
