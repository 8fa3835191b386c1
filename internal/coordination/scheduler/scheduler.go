package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/config"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Config is what the scheduler must know of the term, the settings and its surroundings. It does not
// change during a term.
type Config struct {
	Term       uint64 // the fencing token of the leader
	Teams      []config.Team
	Objectives []config.Objective
	Workers    config.WorkerTimes
	State      config.StateLimits // limits of the state service
	ListLag    time.Duration      // how far the cloud's list of machines usually lags behind
	CloudRPS   float64            // requests to the cloud that may go out in a second
	CoreShare  float64            // the share of a core that this controller has; 0 if it is not known
	Options    config.Options
}

// Scheduler is the state of one term. It hands each event to the parts that it concerns and lets
// them decide in a fixed order; doc.go lists the parts. It is not safe for concurrent use.
type Scheduler struct {
	*environment

	jobs             *jobTable
	queue            *jobQueue
	inventory        *machineInventory
	catalog          *typeCatalog
	registry         *machineRegistry
	rentals          *rentalTable
	dispatcher       *commandDispatcher
	placement        *placer
	gangs            *gangTable
	assignments      *assignmentTable
	reachability     *reachabilityTracker
	gangReservations *gangReservations
	recovery         *recoveryState
	prober           *machineProber
	finished         *finishedTaskWriter
	planner          *capacityPlanner
	cloudList        *machineListReader

	nextSummaryAt time.Duration // when the summary line is due
}

// New returns the scheduler of a term that begins now.
func New(cfg Config, now time.Duration) *Scheduler {
	env := newEnvironment(cfg, now)
	jobs := newJobTable(env)
	queue := newJobQueue(env, jobs)
	catalog := newTypeCatalog(env)
	inventory := newMachineInventory(env, catalog)
	registry := newMachineRegistry(env, inventory)
	rentals := newRentalTable(env, inventory)
	dispatcher := newCommandDispatcher(env)
	placement := newPlacer(env, queue, inventory)
	gangs := newGangTable(env)
	assignments := newAssignmentTable(env, dispatcher, placement, gangs)
	reachability := newReachabilityTracker(env, inventory, placement, assignments)
	gangReservations := newGangReservations(env, jobs, inventory, catalog)
	recovery := newRecoveryState(env, inventory)
	prober := newMachineProber(env, inventory, recovery)
	finished := newFinishedTaskWriter(env, jobs)
	planner := newCapacityPlanner(env, jobs, queue, inventory, catalog, rentals)
	cloudList := newMachineListReader(env)
	return &Scheduler{
		environment:      env,
		jobs:             jobs,
		queue:            queue,
		inventory:        inventory,
		catalog:          catalog,
		registry:         registry,
		rentals:          rentals,
		dispatcher:       dispatcher,
		placement:        placement,
		gangs:            gangs,
		assignments:      assignments,
		reachability:     reachability,
		gangReservations: gangReservations,
		recovery:         recovery,
		prober:           prober,
		finished:         finished,
		planner:          planner,
		cloudList:        cloudList,
	}
}
