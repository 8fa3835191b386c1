package scheduler

import (
	"maps"
	"math"
	"slices"

	"quillshunt/internal/limits"
)

// planGang plans the missing tasks of a gang together. Machines are rented and kept for a gang that
// finds a part of them only for a while: the cloud may have the rest soon, but a gang that can't be
// complete must not cost money for ever.
func (s *Scheduler) planGang(j *job, fresh map[machinePool]float64, may func(machinePool) int, all *[]*capacity) {
	g := j.gang
	if g.lacksCapacity = !s.hasEnoughZones(j); g.lacksCapacity {
		return
	}
	if s.now < j.submittedAt+limits.GangCapacityTimeout {
		s.planJob(j, fresh, may, all)
		return
	}
	before, offers := maps.Clone(fresh), len(*all)
	states := make([]capacityState, offers)
	for i, o := range *all {
		states[i] = o.state()
	}
	if g.lacksCapacity = s.planJob(j, fresh, may, all) > 0; !g.lacksCapacity {
		return
	}
	clear(fresh)
	maps.Copy(fresh, before)
	*all = (*all)[:offers]
	for i, o := range *all {
		o.restore(states[i])
	}
}

// chooseGangZone chooses the zone in which a gang is planned that must be in one: the one whose
// machines can start most of its tasks in time, unless it falls short and has nothing to rent; else
// the one of the cheapest pool. It returns false if there is none.
func (s *Scheduler) chooseGangZone(j *job, zones *zonePlan, n int, within float64, open func(machinePool) bool, offers []*capacity) bool {
	if zones.onlyZone != "" {
		return true
	}
	startable := map[string]float64{}
	for _, o := range offers {
		if per := typeResources(o.machineType).TasksThatFit(j.demand); per > 0 && s.capacityAllowed(j, o) {
			startable[o.pool.zone] += math.Floor(o.startableTasks(j, per, within))
		}
	}
	best, most := "", 0.0
	for _, zone := range slices.Sorted(maps.Keys(startable)) {
		found := min(startable[zone], float64(n))
		if found <= most {
			continue
		}
		rentable := func(p machinePool) bool { return p.zone == zone && open(p) }
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
	zones.onlyZone = best
	return true
}

// hasEnoughZones tells whether a gang that is spread over zones could have all its tasks on
// machines if these had room without end.
func (s *Scheduler) hasEnoughZones(j *job) bool {
	if !j.spec.SpreadZones {
		return true
	}
	zones := map[string]bool{}
	for _, t := range s.catalog.all() {
		if !typeResources(t).Fits(j.demand) || !typeAllowed(&j.spec, t.Name) {
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

// gangTasksToPlace is how many tasks must be placed together: the missing ones of a gang, or none
// in particular.
func (j *job) gangTasksToPlace() int {
	if j.gang == nil {
		return 0
	}
	return j.waitingTasks()
}
