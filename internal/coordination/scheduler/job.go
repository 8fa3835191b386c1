package scheduler

import (
	"math/bits"
	"sort"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

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

func (s *Scheduler) class(name string) *class {
	c := s.classes[name]
	if c == nil {
		c = &class{ratio: 1}
		s.classes[name] = c
	}
	return c
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
