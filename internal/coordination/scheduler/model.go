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
	"math/bits"
	"slices"
	"sort"
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

type phase uint8

const (
	assigned phase = iota // ours alone: no order has left yet
	sent                  // a start is on its way, or was lost
	fetching
	gathering // of a gang: has its image and waits for the others
	running
	saving
)

// binding ties a task to a session of a machine.
type binding struct {
	job      *job
	index    int
	task     string // the task's name
	attempt  uint64
	machine  *machine
	phase    phase
	direct   uint64        // the direct command that carried the start and is not answered yet
	unclear  bool          // a direct start went out and no answer came: it may arrive as long as this session and term last
	resent   bool          // the start was repeated in an answer to a report
	stopSent bool          // the stop went out at least once
	at       time.Duration // when it was bound
	runAt    time.Duration // when it was first seen running
	stop     bool
	stopWhy  string

	committed bool // of a gang: room for all its tasks is confirmed, so the start may go out
	abrupt    bool // to be ended without saving
}

// exit is an ended task that its machine still lists.
type exit struct {
	keep     bool // an unclear start of this attempt may still arrive; forgotten, it would run again
	job      *job // nil if there is nothing to write down
	chunk    int
	sequence uint64
}

// chunk is a part of a job's finished tasks as the state service keeps it.
type chunk struct {
	version  uint64
	sequence uint64 // rises with every finished task
	durable  uint64 // highest sequence that is written
	writing  bool
	wroteAt  time.Duration
	since    time.Duration // when it was first left for later
	hurry    bool          // a machine that has results of it is to go
	covers   int           // the written record tells of tasks up to this chunk
}

// due is a time that a job should meet, by its completion or by the start of its tasks.
type due struct {
	at    time.Duration
	start bool
}

// durable tells whether the result, if there is one, is written down.
func (x exit) durable() bool {
	return x.job == nil || x.job.over || x.job.chunks[x.chunk].durable >= x.sequence
}

type job struct {
	id         string
	gang       *gang // nil if its tasks are independent
	spec       protocol.Spec
	priority   protocol.Priority
	team       *team
	class      *class
	need       room
	version    uint64
	cancelled  bool
	cancelAt   time.Duration // when its user may first have been told
	cancelSeen time.Duration // when we learned of it
	at         time.Duration // of its submission
	dues       []due
	guaranteed bool // fits into its team's guarantee together with the team's earlier unfinished jobs
	owed       bool // its group is served badly; see age
	over       bool // its final record is written
	finishing  bool

	done      []uint64
	doneCount int
	busy      []uint64
	cursor    int
	bound     map[int]*binding
	chunks    []chunk
	leftover  []string    // keys of records of finished tasks that are no chunks of this term; see finLoaded
	cleanup   []string    // keys to be removed after the final record
	stops     map[int]int // how often a task was stopped by us

	runSum   float64
	runCount int
	failOn   map[string]bool // machines that failed a task since the last success
	backoff  time.Duration
	resume   time.Duration // nothing is placed before

	// usesGangRoom tells that it may use machines that are kept for gangs; see yieldsGangRoom.
	usesGangRoom bool
	startedAt    time.Duration // when a task of it was last bound to a machine
	pressAgain   time.Duration // it looks for tasks to stop not before; see Scheduler.pressAgain
}

// free is how many tasks want a machine now.
func (j *job) free() int {
	if j.gang != nil {
		return j.gang.missing()
	}
	return j.spec.Tasks - j.doneCount - len(j.bound)
}

// needFor is what n of its tasks take.
func (j *job) needFor(n int) room {
	k := float64(n)
	return room{k * j.need.cpu, k * j.need.gpu, k * j.need.ram}
}

// teamAllows tells whether its team's limit lets a task of it start now; of a gang, all that want to.
func (j *job) teamAllows() bool {
	if j.gang != nil {
		return j.team.fits(j.needFor(j.free()))
	}
	return j.team.fits(j.need)
}

func getBit(b []uint64, i int) bool { return b[i/64]>>(i%64)&1 != 0 }
func setBit(b []uint64, i int)      { b[i/64] |= 1 << (i % 64) }
func clearBit(b []uint64, i int)    { b[i/64] &^= 1 << (i % 64) }

// nextFree is the lowest task that is neither done nor bound, or -1.
func (j *job) nextFree() int {
	for w := j.cursor / 64; w < len(j.done); w++ {
		open := ^(j.done[w] | j.busy[w])
		if open == 0 {
			continue
		}
		i := w*64 + bits.TrailingZeros64(open)
		if i >= j.spec.Tasks {
			break
		}
		j.cursor = i
		return i
	}
	j.cursor = j.spec.Tasks
	return -1
}

