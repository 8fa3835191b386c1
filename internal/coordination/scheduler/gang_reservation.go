package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/limits"
)

// gangReservations reserves machines for gangs that should start in less time than a rented machine takes
// to boot. Without reservations independent tasks would use all free resources, and a gang cannot preempt
// work of its own priority. The reserved capacity is the peak that gangs recently used or waited for at the
// same time, plus the size of the largest gang. Jobs that have waited for GangReservationYieldAge may use
// reserved machines too.
type gangReservations struct {
	*environment
	jobs      *jobTable
	inventory *machineInventory
	catalog   *typeCatalog

	demand map[gangKind]*gangDemand
}

// newGangReservations returns reservations for the gangs of a job table; no demand is recorded yet.
func newGangReservations(
	env *environment, jobs *jobTable, inventory *machineInventory, catalog *typeCatalog,
) *gangReservations {
	return &gangReservations{
		environment: env,
		jobs:        jobs,
		inventory:   inventory,
		catalog:     catalog,
		demand:      map[gangKind]*gangDemand{},
	}
}

// gangKind holds the job properties that decide which machines a gang may use. Gangs of the same kind
// share reserved machines.
type gangKind struct {
	spot     bool
	zone     string
	sameZone bool
	types    string // allowed machine types, separated by commas
}

// gangKind returns the kind of the job's gang.
func (j *job) gangKind() gangKind {
	return gangKind{j.spec.Spot, j.spec.Zone, j.spec.SameZone, strings.Join(j.spec.MachineTypes, ",")}
}

// compare defines a total order of kinds, so that reservations are made in the same order each time.
func (k gangKind) compare(other gangKind) int {
	return cmp.Or(
		strings.Compare(k.zone, other.zone),
		strings.Compare(k.types, other.types),
		compareBool(k.spot, other.spot),
		compareBool(k.sameZone, other.sameZone),
	)
}

// gangDemand is the recent demand of gangs of one kind.
type gangDemand struct {
	newestJob    *job
	largestCPUs  float64       // CPUs of the largest gang since the kind was first seen
	peaks        []demandPeak  // sliding window maximum of the CPUs; oldest first, CPUs strictly decreasing
	reservedZone string        // zone of the reserved machines, for gangs that must be in one zone
	lastSeenAt   time.Duration // when a gang of this kind last needed a reservation
}

// demandPeak is the number of CPUs that all gangs of a kind used or waited for at some time.
type demandPeak struct {
	at   time.Duration
	cpus float64
}

// recordPeak records how many CPUs the gangs of this kind use or wait for now, and discards peaks that are
// older than GangDemandWindow.
func (d *gangDemand) recordPeak(now time.Duration, cpus float64) {
	for len(d.peaks) > 0 && d.peaks[len(d.peaks)-1].cpus <= cpus {
		d.peaks = d.peaks[:len(d.peaks)-1]
	}
	d.peaks = append(d.peaks, demandPeak{now, cpus})
	for d.peaks[0].at < now-limits.GangDemandWindow {
		d.peaks = d.peaks[1:]
	}
}

// cpusToReserve returns the highest peak in the window plus the size of the largest gang.
func (d *gangDemand) cpusToReserve() float64 { return d.peaks[0].cpus + d.largestCPUs }

// gangShortage is the capacity that could not be reserved for gangs of a kind because there are too
// few suitable machines.
type gangShortage struct {
	templateJob *job    // has the spec, demand and class of the newest of these gangs, but no assignments
	zone        string  // where machines are missing; "" if any zone is suitable
	missingCPUs float64 // CPUs that could not be reserved
}

// hasDemand reports whether any gang has needed a reservation recently, which may still be in effect.
func (r *gangReservations) hasDemand() bool { return len(r.demand) > 0 }

// update discards all reservations and reserves machines again for the recent demand of each kind of gang.
// It returns the capacity that it could not reserve.
func (r *gangReservations) update() []gangShortage {
	for _, m := range r.inventory.all() {
		m.wasReservedForGangs, m.reservedForGangs = m.reservedForGangs, false
	}
	r.updateDemand()
	var shortages []gangShortage
	for _, kind := range slices.SortedFunc(maps.Keys(r.demand), gangKind.compare) {
		d := r.demand[kind]
		if missing := r.reserve(d); missing > 0 {
			template := &job{spec: d.newestJob.spec, demand: d.newestJob.demand, class: d.newestJob.class}
			shortages = append(shortages, gangShortage{template, d.reservedZone, missing})
		}
	}
	return shortages
}

// reserveForGangs updates the reservations for gangs, and adds machines to rent for the shortages to
// the plan.
func (s *Scheduler) reserveForGangs(plan *capacityPlan) {
	for _, shortage := range s.gangReservations.update() {
		zoneAllowed := func(zone string) bool { return shortage.zone == "" || zone == shortage.zone }
		if pool, t := plan.cheapestPool(shortage.templateJob, zoneAllowed); t != nil {
			plan.rentAtLeast(pool, math.Ceil(shortage.missingCPUs/max(t.CPUs, 1)))
		}
	}
}

