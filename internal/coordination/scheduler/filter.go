package scheduler

import (
	"math"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// candidate is a machine that passed the filters, with its scores.
type candidate = placement.Candidate[*machine]

// collectCandidates returns the machines that pass the filters for a task of the job, with their
// scores. They are valid until the next call.
func (p *placer) collectCandidates(j *job, preempting bool) *placement.ScoreGroups[*machine] {
	groups := &p.pass.groups
	groups.Clear()
	for _, m := range p.pass.eligibleMachines(preempting) {
		if c, ok := p.evaluate(j, m, preempting, nil); ok {
			groups.Add(c)
		}
	}
	return groups
}

// evaluate filters and scores one machine for a task of a job: the body of the loop of Select Hosts
// (Algorithm 2 of the paper). A request that may preempt is filtered on the normal view, any other
// on the full view; scores are those of the full view. Planned is what the placement of a gang has
// decided for the machine so far, or nil.
func (p *placer) evaluate(j *job, m *machine, preempting bool, planned *plannedView) (c candidate, ok bool) {
	free := planned.freeResources(m) // on the full view
	overcommitted := !free.Covers(j.demand)
	if overcommitted && !preempting {
		return c, false
	}
	if m.isReservedForOthers(j) || !j.mayUse(m) || planned.taskCount(m) >= limits.MaxTasksPerMachine {
		return c, false
	}
	if overcommitted && !freeOnNormalView(j, m, planned).Covers(j.demand) {
		return c, false
	}
	c.Target = m
	if overcommitted {
		c.Scores[placement.Overcommit] = -1
		for _, option := range p.preemptionOptions(j, m, planned) {
			c.Scores[placement.PreemptionCost] -= option.Cost
		}
	}
	weighMachine(j, m, free, &c.Scores)
	return c, true
}

// freeOnNormalView is what is free on a machine without the tasks that may be preempted for a job.
func freeOnNormalView(j *job, m *machine, planned *plannedView) resource.Vector {
	free := planned.freeResources(m)
	for _, a := range m.assignments {
		if !planned.isVictim(a) && j.mayPreempt(a) {
			free = free.Plus(a.job.demand)
		}
	}
	return free
}

// weighMachine sets the scores that don't depend on preemption.
func weighMachine(j *job, m *machine, free resource.Vector, scores *placement.Scores) {
	if _, cached := m.cachedImages[j.spec.Image]; !cached {
		scores[placement.Image] = -j.spec.ImageGB / max(m.machineType.FetchGBPerS, limits.MinImageFetchRate)
	}
	scores[placement.Packing] = -free.Minus(j.demand).CPUs
	scores[placement.Price] = -m.pricePerCPU()
	if j.gang != nil && m.reservedForGangs {
		scores[placement.GangReservation] = 1
	}
	scores[placement.Speed] = -1
	if m.speedCount >= limits.MinSpeedSamples {
		meanSpeed := m.speedSum / float64(m.speedCount)
		scores[placement.Speed] = -math.Round(meanSpeed/limits.SpeedStep) * limits.SpeedStep
	}
}

// isSchedulable reports whether a machine may get tasks at all.
func (e *environment) isSchedulable(m *machine) bool {
	return m.verified && m.machineType != nil && m.rental != "" &&
		!m.spotNotice && !m.deleting && !m.isFaulty() &&
		m.hasLiveIncarnation() && !e.isStale(m)
}

// isAtTaskLimit reports whether the machine runs and lists as many tasks as it may.
func (m *machine) isAtTaskLimit() bool { return m.taskCount() >= limits.MaxTasksPerMachine }

// taskCount is the number of tasks that the machine has, those included that have ended and are
// still listed.
func (m *machine) taskCount() int { return len(m.assignments) + len(m.endedTasks) }

// isReservedForOthers reports whether the machine is kept for other jobs than this one.
func (m *machine) isReservedForOthers(j *job) bool {
	if m.reservedForGangs && !j.mayUseGangReservation {
		return true
	}
	return m.reservedFor != nil && m.reservedFor != j
}

// mayUse reports whether the job's tasks may run on the machine, whatever else runs there.
func (j *job) mayUse(m *machine) bool {
	return j.mayUsePool(m.pool()) && m.size().Covers(j.demand) && !j.avoids(m)
}

// mayUsePool reports whether the job's next task may run on a machine of the pool: the job's spec
// allows it, and so do its rules for zones together with the tasks that are assigned already.
func (j *job) mayUsePool(pool machinePool) bool { return j.specAllows(pool) && j.mayUseZone(pool.zone) }

// specAllows reports whether the job's spec allows machines of the pool.
func (j *job) specAllows(pool machinePool) bool {
	if pool.spot && !j.spec.Spot {
		return false
	}
	return (j.spec.Zone == "" || j.spec.Zone == pool.zone) && typeAllowed(&j.spec, pool.typeName)
}

// mayUseZone reports whether the job's rules for zones let its next task run in a zone.
func (j *job) mayUseZone(zone string) bool {
	if !j.hasZoneRule() {
		return true
	}
	inZone := 0
	for _, a := range j.assignments {
		if a.machine.zone == zone {
			inZone++
		}
	}
	if j.spec.SameZone && inZone < len(j.assignments) {
		return false
	}
	return !j.spec.SpreadZones || inZone < j.maxTasksPerZone()
}

// hasZoneRule reports whether where a task may go depends on where the job's other tasks are.
func (j *job) hasZoneRule() bool { return j.spec.SameZone || j.spec.SpreadZones }

// hasNoMachineRules reports whether the job may use machines of every zone and type.
func (j *job) hasNoMachineRules() bool {
	return j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && len(j.failedMachines) == 0
}

// maxTasksPerZone is how many tasks of a job that is spread over zones may be in one.
func (j *job) maxTasksPerZone() int { return (j.spec.Tasks + 1) / 2 }

// avoids reports whether the job's tasks don't use a machine because tasks have failed there. Once
// they fail everywhere, any machine will do.
func (j *job) avoids(m *machine) bool {
	return j.failedMachines[m.name] && len(j.failedMachines) < limits.FaultyJobMachines
}