// class learns how long tasks of a class really run.
type class struct {
	ratio float64 // real run time over the owner's estimate
	n     int
	fetch float64 // mean wait for an image, in seconds
	seen  int
}

// estimate is how long a task of the job is expected to run. The tasks that are done weigh against those on machines, which count as
// what is
// known of the class: the first to be done are the shortest, and alone they would make the rest look short.
func (j *job) estimate() float64 {
	prior := j.spec.EstimateS * j.class.ratio
	open := float64(len(j.bound) + limits.PriorTasks)
	return max((j.runSum+prior*open)/(float64(j.runCount)+open), limits.ShortestRun)
}

// occupies is how long a task is expected to take room: its run time and the wait for its image.
func (j *job) occupies() float64 { return j.estimate() + j.class.fetch }

type team struct {
	cfg     config.Team
	used    room
	claimed room // by its unfinished jobs; see guarantees
}

// fits tells whether the team may use that much more.
func (t *team) fits(r room) bool {
	const eps = limits.Epsilon
	return t.used.cpu+r.cpu <= t.cfg.CPUsMax+eps && t.used.gpu+r.gpu <= t.cfg.GPUsMax+eps
}

// borrows tells whether the team uses more than its guarantee.
func (t *team) borrows() bool {
	const eps = limits.Epsilon
	return t.used.cpu > t.cfg.CPUs+eps || t.used.gpu > t.cfg.GPUs+eps
}

type machine struct {
	name, addr, kind, zone string
	spot                   bool
	machineType            *protocol.MachineType

	seen            bool // we have its task list in our term
	fenced          bool // its worker has seen our term, so no earlier leader can add tasks
	session         uint64
	sequence        uint64             // of the newest task list, from a report or a direct command
	reportSequence  uint64             // sequence number of the newest report
	answered        []protocol.Command // what the newest report was answered with
	verified        bool               // a round trip was seen since there was last reason to doubt it: answers reach the machine
	unverifiedSince time.Duration      // since when it is not verified
	direct          bool               // has reported to us itself in our term
	relayed         bool               // its last report came through another controller
	relayFrom       time.Duration      // when that began
	redirected      bool               // was told once to come itself
	misses          int                // probes that it did not answer in our term
	directID        uint64             // a direct command that is not answered yet
	mute            time.Duration      // no direct commands before this
	endedSession    uint64             // sessions up to this one are surely over
	heard           time.Duration      // arrival of the last report
	leaseBase       time.Duration      // the session is over WaitOut(lease) after this, if we answer no more
	notice          bool
	noticeEnd       time.Duration

	bindings map[string]*binding
	exits    map[attemptKey]exit
	used     room
	// leaving is the part of used that tasks take that were told to stop.
	leaving room
	images  map[string]time.Duration

	rental       string
	registration registration
	page         *registryPage // that names it
	probeAt      time.Duration // when to ask the machine directly, after a take-over
	created      time.Duration
	upAt         time.Duration
	listed       bool
	missing      int // lists in a row that lack it
	idleSince    time.Duration
	heldFor      *job // in this pass; see reserve
	wasHeld      bool // in the pass before
	wanted       bool // the last plan counts on it
	gangRoom     bool // kept for gangs; see keepGangRoom
	wasGangRoom  bool // by the plan before
	gangWanted   bool // the last plan counts on it for a gang that waits
	drain        bool // to be emptied and returned, unless work comes
	todo         bool // has orders that did not go out yet
	deleting     bool
	askedAt      time.Duration
	deleteWhy    string
	failures     int
	failedJobs   map[string]bool
	useful       float64 // CPU seconds of tasks that completed here, and of those that did not, and of waiting for images
	wasted       float64
	fetched      float64
	speedSum     float64
	speedCount   int
}

// sizeOf is what a machine of a type has.
func sizeOf(t *protocol.MachineType) room { return room{t.CPUs, t.Accelerators, t.MemoryGB} }

func (m *machine) size() room {
	if m.machineType == nil {
		return room{}
	}
	return sizeOf(m.machineType)
}

// freeRoom is what may be promised: what is free, and what tasks that were told to stop will leave. A start is sent
// only once the room is confirmed (see orders).
func (m *machine) freeRoom() room { return m.size().minus(m.used).plus(m.leaving) }

