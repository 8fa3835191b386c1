package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/limits"
)

// updateDraining picks machines that are not needed to be drained and returned, the most expensive
// and emptiest first: the work would keep all of them if it were spread thin. It is decided anew with
// every plan, so a burst of work brings them back at once.
func (p *capacityPlanner) updateDraining() {
	candidates := p.drainCandidates()
	surplus := p.surplusCPUs(candidates)
	slices.SortStableFunc(candidates, compareForDraining)
	for _, m := range candidates {
		size := m.capacity().CPUs
		if m.freeResources().CPUs > 0 && size <= surplus && p.now > m.createdAt+limits.MinDrainAge {
			m.draining = true
			surplus -= size
		}
	}
}

// drainCandidates returns the machines that may be drained. What a gang waits for can't be made up for
// by other machines.
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

// surplusCPUs is how many CPUs of some machines are not needed for what runs and waits, with some
// headroom.
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

// compareForDraining orders machines by price, the highest first, then by how much of them is in use.
func compareForDraining(a, b *machine) int {
	if priceA, priceB := a.pricePerCPU(), b.pricePerCPU(); priceA != priceB {
		return cmp.Compare(priceB, priceA)
	}
	return cmp.Compare(a.allocated.CPUs/max(a.capacity().CPUs, 1), b.allocated.CPUs/max(b.capacity().CPUs, 1))
}

// returnIdleMachines returns machines that have been without work for long enough and that the plan
// does not need.
func (s *Scheduler) returnIdleMachines() {
	if !s.recovery.hasEnded() {
		return
	}
	for _, m := range s.inventory.all() {
		if m.deleting || !m.hasReported || m.neededByPlan || len(m.assignments) > 0 || m.rental == "" {
			continue
		}
		if !m.resultsDurable() {
			s.finished.expediteResults(m)
			continue
		}
		if s.isStale(m) {
			continue // unreachable, not idle: when an isolated leader hears its machines again, they are still good
		}
		if s.now > m.idleSince+s.idleTimeout(m) && s.now > m.createdAt+limits.MinChargedTime {
			s.returnMachine(m, "idle")
		}
	}
}

// idleTimeout is how long a machine may be idle before it is returned.
func (s *Scheduler) idleTimeout(m *machine) time.Duration {
	if m.draining {
		return limits.DrainedIdleTimeout
	}
	return time.Duration(s.cfg.Options.Fleet.IdleTimeout)
}
