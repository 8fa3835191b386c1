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

// Gangs that should start sooner than a machine boots need room that is there already. Independent
// tasks would fill it, as they take whatever is free, and a gang can't stop work of its own
// priority. So some machines are kept for gangs: as many as gangs lately used or waited for at
// once, and room for one more. Who waits for long may use them all the same (see yieldsGangRoom).

// gangKind is what decides which machines gangs may use: gangs that may use the same ones share the
// room that is kept.
type gangKind struct {
	spot     bool
	zone     string
	sameZone bool
	types    string // names of machine types
}

// gangDemand is what gangs of a kind asked for lately.
type gangDemand struct {
	newestJob   *job         // the newest of them
	largestCPUs float64      // CPUs of the largest gang
	peaks       []demandPeak // most CPUs used or waited for at once; newest last, falling
	zone        string       // where room is kept for gangs that must be in one zone
	seenAt      time.Duration
}

type demandPeak struct {
	at   time.Duration
	cpus float64
}

// recordPeak takes how many CPUs gangs of this kind use or wait for now.
func (d *gangDemand) recordPeak(now time.Duration, cpus float64) {
	for len(d.peaks) > 0 && d.peaks[len(d.peaks)-1].cpus <= cpus {
		d.peaks = d.peaks[:len(d.peaks)-1]
	}
	d.peaks = append(d.peaks, demandPeak{now, cpus})
	for d.peaks[0].at < now-limits.GangDemandWindow {
		d.peaks = d.peaks[1:]
	}
}

func (j *job) gangKind() gangKind {
	return gangKind{j.spec.Spot, j.spec.Zone, j.spec.SameZone, strings.Join(j.spec.MachineTypes, ",")}
}

// updateGangDemand works out what gangs ask for that room should be kept for.
func (s *Scheduler) updateGangDemand() {
	now := map[gangKind]float64{}
	for _, j := range s.jobs.oldestFirst() {
		if j.gang == nil || j.gang.lacksCapacity || j.cancelled || !s.needsReservation(j) {
			continue
		}
		cpus := j.demandOf(j.spec.Tasks).CPUs
		kind := j.gangKind()
		now[kind] += cpus
		d := s.gangs.demand[kind]
		if d == nil {
			d = &gangDemand{}
			s.gangs.demand[kind] = d
		}
		d.newestJob, d.seenAt = j, s.now
		d.largestCPUs = max(d.largestCPUs, cpus)
	}
	for kind, d := range s.gangs.demand {
		if s.now > d.seenAt+limits.GangDemandWindow {
			delete(s.gangs.demand, kind)
			continue
		}
		d.recordPeak(s.now, now[kind])
	}
}

// needsReservation tells whether a gang's tasks should start sooner than a machine that is rented
// for it would be up.
func (s *Scheduler) needsReservation(j *job) bool {
	for _, d := range j.deadlines {
		if d.forStart && (d.at-j.submittedAt).Seconds() < s.planner.quickestBoot(j) {
			return true
		}
	}
	return false
}

// reserveForGangs picks the machines that are kept for gangs, and adds to what is to be rented
// where there are too few.
func (s *Scheduler) reserveForGangs(plan *capacityPlan) {
	for _, m := range s.inventory.all() {
		m.wasReservedForGangs, m.reservedForGangs = m.reservedForGangs, false
	}
	s.updateGangDemand()
	kinds := make([]gangKind, 0, len(s.gangs.demand))
	for kind := range s.gangs.demand {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b gangKind) int {
		return cmp.Or(
			strings.Compare(a.zone, b.zone), strings.Compare(a.types, b.types),
			compareBool(a.spot, b.spot), compareBool(a.sameZone, b.sameZone),
		)
	})
	for _, kind := range kinds {
		s.reserveForGangKind(s.gangs.demand[kind], plan)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (s *Scheduler) reserveForGangKind(d *gangDemand, plan *capacityPlan) {
	want := d.peaks[0].cpus + d.largestCPUs
	if d.newestJob.spec.SameZone {
		d.zone = s.chooseReservationZone(d)
	}
	var ms []*machine
	total := 0.0
	for _, m := range s.inventory.all() {
		total += m.size().CPUs
		if !m.reservedForGangs && s.reservable(d, m) {
			ms = append(ms, m)
		}
	}
	spare := total * limits.GangReservationShare
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(
			compareBool(b.wasReservedForGangs, a.wasReservedForGangs),
			compareBool(b.hasGangTask(), a.hasGangTask()),
			cmp.Compare(b.freeResources().CPUs, a.freeResources().CPUs),
		)
	})
	for _, m := range ms {
		if want <= 0 {
			return
		}
		size := m.size().CPUs
		want -= size
		m.neededByPlan = true
		if spare >= size { // else it is not returned, but everybody may use it
			spare -= size
			m.reservedForGangs = true
		}
	}
	if want <= 0 {
		return
	}
	zoneAllowed := func(zone string) bool { return d.zone == "" || zone == d.zone }
	if pool, t := plan.cheapestPool(&job{spec: d.newestJob.spec, demand: d.newestJob.demand, class: d.newestJob.class}, zoneAllowed); t != nil {
		plan.rentAtLeast(pool, math.Ceil(want/max(t.CPUs, 1)))
	}
}

// reservable tells whether a machine may be kept for gangs of a kind; also one that boots.
func (s *Scheduler) reservable(d *gangDemand, m *machine) bool {
	if m.machineType == nil || m.deleting || m.spotNotice || m.isFaulty() || (m.hasReported && !s.isSchedulable(m)) || (d.zone != "" && m.zone != d.zone) {
		return false
	}
	spec := &d.newestJob.spec
	return (spec.Spot || !m.spot) && (spec.Zone == "" || spec.Zone == m.zone) && typeAllowed(spec, m.typeName) && m.size().Fits(d.newestJob.demand)
}

// chooseReservationZone is the zone in which room is kept: where it is already, or where most
// machines are that may be kept.
func (s *Scheduler) chooseReservationZone(d *gangDemand) string {
	kept, all := map[string]int{}, map[string]int{}
	zone := d.zone
	d.zone = ""
	for _, m := range s.inventory.all() {
		if s.reservable(d, m) {
			all[m.zone]++
			if m.wasReservedForGangs {
				kept[m.zone]++
			}
		}
	}
	if kept[zone] > 0 {
		return zone
	}
	best := ""
	for _, z := range slices.Sorted(maps.Keys(all)) {
		if best == "" || all[z] > all[best] {
			best = z
		}
	}
	return best
}

// hasGangTask tells whether a task of a gang is bound to the machine.
func (m *machine) hasGangTask() bool {
	for _, b := range m.assignments {
		if b.job.gang != nil {
			return true
		}
	}
	return false
}