// price is what the machine costs an hour.
func (m *machine) price() float64 {
	if m.machineType == nil {
		return 0
	}
	return priceOf(m.machineType, m.spot)
}

// perCPU is the same for each of its CPUs.
func (m *machine) perCPU() float64 { return m.price() / max(m.size().cpu, 1) }

// priceOf is what a machine of a type costs an hour.
func priceOf(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
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

func (s *Scheduler) class(name string) *class {
	c := s.classes[name]
	if c == nil {
		c = &class{ratio: 1}
		s.classes[name] = c
	}
	return c
}

// machine returns the machine of a name, new if need be.
func (s *Scheduler) machine(name, kind, yard string, spot bool) *machine {
	m := s.machines[name]
	if m == nil {
		m = &machine{name: name, created: s.now, leaseBase: s.tookOver, idleSince: s.now, heard: -never / 2,
			bindings: map[string]*binding{}, exits: map[attemptKey]exit{}, images: map[string]time.Duration{}, failedJobs: map[string]bool{}}
		s.machines[name] = m
		i := sort.Search(len(s.fleet), func(i int) bool { return s.fleet[i].name >= name })
		s.fleet = append(s.fleet, nil)
		copy(s.fleet[i+1:], s.fleet[i:])
		s.fleet[i] = m
	}
	if kind != "" {
		m.kind, m.zone, m.spot = kind, yard, spot
		m.machineType = s.types[kind]
	}
	return m
}

func (s *Scheduler) dropMachine(m *machine) {
	life := (s.now - m.created).Seconds()
	boot := life
	if m.seen && m.upAt > m.created {
		boot = (m.upAt - m.created).Seconds()
	}
	s.note(false, "machine gone", "machine", m.name, "reason", m.deleteWhy, "type", m.kind, "spot", m.spot, "cpus", m.size().cpu, "life", life, "boot", boot,
		"useful", m.useful, "wasted", m.wasted, "fetched", m.fetched)
	delete(s.machines, m.name)
	s.unregister(m)
	for i, x := range s.fleet {
		if x == m {
			s.fleet = append(s.fleet[:i], s.fleet[i+1:]...)
			break
		}
	}
	if h := s.rentals[m.rental]; h != nil {
		h.record.Machines = slices.DeleteFunc(h.record.Machines, func(n string) bool { return n == m.name })
		h.dirty = true
	}
}

// bind ties a task to a machine's present session.
func (s *Scheduler) bind(j *job, idx int, m *machine, try uint64, ph phase) *binding {
	b := &binding{job: j, index: idx, task: protocol.TaskName(j.id, idx), attempt: try, machine: m, phase: ph, at: s.now}
	j.bound[idx] = b
	j.startedAt = s.now
	s.touchGang(j.gang)
	s.queueCommands(m)
	setBit(j.busy, idx)
	m.bindings[b.task] = b
	m.used = m.used.plus(j.need)
	j.team.used = j.team.used.plus(j.need)
	return b
}

// unbind takes a task off its machine. The caller has the evidence that it is not there and cannot come there:
// no start of this attempt is on its way, or the session is over, or the machine is gone.
func (s *Scheduler) unbind(b *binding) {
	j, m := b.job, b.machine
	if m.bindings[b.task] != b {
		return // with its gang, by an earlier step of the same loop
	}
	s.lostGangTask(b)
	delete(j.bound, b.index)
	clearBit(j.busy, b.index)
	j.cursor = min(j.cursor, b.index)
	delete(m.bindings, b.task)
	m.used = m.used.minus(j.need)
	j.team.used = j.team.used.minus(j.need)
	if b.stop {
		m.leaving = m.leaving.minus(j.need)
	}
	if len(m.bindings) == 0 {
		m.used, m.leaving = room{}, room{} // no rounding is carried on
		m.idleSince = s.now
	}
	s.dirty, s.roomChanged = true, true
}

// sortedBinds returns a machine's bindings in a fixed order.
func (m *machine) sortedBinds() []*binding {
	out := make([]*binding, 0, len(m.bindings))
	for _, b := range m.bindings {
		out = append(out, b)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].job.id != out[k].job.id {
			return out[i].job.id < out[k].job.id
		}
		return out[i].index < out[k].index
	})
	return out
}

// sortedBound returns a job's bindings in a fixed order.
func (j *job) sortedBound() []*binding {
	out := make([]*binding, 0, len(j.bound))
	for _, b := range j.bound {
		out = append(out, b)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].index < out[k].index })
	return out
}
