package scheduler

import (
	"math"
	"slices"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// isSchedulable tells whether a machine may get tasks at all.
func (s *Scheduler) isSchedulable(m *machine) bool {
	return m.verified && m.machineType != nil && m.rental != "" && !m.spotNotice && !m.deleting && !m.isFaulty() &&
		m.hasLiveIncarnation() && !s.isStale(m)
}

// passesHardFilters are the filters that no stopping of tasks can change.
func (s *Scheduler) passesHardFilters(j *job, m *machine) bool {
	return j.placementAllowed(m.typeName, m.zone, m.spot) && m.size().Fits(j.demand) && !j.avoids(m)
}

// avoids tells whether a job goes elsewhere because the machine has failed it. Once it fails
// everywhere, any machine will do.
func (j *job) avoids(m *machine) bool {
	return j.failedMachines[m.name] && len(j.failedMachines) < limits.JobFaultMachines
}

func (j *job) placementAllowed(kind, yard string, spot bool) bool {
	if spot && !j.spec.Spot {
		return false
	}
	if j.spec.Zone != "" && j.spec.Zone != yard {
		return false
	}
	if !typeAllowed(&j.spec, kind) {
		return false
	}
	if j.spec.SameZone || j.spec.SpreadZones {
		here, total := 0, 0
		for _, b := range j.assignments {
			total++
			if b.machine.zone == yard {
				here++
			}
		}
		if j.spec.SameZone && here < total {
			return false
		}
		if j.spec.SpreadZones && here >= (j.spec.Tasks+1)/2 {
			return false
		}
	}
	return true
}

// eligibleMachines are the machines to look at: a request that may stop nothing needs free room.
func (p *placementPass) eligibleMachines(pressing bool) []*machine {
	if pressing {
		return p.machines
	}
	return p.withFreeResources
}

// collectCandidates are the machines that pass the filters for a task of the job, with their scores.
func (s *Scheduler) collectCandidates(j *job, pressing bool) *placement.Groups[*machine] {
	p := &s.placement.pass
	p.groups.Clear()
	for _, m := range p.eligibleMachines(pressing) {
		if c, ok := s.evaluateMachine(j, m, pressing, nil); ok {
			p.groups.Add(c)
		}
	}
	return &p.groups
}

// evaluateMachine filters and scores one machine, as it would stand with the seats that the gang at
// hand has there already; nil if there are none.
func (s *Scheduler) evaluateMachine(j *job, m *machine, pressing bool, planned *plannedView) (c candidate, ok bool) {
	free, tasks := planned.freeResources(m), len(m.assignments)+len(m.endedTasks)
	if planned != nil {
		tasks += planned.tasks
	}
	over := !free.Fits(j.demand)
	if m.reservedForGangs && !j.mayUseGangReservation {
		return c, false
	}
	if over && !pressing || (m.reservedFor != nil && m.reservedFor != j) || !s.passesHardFilters(j, m) || tasks >= limits.MaxTasksPerMachine {
		return c, false
	}
	c.Target = m
	if over {
		// The normal view: the machine without what this request may stop.
		view := free
		for _, b := range m.assignments {
			if !planned.isStopped(b) && s.mayPreempt(j, b) {
				view = view.Plus(b.job.demand)
			}
		}
		if !view.Fits(j.demand) {
			return c, false
		}
		c.Scores[placement.Overcommit] = -1
		for _, v := range s.preemptionOptions(j, m, planned) {
			c.Scores[placement.PreemptionCost] -= v.Cost
		}
	}
	if _, ok := m.cachedImages[j.spec.Image]; !ok {
		c.Scores[placement.Image] = -j.spec.ImageGB / max(m.machineType.FetchGBPerS, limits.MinImageFetchRate)
	}
	left := free.Minus(j.demand)
	c.Scores[placement.Packing] = -left.CPUs
	c.Scores[placement.Price] = -m.pricePerCPU()
	if j.gang != nil && m.reservedForGangs {
		c.Scores[placement.GangReservation] = 1
	}
	if m.speedCount >= 3 {
		c.Scores[placement.Speed] = -math.Round(m.speedSum/float64(m.speedCount)/limits.SpeedStep) * limits.SpeedStep
	} else {
		c.Scores[placement.Speed] = -1
	}
	return c, true
}

// typeAllowed tells whether a job may use machines of a type.
func typeAllowed(spec *protocol.Spec, kind string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, kind)
}

// taskDemand returns what a task of a job needs.
func taskDemand(spec *protocol.Spec) resource.Vector {
	return resource.Vector{CPUs: spec.CPUs, Accelerators: spec.Accelerators, MemoryGB: spec.MemoryGB}
}

// fitsSomeType tells whether some allowed type can hold a task of the job.
func fitsSomeType(spec *protocol.Spec, types []protocol.MachineType) bool {
	demand := taskDemand(spec)
	for i := range types {
		t := &types[i]
		ok := typeAllowed(spec, t.Name)
		if spec.Zone != "" {
			in := false
			for _, y := range t.Zones {
				in = in || y == spec.Zone
			}
			ok = ok && in
		}
		if ok && typeResources(t).Fits(demand) {
			return true
		}
	}
	return false
}

// CanEverRun tells whether a job could ever run: a task fits some allowed type, and its team's
// limit; of a gang, all tasks together.
func CanEverRun(spec *protocol.Spec, types []protocol.MachineType, cpusMax, gpusMax float64) bool {
	atOnce := 1.0
	if spec.Gang() {
		atOnce = float64(spec.Tasks)
	}
	return fitsSomeType(spec, types) && atOnce*spec.CPUs <= cpusMax+limits.Epsilon && atOnce*spec.Accelerators <= gpusMax+limits.Epsilon
}
