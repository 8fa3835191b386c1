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

// Gangs that should start sooner than a machine boots need room that is there already. Independent tasks would fill it, as they take
// whatever is free, and a gang can't stop work of its own priority. So some machines are kept for gangs: as many as gangs lately
// used or waited for at once, and room for one more. Who waits for long may use them all the same (see yieldsGangRoom).

// gangKind is what decides which machines gangs may use: gangs that may use the same ones share the room that is kept.
type gangKind struct {
	spot     bool
	zone     string
	sameZone bool
	types    string // names of machine types
}

// gangDemand is what gangs of a kind asked for lately.
type gangDemand struct {
	sample  *job    // the newest of them
	largest float64 // CPUs of the largest gang
	peaks   []peak  // most CPUs used or waited for at once; newest last, falling
	zone    string  // where room is kept for gangs that must be in one zone
	seen    time.Duration
}

type peak struct {
	at   time.Duration
	cpus float64
}

// note takes how many CPUs gangs of this kind use or wait for now.
func (d *gangDemand) note(now time.Duration, cpus float64) {
	for len(d.peaks) > 0 && d.peaks[len(d.peaks)-1].cpus <= cpus {
		d.peaks = d.peaks[:len(d.peaks)-1]
	}
	d.peaks = append(d.peaks, peak{now, cpus})
	for d.peaks[0].at < now-limits.GangRoomMemory {
		d.peaks = d.peaks[1:]
	}
}

func (j *job) gangKind() gangKind {
	return gangKind{j.spec.Spot, j.spec.Zone, j.spec.SameZone, strings.Join(j.spec.MachineTypes, ",")}
}

// gangDemands works out what gangs ask for that room should be kept for.
func (s *Scheduler) gangDemands() {
	now := map[gangKind]float64{}
	for _, j := range s.queue {
		if j.gang == nil || j.gang.unplannable || j.cancelled || !s.needsReadyRoom(j) {
			continue
		}
		cpus := j.needFor(j.spec.Tasks).cpu
		kind := j.gangKind()
		now[kind] += cpus
		d := s.gangRoom[kind]
		if d == nil {
			d = &gangDemand{}
			s.gangRoom[kind] = d
		}
		d.sample, d.seen = j, s.now
		d.largest = max(d.largest, cpus)
	}
	for kind, d := range s.gangRoom {
		if s.now > d.seen+limits.GangRoomMemory {
			delete(s.gangRoom, kind)
			continue
		}
		d.note(s.now, now[kind])
	}
}

// needsReadyRoom tells whether a gang's tasks should start sooner than a machine that is rented for it would be up.
func (s *Scheduler) needsReadyRoom(j *job) bool {
	for _, d := range j.dues {
		if d.start && (d.at-j.at).Seconds() < s.soonest(j) {
			return true
		}
	}
	return false
}

// keepGangRoom picks the machines that are kept for gangs, and adds to what is to be rented where there are too few.
func (s *Scheduler) keepGangRoom(fresh map[pool]float64, may func(pool) int) {
	for _, m := range s.fleet {
		m.wasGangRoom, m.gangRoom = m.gangRoom, false
	}
	s.gangDemands()
	kinds := make([]gangKind, 0, len(s.gangRoom))
	for kind := range s.gangRoom {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b gangKind) int {
		return cmp.Or(
			strings.Compare(a.zone, b.zone), strings.Compare(a.types, b.types),
			compareBool(a.spot, b.spot), compareBool(a.sameZone, b.sameZone),
		)
	})
	for _, kind := range kinds {
		s.keepRoomFor(s.gangRoom[kind], fresh, may)
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

func (s *Scheduler) keepRoomFor(d *gangDemand, fresh map[pool]float64, may func(pool) int) {
	want := d.peaks[0].cpus + d.largest
	if d.sample.spec.SameZone {
		d.zone = s.gangRoomZone(d)
	}
	var ms []*machine
	total := 0.0
	for _, m := range s.fleet {
		total += m.size().cpu
		if !m.gangRoom && s.keepable(d, m) {
			ms = append(ms, m)
		}
	}
	spare := total * limits.GangRoomShare
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(
			compareBool(b.wasGangRoom, a.wasGangRoom),
			compareBool(b.hasGang(), a.hasGang()),
			cmp.Compare(b.freeRoom().cpu, a.freeRoom().cpu),
		)
	})
	for _, m := range ms {
		if want <= 0 {
			return
		}
		size := m.size().cpu
		want -= size
		m.wanted = true
		if spare >= size { // else it is not returned, but everybody may use it
			spare -= size
			m.gangRoom = true
		}
	}
	if want <= 0 {
		return
	}
	open := func(p pool) bool { return fresh[p] < float64(may(p)) && (d.zone == "" || p.zone == d.zone) }
	if p, t := s.cheapestPool(&job{spec: d.sample.spec, need: d.sample.need, class: d.sample.class}, open); t != nil {
		fresh[p] = max(fresh[p], math.Ceil(want/max(t.CPUs, 1))) // what is rented anyway counts as well
	}
}

// keepable tells whether a machine may be kept for gangs of a kind; also one that boots.
func (s *Scheduler) keepable(d *gangDemand, m *machine) bool {
	if m.machineType == nil || m.deleting || m.notice || m.sick() || (m.seen && !s.usable(m)) || (d.zone != "" && m.zone != d.zone) {
		return false
	}
	spec := &d.sample.spec
	return (spec.Spot || !m.spot) && (spec.Zone == "" || spec.Zone == m.zone) && kindAllowed(spec, m.kind) && m.size().holds(d.sample.need)
}

// gangRoomZone is the zone in which room is kept: where it is already, or where most machines are that may be kept.
func (s *Scheduler) gangRoomZone(d *gangDemand) string {
	kept, all := map[string]int{}, map[string]int{}
	zone := d.zone
	d.zone = ""
	for _, m := range s.fleet {
		if s.keepable(d, m) {
			all[m.zone]++
			if m.wasGangRoom {
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

// hasGang tells whether a task of a gang is bound to the machine.
func (m *machine) hasGang() bool {
	for _, b := range m.bindings {
		if b.job.gang != nil {
			return true
		}
	}
	return false
}

// yieldsGangRoom tells whether a job may use machines that are kept for gangs: gangs, and whoever waits for so long that room must
// not be kept from it any longer.
func (s *Scheduler) yieldsGangRoom(j *job) bool {
	return j.gang != nil || s.now > max(j.at, j.startedAt)+limits.GangRoomYields
}
