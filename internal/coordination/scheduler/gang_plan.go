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
func (p *capacityPlan) planGang(j *job) {
	g := j.gang
	g.lacksCapacity = !p.hasEnoughZones(j)
	if g.lacksCapacity {
		return
	}
	if p.now < j.submittedAt+limits.GangCapacityTimeout {
		p.planJob(j)
		return
	}
	before := p.snapshot()
	g.lacksCapacity = p.planJob(j) > 0
	if g.lacksCapacity {
		p.rollBack(before)
	}
}

// planSnapshot is what planning a gang changes of a plan.
type planSnapshot struct {
	toRent      map[machinePool]float64
	offerStates []capacityState
}

// snapshot returns what rollBack needs to undo the planning of a gang.
func (p *capacityPlan) snapshot() planSnapshot {
	offers := make([]capacityState, len(p.offers))
	for i, offer := range p.offers {
		offers[i] = offer.state()
	}
	return planSnapshot{toRent: maps.Clone(p.toRent), offerStates: offers}
}

// rollBack undoes what was planned since a snapshot, apart from the count of machines in zones.
func (p *capacityPlan) rollBack(before planSnapshot) {
	p.toRent = before.toRent
	p.offers = p.offers[:len(before.offerStates)]
	for i, offer := range p.offers {
		offer.restore(before.offerStates[i])
	}
}

// gangTasksToPlace is how many tasks must be placed together: the missing ones of a gang, or none
// in particular.
func (j *job) gangTasksToPlace() int {
	if j.gang == nil {
		return 0
	}
	return j.waitingTasks()
}

// chooseGangZone chooses the zone in which a gang is planned that must be in one: the one whose
// machines can start most of its tasks in time, unless it falls short and has nothing to rent; else
// the one of the cheapest pool. It returns false if there is none.
func (p *capacityPlan) chooseGangZone(jp *jobPlan) bool {
	if jp.zones.onlyZone != "" {
		return true
	}
	jp.zones.onlyZone = p.bestGangZone(jp)
	return jp.zones.onlyZone != ""
}

// bestGangZone returns the zone for chooseGangZone, or "".
func (p *capacityPlan) bestGangZone(jp *jobPlan) string {
	startable := p.startableTasksByZone(jp)
	best, most := "", 0.0
	for _, zone := range slices.Sorted(maps.Keys(startable)) {
		tasks := min(startable[zone], float64(jp.tasksLeft))
		if tasks <= most {
			continue
		}
		inZone := func(other string) bool { return other == zone && jp.zones.remaining(zone) > 0 }
		if _, t := p.cheapestPool(jp.job, inZone); t != nil || tasks == float64(jp.tasksLeft) {
			best, most = zone, tasks
		}
	}
	if best != "" {
		return best
	}
	anyZone := func(zone string) bool { return jp.zones.remaining(zone) > 0 }
	pool, t := p.cheapestPool(jp.job, anyZone)
	if t == nil {
		return ""
	}
	return pool.zone
}

// startableTasksByZone is how many tasks of a job the capacity that is there can start in time.
func (p *capacityPlan) startableTasksByZone(jp *jobPlan) map[string]float64 {
	startable := map[string]float64{}
	for _, offer := range p.offers {
		perMachine := typeResources(offer.machineType).TasksThatFit(jp.job.demand)
		if perMachine > 0 && offer.allows(jp.job) {
			startable[offer.pool.zone] += math.Floor(offer.startableTasks(jp.job, perMachine, jp.maxWaitS))
		}
	}
	return startable
}

// hasEnoughZones reports whether a gang that is spread over zones could have all its tasks on
// machines if these had unlimited capacity.
func (p *capacityPlan) hasEnoughZones(j *job) bool {
	if !j.spec.SpreadZones {
		return true
	}
	zones := map[string]bool{}
	for _, t := range p.catalog.all() {
		if !typeResources(t).Fits(j.demand) || !typeAllowed(&j.spec, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			if j.spec.Zone == "" || j.spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return len(zones)*j.maxTasksPerZone() >= j.spec.Tasks
}
