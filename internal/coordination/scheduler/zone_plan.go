package scheduler

import "math"

// zonePlan is how many more tasks of a job may be planned in each zone. Only gangs need it: their
// tasks are planned together, while those of an array are assigned one by one, and where the next may
// go follows from the assignments.
type zonePlan struct {
	onlyZone    string // the zone of a gang that must be in one; "" while it is not chosen
	maxPerZone  int
	tasksByZone map[string]int // tasks in each zone, assigned or planned; nil for other jobs than gangs
}

// newZonePlan returns a plan that counts the tasks that are assigned.
func (j *job) newZonePlan() *zonePlan {
	z := &zonePlan{maxPerZone: math.MaxInt}
	if j.gang == nil {
		return z
	}
	z.tasksByZone = map[string]int{}
	for _, a := range j.assignments {
		if j.spec.SameZone {
			z.onlyZone = a.machine.zone
		}
		z.tasksByZone[a.machine.zone]++
	}
	if j.spec.SpreadZones {
		z.maxPerZone = j.maxTasksPerZone()
	}
	return z
}

// remaining is how many more tasks may be planned in a zone.
func (z *zonePlan) remaining(zone string) int {
	if z.onlyZone != "" && z.onlyZone != zone {
		return 0
	}
	return max(z.maxPerZone-z.tasksByZone[zone], 0)
}

// addTasks notes tasks that are planned in a zone.
func (z *zonePlan) addTasks(zone string, tasks int) {
	if z.tasksByZone != nil {
		z.tasksByZone[zone] += tasks
	}
}
