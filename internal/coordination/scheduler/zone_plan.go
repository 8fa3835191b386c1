package scheduler

import (
	"maps"
	"math"
	"slices"
)

// zonePlan limits how many tasks of a gang may be planned in each zone. All tasks of a gang are planned
// before any is assigned, so the planned tasks must be counted. Independent tasks are assigned one at a time,
// and the existing assignments determine which zones the next task may use, so a zonePlan does not limit them.
type zonePlan struct {
	onlyZone    string // zone of a gang that must be in one zone; "" until it is chosen, and for other jobs
	maxPerZone  int
	tasksByZone map[string]int // assigned and planned tasks in each zone; nil for independent tasks
}

// newZonePlan returns a zone plan that counts the assigned tasks of the job.
func (j *job) newZonePlan() *zonePlan {
	z := &zonePlan{maxPerZone: math.MaxInt}
	if j.gang == nil {
		return z
	}
	z.tasksByZone = maps.Clone(j.assignedInZone)
	if j.spec.SameZone {
		z.onlyZone = j.assignedZone()
	}
	if j.spec.SpreadZones {
		z.maxPerZone = j.maxTasksPerZone()
	}
	return z
}

// assignedZone returns the zone of the assigned tasks of a job whose tasks must be in one zone, or "" if none is
// assigned.
func (j *job) assignedZone() string {
	zones := slices.Sorted(maps.Keys(j.assignedInZone))
	if len(zones) == 0 {
		return ""
	}
	return zones[0]
}

// remaining returns how many more tasks may be planned in a zone.
func (z *zonePlan) remaining(zone string) int {
	if z.onlyZone != "" && z.onlyZone != zone {
		return 0
	}
	return max(z.maxPerZone-z.tasksByZone[zone], 0)
}

// addTasks counts tasks that are planned in a zone.
func (z *zonePlan) addTasks(zone string, tasks int) {
	if z.tasksByZone != nil {
		z.tasksByZone[zone] += tasks
	}
}
