package scheduler

import (
	"math"
)

// zonePlan is how many more tasks of a job may be planned in each zone. Only gangs need it: their
// tasks are planned together, while those of an array are bound one by one, and where the next may
// go is seen from the bound ones.
type zonePlan struct {
	onlyZone   string // the one zone of a gang that must be in one; "" while it is not chosen
	maxPerZone int    // in a zone
	counts     map[string]int
}

func (j *job) newZonePlan() *zonePlan {
	z := &zonePlan{maxPerZone: math.MaxInt}
	if j.gang == nil {
		return z
	}
	z.counts = map[string]int{}
	for _, b := range j.assignments {
		if j.spec.SameZone {
			z.onlyZone = b.machine.zone
		}
		z.counts[b.machine.zone]++
	}
	if j.spec.SpreadZones {
		z.maxPerZone = (j.spec.Tasks + 1) / 2
	}
	return z
}

// remaining is how many more tasks may be planned in a zone.
func (z *zonePlan) remaining(zone string) int {
	if z.onlyZone != "" && z.onlyZone != zone {
		return 0
	}
	return max(z.maxPerZone-z.counts[zone], 0)
}

// addTasks notes tasks that were planned in a zone, and returns their number.
func (z *zonePlan) addTasks(zone string, n int) int {
	if z.counts != nil {
		z.counts[zone] += n
	}
	return n
}
