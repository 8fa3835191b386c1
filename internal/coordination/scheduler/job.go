package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// job is the scheduler's state of an open job: the content of its open record, and the state of its
// tasks in this term. Each task is waiting, assigned to a machine, or done.
type job struct {
	id               string
	gang             *gang // nil if the tasks are independent of each other
	spec             protocol.Spec
	priority         protocol.Priority
	team             *team
	class            *jobClass
	demand           resource.Vector // resources that one task needs
	version          uint64          // version of the open record
	submittedAt      time.Duration
	deadlines        []deadline // earliest first
	cancelled        bool
	cancelledAt      time.Duration // earliest time at which the user may have been notified of the cancellation
	cancelObservedAt time.Duration // when this leader observed the cancellation
	closing          bool          // the write of its final record is in flight
	closed           bool          // its final record is durable, or its open record was removed

	// Updated whenever the queue is sorted; see jobQueue.jobsInOrder.
	guaranteed            bool // the team's guarantee covers it and the team's earlier unfinished jobs
	underserved           bool // too few tasks of its group have started for the group's aging credit
	mayUseGangReservation bool // may use machines that are reserved for gangs

	done                bitmap
	doneCount           int
	assigned            bitmap
	assignments         map[int]*assignment // by task index
	assignedInZone      map[string]int      // number of assignments, by zone
	lastAssignedAt      time.Duration
	nextWaitingHint     int         // no task with a lower index is waiting
	stopCounts          map[int]int // how often the scheduler has stopped each task, by task index
	chunks              []finishedChunk
	earlierRecordKeys   []string // keys of finished-task records that do not match the chunks of this term
	remainingRecordKeys []string // keys of finished-task records to delete once the final record is written

	runTimeSum     float64         // sum of the measured run times of completed tasks, in seconds
	runTimeCount   int             // number of run times in runTimeSum
	failedMachines map[string]bool // machines on which a task has failed since the last successful task
	backoff        time.Duration   // most recent delay after failures on many machines
	retryAt        time.Duration   // no task is placed before this time

	nextPreemptionSearchAt time.Duration // no search for tasks to preempt before this time
}

// waitingTasks returns the number of tasks that are waiting for a machine.
func (j *job) waitingTasks() int {
	if j.gang != nil {
		return j.gang.missingTasks()
	}
	return j.spec.Tasks - j.doneCount - len(j.assignments)
}

// startedTasks returns the number of tasks that are done or assigned to machines.
func (j *job) startedTasks() int { return j.doneCount + len(j.assignments) }

// isEligibleForGangReservation reports whether the job may use machines that are reserved for gangs.
// Gangs always may. Other jobs may once GangReservationYieldAge has passed since their submission or
// the last assignment of one of their tasks, so that the reservation does not starve them.
func (j *job) isEligibleForGangReservation(now time.Duration) bool {
	return j.gang != nil || now > max(j.submittedAt, j.lastAssignedAt)+limits.GangReservationYieldAge
}

// demandOfTasks returns the resources that the given number of the job's tasks need together.
func (j *job) demandOfTasks(tasks int) resource.Vector { return j.demand.Times(float64(tasks)) }

// isWithinTeamLimit reports whether the team's limit leaves room for one more task of the job or, if the
// job is a gang, for all its waiting tasks.
func (j *job) isWithinTeamLimit() bool {
	if j.gang != nil {
		return j.team.isWithinLimit(j.demandOfTasks(j.waitingTasks()))
	}
	return j.team.isWithinLimit(j.demand)
}

// nextWaitingTask returns the lowest index of a task that is neither done nor assigned, or -1 if there
// is none.
func (j *job) nextWaitingTask() int {
	index := firstInNeither(j.done, j.assigned, j.nextWaitingHint)
	if index >= j.spec.Tasks {
		j.nextWaitingHint = j.spec.Tasks
		return -1
	}
	j.nextWaitingHint = index
	return index
}

// sortedAssignments returns the assignments of the job's tasks, ordered by task index.
func (j *job) sortedAssignments() []*assignment {
	sorted := make([]*assignment, 0, len(j.assignments))
	for _, a := range j.assignments {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].index < sorted[b].index })
	return sorted
}
