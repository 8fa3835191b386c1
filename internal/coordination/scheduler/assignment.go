package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/coordination/resource"
)

// assignmentState is the progress of an assigned task on its machine.
type assignmentState uint8

const (
	stateUnsent    assignmentState = iota // no start command was sent yet
	stateSent                             // a start command was sent, but the task was not reported yet
	stateFetching                         // the worker fetches the task's image
	stateGathering                        // gang task that has its image and waits for the other tasks of the gang
	stateRunning
	stateSaving
)

// Reasons for stopping a task that the scheduler's decisions depend on. All other reasons are only
// logged.
const (
	stopReasonCancelled  = "cancelled"
	stopReasonSuperseded = "completed on another machine"
)

// assignment binds a task to one incarnation of a machine's worker. It ends only on evidence that the
// task neither runs there nor can start there any more; see assignmentTable.release.
type assignment struct {
	job      *job
	index    int // of the task in its job
	taskName string
	attempt  uint64
	machine  *machine
	zone     string // of the machine, as when the task was assigned
	state    assignmentState

	directID         uint64        // ID of the direct command that carries the start and has no outcome yet, or 0
	directToken      uint64        // fencing token of the direct command that carried the start, or 0
	startUnconfirmed bool          // a direct command with the start got no reply; the start may still arrive
	startRepeated    bool          // the start was sent again in a heartbeat reply
	assignedAt       time.Duration // time of the assignment or, once its start was sent, of that start
	runningSince     time.Duration // when it was first reported as running

	stopping   bool   // a stop was sent or will be sent
	stopReason string // one of the stopReason constants, or another text for the log
	stopSent   bool   // the stop was sent at least once
	skipSaving bool   // must be stopped without time to save a checkpoint

	committed bool // gang task: resources for all tasks of the gang are confirmed, so the start may be sent
}

// endedTask is an ended attempt that its machine still lists.
type endedTask struct {
	job      *job   // nil if there is no result to record
	chunk    int    // the chunk of the job's finished tasks that contains the result
	sequence uint64 // the chunk contains the result from this sequence number on
}

// isDurable reports whether the result is in the state service, or there is none that must be recorded.
func (e endedTask) isDurable() bool {
	return e.job == nil || e.job.closed || e.job.chunks[e.chunk].durableSequence >= e.sequence
}

func (j *job) addAssignment(a *assignment) {
	j.assignments[a.index] = a
	j.assignedInZone[a.zone]++
	j.assigned.add(a.index)
	j.lastAssignedAt = a.assignedAt
	j.team.allocated = j.team.allocated.Plus(j.demand)
}

func (j *job) removeAssignment(a *assignment) {
	delete(j.assignments, a.index)
	if j.assignedInZone[a.zone]--; j.assignedInZone[a.zone] == 0 {
		delete(j.assignedInZone, a.zone)
	}
	j.assigned.remove(a.index)
	j.nextWaitingHint = min(j.nextWaitingHint, a.index)
	j.team.allocated = j.team.allocated.Minus(j.demand)
}

func (m *machine) addAssignment(a *assignment) {
	m.assignments[a.taskName] = a
	m.allocated = m.allocated.Plus(a.job.demand)
}

func (m *machine) removeAssignment(a *assignment, now time.Duration) {
	delete(m.assignments, a.taskName)
	m.allocated = m.allocated.Minus(a.job.demand)
	if a.stopping {
		m.stoppingResources = m.stoppingResources.Minus(a.job.demand)
	}
	if len(m.assignments) == 0 {
		m.allocated, m.stoppingResources = resource.Vector{}, resource.Vector{} // drops accumulated rounding errors
		m.idleSince = now
	}
}

// sortedAssignments returns the machine's assignments, sorted by job ID and task index.
func (m *machine) sortedAssignments() []*assignment {
	sorted := make([]*assignment, 0, len(m.assignments))
	for _, a := range m.assignments {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b *assignment) int {
		return cmp.Or(strings.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
	})
	return sorted
}
