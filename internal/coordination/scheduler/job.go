package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// job is a job that is not over: its open record, and what became of its tasks in this term. A task
// is waiting, assigned to a machine, or done.
type job struct {
	id           string
	gang         *gang // nil if its tasks are independent
	spec         protocol.Spec
	priority     protocol.Priority
	team         *team
	class        *jobClass
	demand       resource.Vector // of one task
	version      uint64          // of the open record
	submittedAt  time.Duration
	deadlines    []deadline // earliest first
	cancelled    bool
	cancelledAt  time.Duration // when its user may first have been told
	cancelSeenAt time.Duration // when this leader learned of it
	closing      bool          // its final record is being written
	closed       bool          // its final record is written

	// Set when the order of the queue is made; see jobQueue.order.
	guaranteed            bool // fits into its team's guarantee together with the team's earlier unfinished jobs
	underserved           bool // its group has got too little of its aging credit
	mayUseGangReservation bool // may use machines that are kept for gangs

	done                bitmap
	doneCount           int
	assigned            bitmap
	assignments         map[int]*assignment // by index of the task
	lastAssignedAt      time.Duration
	nextWaitingHint     int         // no task below is waiting
	stopCounts          map[int]int // how often the scheduler has stopped a task, by its index
	chunks              []finishedChunk
	otherRecordKeys     []string // keys of records of finished tasks that are no chunks of this term
	remainingRecordKeys []string // keys to be removed after the final record was written

	runSum         float64         // of the run times of done tasks, in seconds
	runCount       int             // of these tasks
	failedMachines map[string]bool // machines that failed a task since the last success
	backoff        time.Duration   // the last wait after failures on many machines
	retryAt        time.Duration   // no task is placed before

	nextPreemptionSearch time.Duration // the placement does not look for tasks to stop for it before
}

// waitingTasks is how many tasks wait for a machine now.
func (j *job) waitingTasks() int {
	if j.gang != nil {
		return j.gang.missingTasks()
	}
	return j.spec.Tasks - j.doneCount - len(j.assignments)
}

// begunTasks is how many tasks are done or on machines.
func (j *job) begunTasks() int { return j.doneCount + len(j.assignments) }

// outwaitsGangReservation reports whether the job may use machines that are kept for gangs: gangs
// may, and jobs that have waited for so long that machines must not be kept from them any longer.
func (j *job) outwaitsGangReservation(now time.Duration) bool {
	return j.gang != nil || now > max(j.submittedAt, j.lastAssignedAt)+limits.GangReservationYieldAge
}

// demandOf is the demand of that many of its tasks.
func (j *job) demandOf(tasks int) resource.Vector { return j.demand.Times(float64(tasks)) }

// withinTeamLimit reports whether its team's limit lets a task of it start now; of a gang, all that
// wait.
func (j *job) withinTeamLimit() bool {
	if j.gang != nil {
		return j.team.fits(j.demandOf(j.waitingTasks()))
	}
	return j.team.fits(j.demand)
}

// nextWaitingTask is the lowest task that is neither done nor assigned, or -1.
func (j *job) nextWaitingTask() int {
	index := firstInNeither(j.done, j.assigned, j.nextWaitingHint)
	if index >= j.spec.Tasks {
		j.nextWaitingHint = j.spec.Tasks
		return -1
	}
	j.nextWaitingHint = index
	return index
}

// sortedAssignments returns the assignments of its tasks, by index.
func (j *job) sortedAssignments() []*assignment {
	sorted := make([]*assignment, 0, len(j.assignments))
	for _, a := range j.assignments {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].index < sorted[b].index })
	return sorted
}
