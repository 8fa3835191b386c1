package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/limits"
)

// capacityPlanner decides which machines are rented and which are drained.
type capacityPlanner struct {
	*environment
	jobs      *jobTable
	queue     *jobQueue
	inventory *machineInventory
	catalog   *typeCatalog
	rentals   *rentalTable

	nextPlanAt     time.Duration
	nextLimitLogAt time.Duration // earliest time of the next log entry of logMachineLimit
}

// newCapacityPlanner returns a planner whose first plan is due at once.
func newCapacityPlanner(
	env *environment, jobs *jobTable, queue *jobQueue,
	inventory *machineInventory, catalog *typeCatalog, rentals *rentalTable,
) *capacityPlanner {
	return &capacityPlanner{
		environment: env,
		jobs:        jobs,
		queue:       queue,
		inventory:   inventory,
		catalog:     catalog,
		rentals:     rentals,
	}
}

// requestPlan makes the next plan due at the next tick.
func (p *capacityPlanner) requestPlan() { p.nextPlanAt = 0 }

// isDue reports whether a plan is due. None is before the machine types are known.
func (p *capacityPlanner) isDue() bool { return p.now >= p.nextPlanAt && !p.catalog.isEmpty() }

// scheduleNext makes the next plan due after PlanInterval.
func (p *capacityPlanner) scheduleNext() { p.nextPlanAt = p.now + limits.PlanInterval }

// maxMachines returns the largest allowed number of machines in the fleet: the option max_machines if it is
// set, or else a number that is never reached.
func (p *capacityPlanner) maxMachines() int {
	if n := p.cfg.Options.Fleet.MaxMachines; n > 0 {
		return n
	}
	return math.MaxInt32
}

// logMachineLimit logs, at most once every SummaryInterval, that the plan needs more machines than
// maxMachines allows.
func (p *capacityPlanner) logMachineLimit(machines, needed int) {
	if p.now < p.nextLimitLogAt {
		return
	}
	p.nextLimitLogAt = p.now + limits.SummaryInterval
	p.logWarn("machine limit reached; not all planned machines are rented", keyMachines, machines, "to_rent", needed)
}

// planCapacity makes and executes a capacity plan: it rents machines for the waiting tasks that the
// existing ones cannot start in time, selects the machines to drain and returns idle ones.
func (s *Scheduler) planCapacity() {
	plan := s.planner.newPlan()
	plan.planJobs()
	s.reserveForGangs(plan)
	if s.gangReservations.hasDemand() {
		s.placement.requestPass() // the set of reserved machines may have changed
	}
	plan.startRentals()
	s.planner.updateDraining()
	s.returnIdleMachines()
}
