package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/config"
)

// never is a time or a duration that is never reached.
const never = time.Duration(math.MaxInt64)

// Config holds the term, the settings and the properties of the cluster that the scheduler needs. It
// does not change during a term.
type Config struct {
	Term       uint64 // also the lowest fencing token of the term
	Teams      []config.Team
	Objectives []config.Objective
	Workers    config.WorkerTimes
	State      config.StateLimits // limits of the state service
	ListLag    time.Duration      // usual delay until a change shows in the cloud's list of machines
	CloudRPS   float64            // limit on requests to the cloud per second
	CoreShare  float64            // CPU cores available to this controller, as a share of one; 0 if unknown
	Options    config.Options

	LastFencingToken uint64 // the highest fencing token that is reserved for the term; 0: Term
	TermKeyVersion   uint64 // of the term key, which reserves them
}

// Scheduler is the scheduling state of one term. It passes each event to the parts that handle it, and
// then runs the scheduling decisions in a fixed order. The package comment lists the parts. A Scheduler
// is not safe for concurrent use.
type Scheduler struct {
	*environment

	jobs             *jobTable
	queue            *jobQueue
	inventory        *machineInventory
	catalog          *typeCatalog
	registry         *machineRegistry
	rentals          *rentalTable
	tokens           *fencingTokens
	dispatcher       *commandDispatcher
	placement        *placer
	gangs            *gangTable
	assignments      *assignmentTable
	reachability     *reachabilityTracker
	gangReservations *gangReservations
	recovery         *recoveryState
	prober           *machineProber
	finishedTasks    *finishedTaskWriter
	planner          *capacityPlanner
	machineList      *machineListReader
	pacer            *decisionPacer

	nextSummaryAt time.Duration // when the next summary is logged
}

// New returns the scheduler of a term that begins at the time now.
func New(cfg Config, now time.Duration) *Scheduler {
	env := newEnvironment(cfg, now)
	jobs := newJobTable(env)
	queue := newJobQueue(env, jobs)
	catalog := newTypeCatalog(env)
	inventory := newMachineInventory(env, catalog)
	registry := newMachineRegistry(env, inventory)
	rentals := newRentalTable(env, inventory)
	tokens := newFencingTokens(env)
	dispatcher := newCommandDispatcher(env)
	placement := newPlacer(env, queue, inventory)
	gangs := newGangTable(env)
	assignments := newAssignmentTable(env, dispatcher, placement, gangs)
	reachability := newReachabilityTracker(env, inventory, placement, assignments)
	gangReservations := newGangReservations(env, jobs, inventory, catalog)
	recovery := newRecoveryState(env, inventory)
	prober := newMachineProber(env, inventory, recovery)
	finishedTasks := newFinishedTaskWriter(env, jobs)
	planner := newCapacityPlanner(env, jobs, queue, inventory, catalog, rentals)
	machineList := newMachineListReader(env)
	return &Scheduler{
		environment:      env,
		jobs:             jobs,
		queue:            queue,
		inventory:        inventory,
		catalog:          catalog,
		registry:         registry,
		rentals:          rentals,
		tokens:           tokens,
		dispatcher:       dispatcher,
		placement:        placement,
		gangs:            gangs,
		assignments:      assignments,
		reachability:     reachability,
		gangReservations: gangReservations,
		recovery:         recovery,
		prober:           prober,
		finishedTasks:    finishedTasks,
		planner:          planner,
		machineList:      machineList,
		pacer:            newDecisionPacer(env),
	}
}
