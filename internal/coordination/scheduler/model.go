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

// room is an amount of what machines have and tasks take.
type room struct{ cpu, gpu, ram float64 }

func (a room) plus(b room) room  { return room{a.cpu + b.cpu, a.gpu + b.gpu, a.ram + b.ram} }
func (a room) minus(b room) room { return room{a.cpu - b.cpu, a.gpu - b.gpu, a.ram - b.ram} }

// most is the larger of both in each resource.
func (a room) most(b room) room { return room{max(a.cpu, b.cpu), max(a.gpu, b.gpu), max(a.ram, b.ram)} }

// least is the smaller of both in each resource.
func (a room) least(b room) room {
	return room{min(a.cpu, b.cpu), min(a.gpu, b.gpu), min(a.ram, b.ram)}
}

// holds tells whether b fits into a, but for rounding.
func (a room) holds(b room) bool {
	const eps = limits.Epsilon
	return b.cpu <= a.cpu+eps && b.gpu <= a.gpu+eps && b.ram <= a.ram+eps
}

type rentalState uint8

const (
	rentalWriting rentalState = iota
	rentalRequested
	rentalAnswered
	rentalRemoving
)

// pending tells whether the cloud has not answered yet.
func (h *rental) pending() bool { return h.state == rentalWriting || h.state == rentalRequested }

type rental struct {
	name    string
	record  storage.Rental
	version uint64
	state   rentalState
	at      time.Duration
	dirty   bool // the record in memory is newer than the written one
	writing bool
	known   bool // the written record names the machines
}

// pool is one type in one zone of one kind.
type pool struct {
	kind, zone string
	spot       bool
}

type poolState struct {
	until   time.Duration
	backoff time.Duration
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
	cfg      Config
	lease    time.Duration
	report   time.Duration
	now      time.Duration
	tookOver time.Duration
	chunkLen int

	rentalMost int // machines of one rental, so that its record fits

	jobs     map[string]*job
	closed   map[string]bool // jobs over in this term; a late record of one must not open it again
	gone     map[string]bool // machines whose deletion was confirmed; late lists and reports may still name them
	queue    []*job
	teams    map[string]*team
	classes  map[string]*class
	machines map[string]*machine
	fleet    []*machine // by name
	types    map[string]*protocol.MachineType
	kinds    []string // names of types, sorted
	rentals  map[string]*rental
	pools    map[pool]*poolState
	writes   map[uint64]pendingWrite

	pages              []*registryPage // in the order in which they were made
	page               *registryPage   // that new machines go on
	pageSequence       uint64
	registrationsDirty bool // some page has machines that are not written yet
	registrationsAt    time.Duration

	seq            uint64 // of attempts
	rentalSequence uint64
	writeSeq       uint64
	flushes        float64 // chunk writes that may go out now
	sendSeq        uint64  // of direct commands
	dirty          bool    // something changed that placement looks at
	loaded         bool    // all that earlier terms wrote down is known
	directs        int     // direct commands that are not answered yet
	probes         probeBudget
	fewUnheard     bool // of the machines that may hold tasks of earlier terms only a few have not been heard of
	manyUnverified bool // so many machines are unverified that there must be a common cause
	recovered      bool // and all that may run; see endRecovery
	planAt         time.Duration
	listAt         time.Duration
	sumAt          time.Duration
	boundAt        time.Duration // when to say again that the fleet is at its bound
	listing        bool
	typesAt        time.Duration
	out            []Effect

	pass pass
	// pressAgain is when requests that found no tasks to stop may look for them again: the look goes through all tasks of all machines, and
	// in an overload many jobs are
	// pressing at every event. Until then they take free room like others.
	pressAgain map[request]time.Duration
	order      []*job // see claims
	orderAt    time.Duration
	aged       []*job // those of them that are behind; see age

	services       map[group]service
	closedServices map[group]service // of the jobs that are over
	claimed        []claim
	inZone         map[string]int // machines in each zone at the last plan
	todo           []*machine     // with orders that did not go out yet; see dispatch
	gangRoom       map[gangKind]*gangDemand
	held           int // of todo, how many were held back by earlier calls

	touchedGangs []*gang    // to be looked at by settleGangs
	placedGangs  []*gang    // with tasks whose starts wait for commitGangs
	refills      []*gang    // that lost a task before their start
	urgent       []*machine // that have to be told of a gang's stop
	roomChanged  bool       // since the last commitGangs
	orphans      []orphan
}

// New returns the scheduler of a term that begins now.
func New(cfg Config, now time.Duration) *Scheduler {
	s := &Scheduler{
		cfg: cfg, now: now, tookOver: now,
		lease:    limits.Seconds(cfg.Workers.LeaseS),
		report:   limits.Seconds(cfg.Workers.ReportS),
		chunkLen: storage.ChunkTasks(cfg.State.ValueKB),

		rentalMost: storage.RentalMachines(cfg.State.ValueKB),
		jobs:       map[string]*job{},
		closed:     map[string]bool{},
		gone:       map[string]bool{},
		teams:      map[string]*team{},
		classes:    map[string]*class{},
		machines:   map[string]*machine{},
		types:      map[string]*protocol.MachineType{},
		rentals:    map[string]*rental{},
		pools:      map[pool]*poolState{},
		writes:     map[uint64]pendingWrite{},
		pass:       pass{refused: map[request]bool{}, refusedGangs: map[gangRequest]bool{}}, pressAgain: map[request]time.Duration{},
		gangRoom:        map[gangKind]*gangDemand{},
		inZone:          map[string]int{},
		registrationsAt: now - limits.RegisterEvery,
		probes:          newProbeBudget(cfg.CoreShare),
		services:        map[group]service{}, closedServices: map[group]service{},
	}
	for _, t := range cfg.Teams {
		s.teams[t.Name] = &team{cfg: t}
	}
	return s
}
