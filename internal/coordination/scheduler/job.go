package scheduler

import (
	"math/bits"
	"sort"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// deadline is a time that a job should meet, by its completion or by the start of its tasks.
type deadline struct {
	at       time.Duration
	forStart bool
}

type job struct {
	id           string
	gang         *gang // nil if its tasks are independent
	spec         protocol.Spec
	priority     protocol.Priority
	team         *team
	class        *jobClass
	demand       resource.Vector
	version      uint64
	cancelled    bool
	cancelledAt  time.Duration // when its user may first have been told
	cancelSeenAt time.Duration // when we learned of it
	submittedAt  time.Duration // of its submission
	deadlines    []deadline
	guaranteed   bool // fits into its team's guarantee together with the team's earlier unfinished jobs
	underserved  bool // its group is served badly; see age
	closed       bool // its final record is written
	closing      bool

	doneBits            []uint64
	doneCount           int
	assignedBits        []uint64
	nextFreeHint        int
	assignments         map[int]*assignment
	chunks              []finishedChunk
	otherRecordKeys     []string    // keys of records of finished tasks that are no chunks of this term; see finishedTaskWriter
	remainingRecordKeys []string    // keys to be removed after the final record
	stopCounts          map[int]int // how often a task was stopped by us

	runSum         float64
	runCount       int
	failedMachines map[string]bool // machines that failed a task since the last success
	backoff        time.Duration
	retryAt        time.Duration // nothing is placed before

	// mayUseGangReservation tells that it may use machines that are kept for gangs; see jobQueue.order.
	mayUseGangReservation bool
	lastAssignedAt        time.Duration // when a task of it was last bound to a machine
	nextPreemptionSearch  time.Duration // it looks for tasks to stop not before; see Scheduler.pressAgain
}

// waitingTasks is how many tasks want a machine now.
func (j *job) waitingTasks() int {
	if j.gang != nil {
		return j.gang.missing()
	}
	return j.spec.Tasks - j.doneCount - len(j.assignments)
}

// begunTasks is how many tasks are done or on machines.
func (j *job) begunTasks() int { return j.doneCount + len(j.assignments) }

// outwaitsGangReservation reports whether the job may use machines that are kept for gangs: gangs
// may, and whoever waits for so long that room must not be kept from it any longer.
func (j *job) outwaitsGangReservation(now time.Duration) bool {
	return j.gang != nil || now > max(j.submittedAt, j.lastAssignedAt)+limits.GangReservationYieldAge
}

// demandOf is what n of its tasks take.
func (j *job) demandOf(n int) resource.Vector {
	return j.demand.Times(float64(n))
}

// withinTeamLimit tells whether its team's limit lets a task of it start now; of a gang, all that
// want to.
func (j *job) withinTeamLimit() bool {
	if j.gang != nil {
		return j.team.fits(j.demandOf(j.waitingTasks()))
	}
	return j.team.fits(j.demand)
}

func getBit(b []uint64, i int) bool { return b[i/64]>>(i%64)&1 != 0 }
func setBit(b []uint64, i int)      { b[i/64] |= 1 << (i % 64) }
func clearBit(b []uint64, i int)    { b[i/64] &^= 1 << (i % 64) }

// nextWaitingTask is the lowest task that is neither done nor bound, or -1.
func (j *job) nextWaitingTask() int {
	for w := j.nextFreeHint / 64; w < len(j.doneBits); w++ {
		open := ^(j.doneBits[w] | j.assignedBits[w])
		if open == 0 {
			continue
		}
		i := w*64 + bits.TrailingZeros64(open)
		if i >= j.spec.Tasks {
			break
		}
		j.nextFreeHint = i
		return i
	}
	j.nextFreeHint = j.spec.Tasks
	return -1
}

// jobClass learns how long tasks of a class really run.
type jobClass struct {
	estimateRatio float64 // real run time over the owner's estimate
	runSamples    int
	fetchSeconds  float64 // mean wait for an image, in seconds
	fetchSamples  int
}

// estimate is how long a task of the job is expected to run. The tasks that are done weigh against
// those on machines, which count as what is known of the class: the first to be done are the
// shortest, and alone they would make the rest look short.
func (j *job) estimate() float64 {
	prior := j.spec.EstimateS * j.class.estimateRatio
	open := float64(len(j.assignments) + limits.EstimatePriorTasks)
	return max((j.runSum+prior*open)/(float64(j.runCount)+open), limits.MinRunTime)
}

// occupancy is how long a task is expected to take room: its run time and the wait for its image.
func (j *job) occupancy() float64 { return j.estimate() + j.class.fetchSeconds }

type team struct {
	cfg       config.Team
	allocated resource.Vector
	claimed   resource.Vector // by its unfinished jobs; see guarantees
}

// fits tells whether the team may use that much more.
func (t *team) fits(r resource.Vector) bool {
	const eps = limits.Epsilon
	return t.allocated.CPUs+r.CPUs <= t.cfg.CPUsMax+eps && t.allocated.Accelerators+r.Accelerators <= t.cfg.GPUsMax+eps
}

// usesBorrowed tells whether the team uses more than its guarantee.
func (t *team) usesBorrowed() bool {
	const eps = limits.Epsilon
	return t.allocated.CPUs > t.cfg.CPUs+eps || t.allocated.Accelerators > t.cfg.GPUs+eps
}

// sortedAssignments returns a job's bindings in a fixed order.
func (j *job) sortedAssignments() []*assignment {
	out := make([]*assignment, 0, len(j.assignments))
	for _, b := range j.assignments {
		out = append(out, b)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].index < out[k].index })
	return out
}
