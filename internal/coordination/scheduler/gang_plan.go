package scheduler

import (
	"maps"
	"math"
	"slices"

	"quillshunt/internal/limits"
)

// planGang plans capacity for all missing tasks of a gang. If the plan covers only some of the tasks,
// it is kept until GangCapacityTimeout after the submission, because the cloud may soon have the rest.
// After that it is rolled back: a gang that cannot start must not cause costs indefinitely.
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

// planSnapshot is a copy of the parts of a plan that planning a gang changes.
type planSnapshot struct {
	toRent      map[machinePool]float64
	offerStates []offerState
}

// snapshot returns the state of the plan to which rollBack can return.
func (p *capacityPlan) snapshot() planSnapshot {
	offers := make([]offerState, len(p.offers))
	for i, offer := range p.offers {
		offers[i] = offer.snapshot()
	}
	return planSnapshot{toRent: maps.Clone(p.toRent), offerStates: offers}
}

// rollBack restores the plan to a snapshot. It does not restore machinesInZone, which only affects the choice
// among pools.
func (p *capacityPlan) rollBack(before planSnapshot) {
	p.toRent = before.toRent
	p.offers = p.offers[:len(before.offerStates)]
	for i, offer := range p.offers {
		offer.restore(before.offerStates[i])
	}
}

// gangTasksToPlace returns how many tasks of the job must be placed together: all missing tasks of a
// gang, or 0 for independent tasks.
func (j *job) gangTasksToPlace() int {
	if j.gang == nil {
		return 0
	}
	return j.waitingTasks()
}

// chooseGangZone chooses the zone for a gang that must be in one zone, unless it has one already. It
// returns false if no zone is suitable.
func (p *capacityPlan) chooseGangZone(jp *jobPlan) bool {
	if jp.zones.onlyZone != "" {
		return true
	}
	jp.zones.onlyZone = p.bestGangZone(jp)
	return jp.zones.onlyZone != ""
}

// bestGangZone returns the zone whose existing and pending machines can start most of the gang's tasks
// in time. Zones that cannot start all tasks are skipped if no machine can be rented there. If no zone
// is left, it returns the zone of the cheapest pool, or "" if nothing can be rented.
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

// startableTasksByZone returns how many tasks of a job the capacity in the plan can start in time, by
// zone.
func (p *capacityPlan) startableTasksByZone(jp *jobPlan) map[string]float64 {
	startable := map[string]float64{}
	for _, offer := range p.offers {
		perMachine := typeResources(offer.machineType).TasksThatFit(jp.job.demand)
		if perMachine > 0 && offer.mayRunTask(jp.job) {
			startable[offer.pool.zone] += math.Floor(offer.startableTasks(jp.job, perMachine, jp.maxWaitS))
		}
	}
	return startable
}

// hasEnoughZones reports whether there are enough zones with a suitable machine type for a gang that
// must be spread over zones, if each zone had unlimited capacity.
func (p *capacityPlan) hasEnoughZones(j *job) bool {
	if !j.spec.SpreadZones {
		return true
	}
	zones := map[string]bool{}
	for _, t := range p.catalog.all() {
		if !typeResources(t).Covers(j.demand) || !isTypeAllowed(&j.spec, t.Name) {
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
