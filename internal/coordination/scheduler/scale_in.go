package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/limits"
)

// updateDraining selects surplus machines to drain, the most expensive and least used first. A draining
// machine gets no new tasks, so that it becomes idle and can be returned. Without draining, a small load that
// is spread over all machines would keep all of them in use. The selection is repeated with every plan, so
// that machines get tasks again as soon as the load rises.
func (p *capacityPlanner) updateDraining() {
	candidates := p.drainCandidates()
	surplus := p.surplusCPUs(candidates)
	slices.SortStableFunc(candidates, compareForDraining)
	for _, m := range candidates {
		cpus := m.capacity().CPUs
		if m.freeResources().CPUs > 0 && cpus <= surplus && p.now > m.createdAt+limits.MinDrainAge {
			m.draining = true
			surplus -= cpus
		}
	}
}

// drainCandidates returns the machines that may be drained, and clears the previous selection. Machines that
// a gang needs are no candidates, because surplus capacity elsewhere cannot replace them: a gang needs all
// its machines at once.
func (p *capacityPlanner) drainCandidates() []*machine {
	var candidates []*machine
	for _, m := range p.inventory.all() {
		m.draining = false
		if p.isSchedulable(m) && !m.neededByGang && !m.reservedForGangs {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// surplusCPUs returns how many CPUs of the given machines exceed the demand of assigned and waiting tasks
// plus headroom.
func (p *capacityPlanner) surplusCPUs(machines []*machine) float64 {
	var total, used, waiting float64
	for _, m := range machines {
		total += m.capacity().CPUs
		used += m.allocated.CPUs
	}
	for _, j := range p.jobs.oldestFirst() {
		if !j.cancelled {
			waiting += float64(j.waitingTasks()) * j.demand.CPUs
		}
	}
	return total - (used+waiting)*(1+p.cfg.Options.Fleet.Headroom)
}

// compareForDraining sorts machines by price per CPU, the highest first, then by the share of their CPUs in
// use, the lowest first.
func compareForDraining(a, b *machine) int {
	if priceA, priceB := a.pricePerCPU(), b.pricePerCPU(); priceA != priceB {
		return cmp.Compare(priceB, priceA)
	}
	return cmp.Compare(a.allocated.CPUs/max(a.capacity().CPUs, 1), b.allocated.CPUs/max(b.capacity().CPUs, 1))
}

// returnIdleMachines returns machines that have been idle for longer than idleTimeout and that the plan does
// not need. A machine is kept until its results are durable, and for at least MinChargedTime.
func (s *Scheduler) returnIdleMachines() {
	if !s.recovery.hasEnded() {
		return
	}
	for _, m := range s.inventory.all() {
		if m.deleting || !m.hasReported || m.neededByPlan || len(m.assignments) > 0 || m.rental == "" {
			continue
		}
		if !m.hasOnlyDurableResults() {
			s.finishedTasks.expediteResults(m)
			continue
		}
		if s.isStale(m) {
			continue // unreachable, perhaps only because this leader is isolated; the machine may be used again later
		}
		if s.now > m.idleSince+s.idleTimeout(m) && s.now > m.createdAt+limits.MinChargedTime {
			s.returnMachine(m, "idle")
		}
	}
}

// idleTimeout returns how long a machine may be idle before it is returned.
func (s *Scheduler) idleTimeout(m *machine) time.Duration {
	if m.draining {
		return limits.DrainedIdleTimeout
	}
	return time.Duration(s.cfg.Options.Fleet.IdleTimeout)
}
