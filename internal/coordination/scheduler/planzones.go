package scheduler

import (
	"maps"
	"math"
	"slices"

	"quillshunt/internal/limits"
)

// planZones is how many more tasks of a job may be planned in each zone. Only gangs need it: their tasks are planned together, while
// those of an array are bound one by one, and where the next may go is seen from the bound ones.
type planZones struct {
	only   string // the one zone of a gang that must be in one; "" while it is not chosen
	most   int    // in a zone
	counts map[string]int
}

func (j *job) planZones() *planZones {
	z := &planZones{most: math.MaxInt}
	if j.gang == nil {
		return z
	}
	z.counts = map[string]int{}
	for _, b := range j.bound {
		if j.spec.SameZone {
			z.only = b.machine.zone
		}
		z.counts[b.machine.zone]++
	}
	if j.spec.SpreadZones {
		z.most = (j.spec.Tasks + 1) / 2
	}
	return z
}

// left is how many more tasks may be planned in a zone.
func (z *planZones) left(zone string) int {
	if z.only != "" && z.only != zone {
		return 0
	}
	return max(z.most-z.counts[zone], 0)
}

// count notes tasks that were planned in a zone, and returns their number.
func (z *planZones) count(zone string, n int) int {
	if z.counts != nil {
		z.counts[zone] += n
	}
	return n
}

// chooseZone chooses the zone in which a gang is planned that must be in one: the one whose machines can start most of its tasks in time,
// unless it falls short and has nothing to rent; else the one of the cheapest pool. It returns false if there is none.
func (s *Scheduler) chooseZone(j *job, zones *planZones, n int, within float64, open func(pool) bool, offers []*offer) bool {
	if zones.only != "" {
		return true
	}
	startable := map[string]float64{}
	for _, o := range offers {
		if per := slots(sizeOf(o.typ), j.need); per > 0 && s.offerAllowed(j, o) {
			startable[o.p.zone] += math.Floor(o.startable(j, per, within))
		}
	}
	best, most := "", 0.0
	for _, zone := range slices.Sorted(maps.Keys(startable)) {
		found := min(startable[zone], float64(n))
		if found <= most {
			continue
		}
		rentable := func(p pool) bool { return p.zone == zone && open(p) }
		if _, t := s.cheapestPool(j, rentable); found == float64(n) || t != nil {
			best, most = zone, found
		}
	}
	if best == "" {
		p, t := s.cheapestPool(j, open)
		if t == nil {
			return false
		}
		best = p.zone
	}
	zones.only = best
	return true
}

// planGang plans the missing tasks of a gang together. Machines are rented and kept for a gang that finds a part of them only for a while:
// the cloud may have the rest soon, but a gang that can't be complete must not cost money for ever.
func (s *Scheduler) planGang(j *job, fresh map[pool]float64, may func(pool) int, all *[]*offer) {
	g := j.gang
	if g.unplannable = !s.enoughZones(j); g.unplannable {
		return
	}
	if s.now < j.at+limits.GangShortPatience {
		s.planJob(j, fresh, may, all)
		return
	}
	before, offers := maps.Clone(fresh), len(*all)
	states := make([]offerState, offers)
	for i, o := range *all {
		states[i] = o.state()
	}
	if g.unplannable = s.planJob(j, fresh, may, all) > 0; !g.unplannable {
		return
	}
	clear(fresh)
	maps.Copy(fresh, before)
	*all = (*all)[:offers]
	for i, o := range *all {
		o.restore(states[i])
	}
}

// enoughZones tells whether a gang that is spread over zones could have all its tasks on machines if these had room without end.
func (s *Scheduler) enoughZones(j *job) bool {
	if !j.spec.SpreadZones {
		return true
	}
	zones := map[string]bool{}
	for _, t := range s.types {
		if !sizeOf(t).holds(j.need) || !kindAllowed(&j.spec, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			if j.spec.Zone == "" || j.spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return len(zones)*((j.spec.Tasks+1)/2) >= j.spec.Tasks
}

// offerState is what planning a job changes of an offer.
type offerState struct {
	used, load         float64
	wanted, gangWanted bool
}

func (o *offer) state() offerState {
	v := offerState{used: o.used, load: o.load}
	if o.m != nil {
		v.wanted, v.gangWanted = o.m.wanted, o.m.gangWanted
	}
	return v
}

func (o *offer) restore(v offerState) {
	o.used, o.load = v.used, v.load
	if o.m != nil {
		o.m.wanted, o.m.gangWanted = v.wanted, v.gangWanted
	}
}
