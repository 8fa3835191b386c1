package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/coordination/resource"
)

// assignmentState is how far a task has come on its machine.
type assignmentState uint8

const (
	stateUnsent    assignmentState = iota // no start has gone out yet
	stateSent                             // a start is on its way, or was lost
	stateFetching                         // waits for its image
	stateGathering                        // of a gang: has its image and waits for the others
	stateRunning
	stateSaving
)

// Reasons for which tasks are told to stop that code looks at.
const (
	stopReasonCancelled  = "cancelled"
	stopReasonSuperseded = "done elsewhere"
)

// assignment binds a task to one incarnation of a machine. Only evidence that it is not there and
// cannot come there ends it; see release.
type assignment struct {
	job      *job
	index    int // of the task in its job
	taskName string
	attempt  uint64
	machine  *machine
	state    assignmentState

	directID         uint64 // the direct command that carried the start and is not answered yet
	startUnconfirmed bool   // a direct start was not answered: it may arrive while this incarnation and term last
	startRepeated    bool   // the start was repeated in the answer to a heartbeat
	assignedAt       time.Duration
	runningSince     time.Duration // when it was first seen running

	stopping   bool   // was told to stop, or is about to be
	stopReason string // one of the stopReason constants, or another text for the log
	stopSent   bool   // the stop went out at least once
	skipSaving bool   // to be ended without saving

	committed bool // of a gang: room for all its tasks is confirmed, so the start may go out
}

// endedTask is an ended task that its machine still lists.
type endedTask struct {
	startMayArrive bool // a start of this attempt may still arrive; forgotten, it would run again
	job            *job // nil if there is nothing to write down
	chunk          int
	sequence       uint64
}

// mayForget reports whether the worker may be told to forget the task.
func (e endedTask) mayForget() bool { return !e.startMayArrive && e.isDurable() }

// isDurable reports whether the result, if there is one, is written down.
func (e endedTask) isDurable() bool {
	return e.job == nil || e.job.closed || e.job.chunks[e.chunk].durableSequence >= e.sequence
}

func (j *job) addAssignment(a *assignment) {
	j.assignments[a.index] = a
	j.assigned.add(a.index)
	j.lastAssignedAt = a.assignedAt
	j.team.allocated = j.team.allocated.Plus(j.demand)
}

func (j *job) removeAssignment(a *assignment) {
	delete(j.assignments, a.index)
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
		m.releasing = m.releasing.Minus(a.job.demand)
	}
	if len(m.assignments) == 0 {
		m.allocated, m.releasing = resource.Vector{}, resource.Vector{} // no rounding is carried on
		m.idleSince = now
	}
}

// sortedAssignments returns the machine's assignments by job and task.
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
