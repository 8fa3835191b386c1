// Package scheduler decides: which task runs where, which tasks give way, which
// machines are rented and returned, and what has to be written down first. It is a
// deterministic state machine, Step(event, now) -> effects, without clocks, I/O,
// goroutines or randomness of its own.
//
// The rule that keeps a task from running twice: a task is free, or bound to one
// session of one machine, and only evidence frees it (see free and its callers).
package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

const never = time.Duration(math.MaxInt64)

// resources is an amount of what machines have and tasks take.
type resources struct{ cpu, gpu, memory float64 }

func (a resources) plus(b resources) resources {
	return resources{a.cpu + b.cpu, a.gpu + b.gpu, a.memory + b.memory}
}
func (a resources) minus(b resources) resources {
	return resources{a.cpu - b.cpu, a.gpu - b.gpu, a.memory - b.memory}
}

// max is the larger of both in each resource.
func (a resources) max(b resources) resources {
	return resources{max(a.cpu, b.cpu), max(a.gpu, b.gpu), max(a.memory, b.memory)}
}

// min is the smaller of both in each resource.
func (a resources) min(b resources) resources {
	return resources{min(a.cpu, b.cpu), min(a.gpu, b.gpu), min(a.memory, b.memory)}
}

// fits tells whether b fits into a, but for rounding.
func (a resources) fits(b resources) bool {
	const eps = limits.Epsilon
	return b.cpu <= a.cpu+eps && b.gpu <= a.gpu+eps && b.memory <= a.memory+eps
}

type rentalState uint8

const (
	rentalWriting rentalState = iota
	rentalRequested
	rentalAnswered
	rentalRemoving
)

// isPending tells whether the cloud has not answered yet.
func (h *rental) isPending() bool { return h.state == rentalWriting || h.state == rentalRequested }

type rental struct {
	name          string
	record        storage.Rental
	version       uint64
	state         rentalState
	requestedAt   time.Duration
	dirty         bool // the record in memory is newer than the written one
	writing       bool
	answerDurable bool // the written record names the machines
}

// machinePool is one type in one zone of one kind.
type machinePool struct {
	typeName, zone string
	spot           bool
}

type poolState struct {
	notBefore time.Duration
	backoff   time.Duration
}

// Config is what the scheduler must know.
type Config struct {
	Term       uint64
	Teams      []config.Team
	Objectives []config.Objective
	Workers    config.Workers
	State      config.State
	ListLag    time.Duration
	CloudRPS   float64
	CoreShare  float64 // of a core that this controller has; 0: not known
	Options    config.Options
}

// Scheduler is the state of one term.
type Scheduler struct {
	cfg               Config
	workerLease       time.Duration
	heartbeatInterval time.Duration
	now               time.Duration
	termStartedAt     time.Duration
	tasksPerChunk     int

	maxRentalMachines int // machines of one rental, so that its record fits

	jobs            map[string]*job
	closedJobs      map[string]bool // jobs over in this term; a late record of one must not open it again
	deletedMachines map[string]bool // machines whose deletion was confirmed; late lists and reports may still name them
	queue           []*job
	teams           map[string]*team
	classes         map[string]*jobClass
	machines        map[string]*machine
	sortedMachines  []*machine // by name
	machineTypes    map[string]*protocol.MachineType
	typeNames       []string // names of types, sorted
	rentals         map[string]*rental
	pools           map[machinePool]*poolState
	pendingWrites   map[uint64]pendingWrite

	registryPages     []*registryPage // in the order in which they were made
	currentPage       *registryPage   // that new machines go on
	pageSequence      uint64
	registryDirty     bool // some page has machines that are not written yet
	registryWrittenAt time.Duration

	attemptSequence        uint64 // of attempts
	rentalSequence         uint64
	writeSequence          uint64
	chunkWriteBudget       float64 // chunk writes that may go out now
	directSequence         uint64  // of direct commands
	placementNeeded        bool    // something changed that placement looks at
	loaded                 bool    // all that earlier terms wrote down is known
	directCommandsInFlight int     // direct commands that are not answered yet
	probes                 probeBudget
	fewUnreported          bool // of the machines that may hold tasks of earlier terms only a few have not been heard of
	manyUnverified         bool // so many machines are unverified that there must be a common cause
	recovered              bool // and all that may run; see endRecovery
	nextPlanAt             time.Duration
	nextListAt             time.Duration
	nextSummaryAt          time.Duration
	nextLimitNoteAt        time.Duration // when to say again that the fleet is at its bound
	listInFlight           bool
	nextTypesAt            time.Duration
	effects                []Effect

	pass placementPass
	// nextPreemptionSearch is when requests that found no tasks to stop may look for them again:
	// the look goes through all tasks of all machines, and in an overload many jobs are pressing at
	// every event. Until then they take free room like others.
	nextPreemptionSearch map[placementRequest]time.Duration
	orderedQueue         []*job // see claims
	orderedAt            time.Duration
	overdue              []*job // those of them that are behind; see age

	groupProgress     map[jobGroup]groupServed
	closedJobProgress map[jobGroup]groupServed // of the jobs that are over
	queueEntries      []queueEntry
	machinesInZone    map[string]int // machines in each zone at the last plan
	dispatchQueue     []*machine     // with orders that did not go out yet; see dispatch
	gangDemand        map[gangKind]*gangDemand
	deferredMachines  int // of todo, how many were held back by earlier calls

	changedGangs      []*gang    // to be looked at by settleGangs
	uncommittedGangs  []*gang    // with tasks whose starts wait for commitGangs
	gangsToRefill     []*gang    // that lost a task before their start
	gangDispatchQueue []*machine // that have to be told of a gang's stop
	freeRoomChanged   bool       // since the last commitGangs
	orphanedRecords   []orphanedRecord
}

// New returns the scheduler of a term that begins now.
func New(cfg Config, now time.Duration) *Scheduler {
	s := &Scheduler{
		cfg: cfg, now: now, termStartedAt: now,
		workerLease:       limits.Seconds(cfg.Workers.LeaseS),
		heartbeatInterval: limits.Seconds(cfg.Workers.ReportS),
		tasksPerChunk:     storage.TasksPerChunk(cfg.State.ValueKB),

		maxRentalMachines: storage.MaxRentalMachines(cfg.State.ValueKB),
		jobs:              map[string]*job{},
		closedJobs:        map[string]bool{},
		deletedMachines:   map[string]bool{},
		teams:             map[string]*team{},
		classes:           map[string]*jobClass{},
		machines:          map[string]*machine{},
		machineTypes:      map[string]*protocol.MachineType{},
		rentals:           map[string]*rental{},
		pools:             map[machinePool]*poolState{},
		pendingWrites:     map[uint64]pendingWrite{},
		pass:              placementPass{unplaceable: map[placementRequest]bool{}, unplaceableGangs: map[gangRequest]bool{}}, nextPreemptionSearch: map[placementRequest]time.Duration{},
		gangDemand:        map[gangKind]*gangDemand{},
		machinesInZone:    map[string]int{},
		registryWrittenAt: now - limits.RegistryWriteInterval,
		probes:            newProbeBudget(cfg.CoreShare),
		groupProgress:     map[jobGroup]groupServed{}, closedJobProgress: map[jobGroup]groupServed{},
	}
	for _, t := range cfg.Teams {
		s.teams[t.Name] = &team{cfg: t}
	}
	return s
}
