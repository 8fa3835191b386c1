package scheduler

import (
	"math"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

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

// Scheduler is the state of one term. Each part owns its fields.
type Scheduler struct {
	*environment

	jobs       jobTable
	queue      jobQueue
	inventory  machineInventory
	catalog    typeCatalog
	registry   machineRegistry
	rentals    rentalTable
	dispatcher commandDispatcher
	placement  placer
	gangs      gangTable
	recovery   recoveryState
	prober     machineProber
	finished   finishedTaskWriter
	planner    capacityPlanner
	cloudList  machineListReader

	attemptSequence uint64        // low part of the attempt numbers of this term
	nextSummaryAt   time.Duration // when the summary line is due
}

// environment is what all parts of the scheduler share: the settings, the time of the event at hand
// and the outbox.
type environment struct {
	cfg               Config
	now               time.Duration // of the event at hand
	termStartedAt     time.Duration
	workerLease       time.Duration
	heartbeatInterval time.Duration
	outbox
}

// outbox collects the effects of the event at hand and remembers what each write was for.
type outbox struct {
	effects       []Effect
	pendingWrites map[uint64]pendingWrite
	writeSequence uint64
}

// jobTable holds the jobs that are not over, with their teams and classes.
type jobTable struct {
	*environment
	byID         map[string]*job
	closed       map[string]bool // jobs over in this term; a late record of one must not open it again
	bySubmission []*job
	teams        map[string]*team
	classes      map[string]*jobClass
}

// jobQueue is the order in which jobs get room.
type jobQueue struct {
	*environment
	entries        []queueEntry // kept for its memory
	ordered        []*job       // see queueOrder
	orderedAt      time.Duration
	overdue        []*job // those of them that are behind; see updateOverdue
	groupProgress  map[jobGroup]groupServed
	closedProgress map[jobGroup]groupServed // of the jobs that are over
}

// machineInventory holds the machines that are known.
type machineInventory struct {
	*environment
	byName  map[string]*machine
	sorted  []*machine      // by name
	deleted map[string]bool // machines whose deletion was confirmed; late lists and heartbeats may still name them
}

// typeCatalog holds the machine types that the cloud offers.
type typeCatalog struct {
	*environment
	byName      map[string]*protocol.MachineType
	names       []string // sorted
	nextFetchAt time.Duration
}

// machineListReader reads the cloud's list of machines from time to time.
type machineListReader struct {
	*environment
	nextAt   time.Duration
	inFlight bool
}

// machineRegistry is the durable record of the machines that may hold tasks.
type machineRegistry struct {
	*environment
	pages     []*registryPage // in the order in which they were made
	current   *registryPage   // that new machines go on
	sequence  uint64          // of the names of this term's pages
	dirty     bool            // some page has machines that are not written yet
	writtenAt time.Duration
}

// commandDispatcher sends commands to workers without waiting for their heartbeats.
type commandDispatcher struct {
	*environment
	sequence  uint64     // of direct commands
	inFlight  int        // direct commands that are not answered yet
	queue     []*machine // with commands that did not go out yet
	deferred  int        // of queue, how many were held back by earlier calls
	gangQueue []*machine // that have to be told of a gang's stop
}

// placer runs the scheduling passes.
type placer struct {
	*environment
	pass   placementPass
	needed bool // something changed that placement looks at
	// nextPreemptionSearch is when requests that found no tasks to stop may look for them again:
	// the search goes through all tasks of all machines, and in an overload many jobs search at
	// every event. Until then they take free room like others.
	nextPreemptionSearch map[placementRequest]time.Duration
}

// gangTable holds the gangs about which something is to be decided, and what gangs asked for lately.
type gangTable struct {
	*environment
	changed         []*gang // to be looked at by reconcileGangs
	uncommitted     []*gang // with tasks whose starts wait for commitGangs
	toRefill        []*gang // that lost a task before their start
	freeRoomChanged bool    // since the last commitGangs
	demand          map[gangKind]*gangDemand
}

// recoveryState tells how far a new term knows what runs where.
type recoveryState struct {
	*environment
	loaded          bool // all that earlier terms wrote down is known
	ended           bool // and all that may run; see tryEndRecovery
	fewUnreported   bool // of the machines that may hold tasks of earlier terms only a few have not reported
	orphanedRecords []orphanedRecord
}

// machineProber asks machines for their tasks.
type machineProber struct {
	*environment
	budget         probeBudget
	manyUnverified bool // so many machines are unverified that there must be a common cause
}

// finishedTaskWriter writes down which tasks are done.
type finishedTaskWriter struct {
	*environment
	tasksPerChunk int
	writeBudget   float64 // chunk writes that may go out now
}

// capacityPlanner decides which machines are rented and returned.
type capacityPlanner struct {
	*environment
	nextPlanAt      time.Duration
	nextLimitNoteAt time.Duration  // when to say again that the fleet is at its limit
	machinesInZone  map[string]int // at the last plan
}

// New returns the scheduler of a term that begins now.
func New(cfg Config, now time.Duration) *Scheduler {
	env := &environment{
		cfg: cfg, now: now, termStartedAt: now,
		workerLease:       limits.Seconds(cfg.Workers.LeaseS),
		heartbeatInterval: limits.Seconds(cfg.Workers.ReportS),
		outbox:            outbox{pendingWrites: map[uint64]pendingWrite{}},
	}
	s := &Scheduler{
		environment: env,
		jobs: jobTable{environment: env,
			byID: map[string]*job{}, closed: map[string]bool{},
			teams: map[string]*team{}, classes: map[string]*jobClass{},
		},
		queue: jobQueue{environment: env,
			groupProgress:  map[jobGroup]groupServed{},
			closedProgress: map[jobGroup]groupServed{},
		},
		inventory: machineInventory{environment: env, byName: map[string]*machine{}, deleted: map[string]bool{}},
		catalog:   typeCatalog{environment: env, byName: map[string]*protocol.MachineType{}},
		registry:  machineRegistry{environment: env, writtenAt: now - limits.RegistryWriteInterval},
		rentals: rentalTable{environment: env,
			byName: map[string]*rental{}, pools: map[machinePool]*poolState{},
			maxMachines: storage.MaxRentalMachines(cfg.State.ValueKB),
		},
		placement: placer{environment: env,
			pass: placementPass{
				unplaceable:      map[placementRequest]bool{},
				unplaceableGangs: map[gangRequest]bool{},
			},
			nextPreemptionSearch: map[placementRequest]time.Duration{},
		},
		gangs:      gangTable{environment: env, demand: map[gangKind]*gangDemand{}},
		prober:     machineProber{environment: env, budget: newProbeBudget(cfg.CoreShare)},
		finished:   finishedTaskWriter{environment: env, tasksPerChunk: storage.TasksPerChunk(cfg.State.ValueKB)},
		recovery:   recoveryState{environment: env},
		dispatcher: commandDispatcher{environment: env},
		cloudList:  machineListReader{environment: env},
		planner:    capacityPlanner{environment: env, machinesInZone: map[string]int{}},
	}
	for _, t := range cfg.Teams {
		s.jobs.teams[t.Name] = &team{cfg: t}
	}
	return s
}
