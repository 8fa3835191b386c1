package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/limits"
)

// capacityPlanner decides which machines are rented, and which are drained and returned.
type capacityPlanner struct {
	*environment
	jobs      *jobTable
	queue     *jobQueue
	inventory *machineInventory
	catalog   *typeCatalog
	rentals   *rentalTable

	nextPlanAt     time.Duration
	nextLimitLogAt time.Duration // when to log again that the fleet is at its limit
}

// newCapacityPlanner returns a planner that has made no plan yet.
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

// planNow makes the next plan due at once.
func (p *capacityPlanner) requestPlan() { p.nextPlanAt = 0 }

// startIfDue reports whether a plan is due, and notes when the next one is.
func (p *capacityPlanner) scheduleNextIfDue() bool {
	if p.now < p.nextPlanAt || p.catalog.isEmpty() {
		return false
	}
	p.nextPlanAt = p.now + limits.PlanInterval
	return true
}

// maxMachines is how many machines may be rented at once.
func (p *capacityPlanner) maxMachines() int {
	if n := p.cfg.Options.Fleet.MaxMachines; n > 0 {
		return n
	}
	return math.MaxInt32
}

// logLimit logs from time to time that the plan needs more machines than may be rented.
func (p *capacityPlanner) logMachineLimit(machines, needed int) {
	if p.now < p.nextLimitLogAt {
		return
	}
	p.nextLimitLogAt = p.now + limits.SummaryInterval
	p.logWarn("fleet at its limit", keyMachines, machines, "needed", needed)
}

// planCapacity compares the backlog with what the fleet can work off in time, rents what is missing
// and returns what is idle.
func (s *Scheduler) planCapacity() {
	plan := s.planner.newPlan()
	plan.planJobs()
	s.reserveForGangs(plan)
	if s.gangReservations.hasDemand() {
		s.placement.requestPass() // the jobs that may use the machines reserved for gangs have changed
	}
	plan.rent()
	s.planner.updateDraining()
	s.returnIdleMachines()
}
