package scheduler

import (
	"math"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// candidate is a machine that passed the filters for a task, with its scores.
type candidate = placement.Candidate[*machine]

// collectCandidates returns the machines that pass the filters for a task of the job, with their scores.
// The result is valid until the next call.
func (p *placer) collectCandidates(j *job, preempting bool) *placement.ScoreGroups[*machine] {
	groups := &p.pass.groups
	groups.Clear()
	for _, m := range p.pass.eligibleMachines(preempting) {
		if c, ok := p.filterAndScore(j, m, preempting, nil); ok {
			groups.Add(c)
		}
	}
	return groups
}

// filterAndScore filters and scores one machine for a task of a job. It is the loop body of Select Hosts
// (Algorithm 2 of the paper). The full view of a machine counts all its tasks; the normal view leaves out
// those that may be preempted for the job. A request that may preempt is filtered on the normal view, any
// other on the full view. Scores always use the full view. planned holds what the placement of a gang has
// planned so far on this machine, or is nil.
func (p *placer) filterAndScore(j *job, m *machine, preempting bool, planned *plannedView) (c candidate, ok bool) {
	free := planned.freeResources(m) // on the full view
	overcommitted := !free.Covers(j.demand)
	if overcommitted && !preempting {
		return c, false
	}
	if m.isReservedForOthers(j) || !j.mayUse(m) || planned.taskCount(m) >= limits.MaxTasksPerMachine {
		return c, false
	}
	if overcommitted && !freeWithPreemption(j, m, planned).Covers(j.demand) {
		return c, false
	}
	c.Target = m
	if overcommitted {
		c.Scores[placement.Overcommit] = -1
		for _, option := range p.preemptionOptions(j, m, planned) {
			c.Scores[placement.PreemptionCost] -= option.Cost
		}
	}
	scoreMachine(j, m, free, &c.Scores)
	return c, true
}

// freeWithPreemption returns the free resources of a machine on the normal view, as if all tasks that may
// be preempted for the job were gone.
func freeWithPreemption(j *job, m *machine, planned *plannedView) resource.Vector {
	free := planned.freeResources(m)
	for _, a := range m.assignments {
		if !planned.isVictim(a) && j.mayPreempt(a) {
			free = free.Plus(a.job.demand)
		}
	}
	return free
}

// scoreMachine sets the scores that do not depend on preemption. Higher is better.
func scoreMachine(j *job, m *machine, free resource.Vector, scores *placement.Scores) {
	if _, cached := m.cachedImages[j.spec.Image]; !cached {
		scores[placement.Image] = -j.spec.ImageGB / max(m.machineType.FetchGBPerS, limits.MinImageFetchRate)
	}
	scores[placement.Packing] = -free.Minus(j.demand).CPUs
	scores[placement.Price] = -m.pricePerCPU()
	if j.gang != nil && m.reservedForGangs {
		scores[placement.GangReservation] = 1
	}
	scores[placement.Speed] = -1
	if m.runTimeRatioCount >= limits.MinSpeedSamples {
		meanRunTimeRatio := m.runTimeRatioSum / float64(m.runTimeRatioCount)
		scores[placement.Speed] = -math.Round(meanRunTimeRatio/limits.SpeedStep) * limits.SpeedStep
	}
}

// isSchedulable reports whether a machine may get any tasks.
func (e *environment) isSchedulable(m *machine) bool {
	return m.verified && m.machineType != nil && m.rental != "" &&
		!m.spotNotice && !m.deleting && !m.isFaulty() &&
		m.hasLiveIncarnation() && !e.isStale(m)
}

// isAtTaskLimit reports whether the machine has MaxTasksPerMachine tasks or more; see taskCount.
func (m *machine) isAtTaskLimit() bool { return m.taskCount() >= limits.MaxTasksPerMachine }

// taskCount returns the number of tasks assigned to the machine plus those that have ended and that its
// heartbeats still list.
func (m *machine) taskCount() int { return len(m.assignments) + len(m.endedTasks) }

// isReservedForOthers reports whether the job may not use the machine because it is reserved for another
// job or for gangs.
func (m *machine) isReservedForOthers(j *job) bool {
	if m.reservedForGangs && !j.mayUseGangReservation {
		return true
	}
	return m.reservedFor != nil && m.reservedFor != j
}

// mayUse reports whether the job's next task could run on the machine if no other task ran there.
func (j *job) mayUse(m *machine) bool {
	return j.mayUsePool(m.pool()) && m.capacity().Covers(j.demand) && !j.excludesMachine(m)
}

// mayUsePool reports whether the job's next task may run on machines of the pool: its spec allows them,
// and its zone rules do, given where its assigned tasks are.
func (j *job) mayUsePool(pool machinePool) bool { return j.specAllows(pool) && j.mayUseZone(pool.zone) }

// specAllows reports whether the spot setting, zone and machine types in the job's spec allow machines of
// the pool.
func (j *job) specAllows(pool machinePool) bool {
	if pool.spot && !j.spec.Spot {
		return false
	}
	return (j.spec.Zone == "" || j.spec.Zone == pool.zone) && isTypeAllowed(&j.spec, pool.typeName)
}

// mayUseZone reports whether the job's zone rules (SameZone, SpreadZones) allow its next task in a zone.
func (j *job) mayUseZone(zone string) bool {
	if !j.hasZoneRule() {
		return true
	}
	inZone := j.assignedInZone[zone]
	if j.spec.SameZone && inZone < len(j.assignments) {
		return false
	}
	return !j.spec.SpreadZones || inZone < j.maxTasksPerZone()
}

// hasNewZones reports whether the zone rules allow other zones than before, after a task of the job was assigned in the
// given zone.
func (j *job) hasNewZones(zone string) bool {
	isFirst := j.spec.SameZone && len(j.assignments) == 1
	isFull := j.spec.SpreadZones && j.assignedInZone[zone] == j.maxTasksPerZone()
	return isFirst || isFull
}

// hasZoneRule reports whether the zones a task may use depend on the zones of the job's other tasks.
func (j *job) hasZoneRule() bool { return j.spec.SameZone || j.spec.SpreadZones }

// hasNoMachineRules reports whether the job is free to use any zone, machine type and machine: its spec
// names none, and none of its tasks has failed on a machine since the last success.
func (j *job) hasNoMachineRules() bool {
	return j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && len(j.failedMachines) == 0
}

// maxTasksPerZone returns how many tasks of a job with SpreadZones may be in one zone.
func (j *job) maxTasksPerZone() int { return (j.spec.Tasks + 1) / 2 }

// excludesMachine reports whether the job must not use a machine because its tasks have failed there. Once
// they have failed on FaultyJobMachines machines, the failures are attributed to the job itself, and no
// machine is excluded.
func (j *job) excludesMachine(m *machine) bool {
	return j.failedMachines[m.name] && len(j.failedMachines) < limits.FaultyJobMachines
}
