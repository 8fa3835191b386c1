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

// gangReservations reserves machines for gangs that should start sooner than a machine boots.
// Independent tasks would fill these machines, as they use whatever is free, and a gang can't
// preempt work of its own priority. So as much is reserved as gangs lately used or waited for at
// once, and the size of the largest one more. Jobs that wait for long may use it all the same (see
// job.outwaitsGangReservation).
type gangReservations struct {
	*environment
	jobs      *jobTable
	inventory *machineInventory
	catalog   *typeCatalog

	demand map[gangKind]*gangDemand
}

// newGangReservations returns the reservations for gangs of a job table, without any demand.
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

// gangKind is what decides which machines gangs may use. Gangs that may use the same ones share what
// is reserved.
type gangKind struct {
	spot     bool
	zone     string
	sameZone bool
	types    string // names of machine types
}

// gangKind returns the kind of the job's gang.
func (j *job) gangKind() gangKind {
	return gangKind{j.spec.Spot, j.spec.Zone, j.spec.SameZone, strings.Join(j.spec.MachineTypes, ",")}
}

// compare orders kinds.
func (k gangKind) compare(other gangKind) int {
	return cmp.Or(
		strings.Compare(k.zone, other.zone),
		strings.Compare(k.types, other.types),
		compareBool(k.spot, other.spot),
		compareBool(k.sameZone, other.sameZone),
	)
}

// gangDemand is what gangs of a kind needed lately.
type gangDemand struct {
	newestJob   *job
	largestCPUs float64      // CPUs of the largest gang
	peaks       []demandPeak // most CPUs used or waited for at once; newest last, falling
	zone        string       // where machines are reserved for gangs that must be in one zone
	seenAt      time.Duration
}

// demandPeak is how many CPUs were used or waited for at a time.
type demandPeak struct {
	at   time.Duration
	cpus float64
}

// recordPeak notes how many CPUs gangs of this kind use or wait for now.
func (d *gangDemand) recordPeak(now time.Duration, cpus float64) {
	for len(d.peaks) > 0 && d.peaks[len(d.peaks)-1].cpus <= cpus {
		d.peaks = d.peaks[:len(d.peaks)-1]
	}
	d.peaks = append(d.peaks, demandPeak{now, cpus})
	for d.peaks[0].at < now-limits.GangDemandWindow {
		d.peaks = d.peaks[1:]
	}
}

// cpusToReserve is the highest peak, and the size of the largest gang more.
func (d *gangDemand) cpusToReserve() float64 { return d.peaks[0].cpus + d.largestCPUs }

// gangShortage is what the machines lack that can be reserved for gangs of a kind.
type gangShortage struct {
	job  *job   // like the newest of these gangs, without tasks that are assigned
	zone string // where machines are missing; "" if in any
	cpus float64
}

// hasDemand reports whether machines may be reserved for gangs.
func (r *gangReservations) hasDemand() bool { return len(r.demand) > 0 }

// update reserves machines anew, and returns what is missing.
func (r *gangReservations) update() []gangShortage {
	for _, m := range r.inventory.all() {
		m.wasReservedForGangs, m.reservedForGangs = m.reservedForGangs, false
	}
	r.updateDemand()
	var shortages []gangShortage
	for _, kind := range slices.SortedFunc(maps.Keys(r.demand), gangKind.compare) {
		d := r.demand[kind]
		if missing := r.reserve(d); missing > 0 {
			another := &job{spec: d.newestJob.spec, demand: d.newestJob.demand, class: d.newestJob.class}
			shortages = append(shortages, gangShortage{another, d.zone, missing})
		}
	}
	return shortages
}

// reserveForGangs reserves machines for gangs, and plans to rent those that are missing.
func (s *Scheduler) reserveForGangs(plan *capacityPlan) {
	for _, shortage := range s.gangReservations.update() {
		zoneAllowed := func(zone string) bool { return shortage.zone == "" || zone == shortage.zone }
		if pool, t := plan.cheapestPool(shortage.job, zoneAllowed); t != nil {
			plan.rentAtLeast(pool, math.Ceil(shortage.cpus/max(t.CPUs, 1)))
		}
	}
}

// updateDemand works out what gangs need that machines should be reserved for.
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
		d.newestJob, d.seenAt = j, r.now
		d.largestCPUs = max(d.largestCPUs, cpus)
	}
	for kind, d := range r.demand {
		if r.now > d.seenAt+limits.GangDemandWindow {
			delete(r.demand, kind)
			continue
		}
		d.recordPeak(r.now, cpusNow[kind])
	}
}

// needsReservation reports whether a gang's tasks should start sooner than a machine that is rented
// for it would be up.
func (r *gangReservations) needsReservation(j *job) bool {
	for _, d := range j.deadlines {
		if d.forStart && (d.at-j.submittedAt).Seconds() < r.catalog.quickestBoot(j) {
			return true
		}
	}
	return false
}

// reserve reserves machines for gangs of a kind, at most a share of all, and returns how many CPUs
// are missing. Machines beyond the share are not returned to the cloud, but every job may use them.
func (r *gangReservations) reserve(d *gangDemand) (missingCPUs float64) {
	missingCPUs = d.cpusToReserve()
	if d.newestJob.spec.SameZone {
		d.zone = r.chooseZone(d)
	}
	candidates, allCPUs := r.candidates(d)
	reservableCPUs := allCPUs * limits.GangReservationShare
	for _, m := range candidates {
		if missingCPUs <= 0 {
			break
		}
		cpus := m.size().CPUs
		missingCPUs -= cpus
		m.neededByPlan = true
		if reservableCPUs >= cpus {
			reservableCPUs -= cpus
			m.reservedForGangs = true
		}
	}
	return missingCPUs
}

// candidates returns the machines that may be reserved for gangs of a kind, the best first, and the
// CPUs of all machines.
func (r *gangReservations) candidates(d *gangDemand) (candidates []*machine, allCPUs float64) {
	for _, m := range r.inventory.all() {
		allCPUs += m.size().CPUs
		if !m.reservedForGangs && r.reservable(d, m) {
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

// reservable reports whether a machine may be reserved for gangs of a kind; also one that boots.
func (r *gangReservations) reservable(d *gangDemand, m *machine) bool {
	if m.machineType == nil || m.deleting || m.spotNotice || m.isFaulty() || (m.hasReported && !r.isSchedulable(m)) {
		return false
	}
	if d.zone != "" && m.zone != d.zone {
		return false
	}
	return d.newestJob.specAllows(m.pool()) && m.size().Fits(d.newestJob.demand)
}

// chooseZone returns the zone in which machines are reserved for gangs that must be in one: where
// some are already, or where most machines are that may be reserved.
func (r *gangReservations) chooseZone(d *gangDemand) string {
	reserved, reservable := map[string]int{}, map[string]int{}
	previous := d.zone
	d.zone = ""
	for _, m := range r.inventory.all() {
		if !r.reservable(d, m) {
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

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