// updateDemand records the current demand, by kind, of gangs that need reservations. It removes kinds
// that have had no such gang for longer than GangDemandWindow.
func (r *gangReservations) updateDemand() {
	cpusNow := map[gangKind]float64{}
	for _, j := range r.jobs.oldestFirst() {
		if j.gang == nil || j.gang.lacksCapacity || j.cancelled || !r.needsReservation(j) {
			continue
		}
		cpus := j.demandOfTasks(j.spec.Tasks).CPUs
		kind := j.gangKind()
		cpusNow[kind] += cpus
		d := r.demand[kind]
		if d == nil {
			d = &gangDemand{}
			r.demand[kind] = d
		}
		d.newestJob, d.lastSeenAt = j, r.now
		d.largestCPUs = max(d.largestCPUs, cpus)
	}
	for kind, d := range r.demand {
		if r.now > d.lastSeenAt+limits.GangDemandWindow {
			delete(r.demand, kind)
			continue
		}
		d.recordPeak(r.now, cpusNow[kind])
	}
}

// needsReservation reports whether a job has a deadline for the start of its tasks that a newly rented
// machine cannot meet: counted from the submission, it is shorter than the shortest boot time of the
// machine types that the job may use.
func (r *gangReservations) needsReservation(j *job) bool {
	for _, d := range j.deadlines {
		if d.forStart && (d.at-j.submittedAt).Seconds() < r.catalog.minBootS(j) {
			return true
		}
	}
	return false
}

// reserve reserves machines for gangs of a kind, and returns how many CPUs are still missing; the result is
// 0 or negative if none are. It reserves at most GangReservationShare of all CPUs for each kind. Machines
// beyond that share that the gangs need are only marked as needed: every job may use them, but they are not
// returned to the cloud.
func (r *gangReservations) reserve(d *gangDemand) (missingCPUs float64) {
	missingCPUs = d.cpusToReserve()
	if d.newestJob.spec.SameZone {
		d.reservedZone = r.chooseZone(d)
	}
	candidates, allCPUs := r.candidates(d)
	reservableCPUs := allCPUs * limits.GangReservationShare
	for _, m := range candidates {
		if missingCPUs <= 0 {
			break
		}
		cpus := m.capacity().CPUs
		missingCPUs -= cpus
		m.neededByPlan = true
		if reservableCPUs >= cpus {
			reservableCPUs -= cpus
			m.reservedForGangs = true
		}
	}
	return missingCPUs
}

// candidates returns the machines that may be reserved for gangs of a kind, and the CPUs of all
// machines. Machines that were reserved before come first, then those that run tasks of gangs, then
// those with most CPUs free.
func (r *gangReservations) candidates(d *gangDemand) (candidates []*machine, allCPUs float64) {
	for _, m := range r.inventory.all() {
		allCPUs += m.capacity().CPUs
		if !m.reservedForGangs && r.canReserve(d, m) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Or(
			compareBool(b.wasReservedForGangs, a.wasReservedForGangs),
			compareBool(b.hasGangTask(), a.hasGangTask()),
			cmp.Compare(b.freeResources().CPUs, a.freeResources().CPUs),
		)
	})
	return candidates, allCPUs
}

// canReserve reports whether a machine may be reserved for gangs of a kind. Booting machines may be
// reserved too.
func (r *gangReservations) canReserve(d *gangDemand, m *machine) bool {
	if m.machineType == nil || m.deleting || m.spotNotice || m.isFaulty() || (m.hasReported && !r.isSchedulable(m)) {
		return false
	}
	if d.reservedZone != "" && m.zone != d.reservedZone {
		return false
	}
	return d.newestJob.specAllows(m.pool()) && m.capacity().Covers(d.newestJob.demand)
}

// chooseZone returns the zone in which to reserve machines for gangs that must be in one zone: the
// previous zone if a machine that was reserved there may be reserved again, or else the zone with most
// machines that may be reserved. It clears d.reservedZone, which the caller sets to the result.
func (r *gangReservations) chooseZone(d *gangDemand) string {
	reserved, reservable := map[string]int{}, map[string]int{}
	previous := d.reservedZone
	d.reservedZone = ""
	for _, m := range r.inventory.all() {
		if !r.canReserve(d, m) {
			continue
		}
		reservable[m.zone]++
		if m.wasReservedForGangs {
			reserved[m.zone]++
		}
	}
	if reserved[previous] > 0 {
		return previous
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(reservable)) {
		if best == "" || reservable[zone] > reservable[best] {
			best = zone
		}
	}
	return best
}

// hasGangTask reports whether a task of a gang is assigned to the machine.
func (m *machine) hasGangTask() bool {
	for _, a := range m.assignments {
		if a.job.gang != nil {
			return true
		}
	}
	return false
}

// compareBool compares two booleans; false is less than true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
