package scheduler

import (
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

type assignmentState uint8

const (
	stateUnsent assignmentState = iota // ours alone: no order has left yet
	stateSent                          // a start is on its way, or was lost
	stateFetching
	stateGathering // of a gang: has its image and waits for the others
	stateRunning
	stateSaving
)

// Reasons for which tasks are told to stop that code looks at.
const (
	stopReasonCancelled     = "cancelled"
	stopReasonDoneElsewhere = "done elsewhere"
)

// assignment ties a task to a session of a machine.
type assignment struct {
	job              *job
	index            int
	taskName         string // the task's name
	attempt          uint64
	machine          *machine
	state            assignmentState
	directID         uint64        // the direct command that carried the start and is not answered yet
	startUnconfirmed bool          // a direct start went out and no answer came: it may arrive as long as this session and term last
	startRepeated    bool          // the start was repeated in an answer to a report
	stopSent         bool          // the stop went out at least once
	assignedAt       time.Duration // when it was bound
	runningSince     time.Duration // when it was first seen running
	stopping         bool
	stopReason       string // one of the stopReason constants, or another text for the log

	committed     bool // of a gang: room for all its tasks is confirmed, so the start may go out
	withoutSaving bool // to be ended without saving
}

// endedTask is an ended task that its machine still lists.
type endedTask struct {
	mustNotForget bool // an unclear start of this attempt may still arrive; forgotten, it would run again
	job           *job // nil if there is nothing to write down
	chunk         int
	sequence      uint64
}

// isDurable tells whether the result, if there is one, is written down.
func (e endedTask) isDurable() bool {
	return e.job == nil || e.job.closed || e.job.chunks[e.chunk].durableSequence >= e.sequence
}

// assign ties a task to a machine's present session.
func (s *Scheduler) assign(j *job, index int, m *machine, attempt uint64, state assignmentState) *assignment {
	a := &assignment{job: j, index: index, taskName: protocol.TaskName(j.id, index), attempt: attempt, machine: m, state: state, assignedAt: s.now}
	j.assignments[index] = a
	j.lastAssignedAt = s.now
	s.gangs.markChanged(j.gang)
	s.dispatcher.enqueue(m)
	j.assigned.add(index)
	m.assignments[a.taskName] = a
	m.allocated = m.allocated.Plus(j.demand)
	j.team.allocated = j.team.allocated.Plus(j.demand)
	return a
}

// release takes a task off its machine. The caller has the evidence that it is not there and cannot
// come there: no start of this attempt is on its way, or the session is over, or the machine is
// gone.
func (s *Scheduler) release(a *assignment) {
	j, m := a.job, a.machine
	if m.assignments[a.taskName] != a {
		return // with its gang, by an earlier step of the same loop
	}
	s.gangs.taskLost(a)
	delete(j.assignments, a.index)
	j.assigned.remove(a.index)
	j.nextWaitingHint = min(j.nextWaitingHint, a.index)
	delete(m.assignments, a.taskName)
	m.allocated = m.allocated.Minus(j.demand)
	j.team.allocated = j.team.allocated.Minus(j.demand)
	if a.stopping {
		m.releasing = m.releasing.Minus(j.demand)
	}
	if len(m.assignments) == 0 {
		m.allocated, m.releasing = resource.Vector{}, resource.Vector{} // no rounding is carried on
		m.idleSince = s.now
	}
	s.placement.requestPass()
	s.gangs.requestCommit()
}

// nextAttempt returns the next attempt number; attempts rise across leaders because the term is
// their high part.
func (s *Scheduler) nextAttempt() uint64 {
	s.attemptSequence++
	return s.cfg.Term<<limits.AttemptTermShift | s.attemptSequence
}

// releaseAll takes all tasks off a machine that surely has none any more.
func (s *Scheduler) releaseAll(m *machine) {
	for _, a := range m.sortedAssignments() {
		s.release(a)
	}
}

// releaseUnsent takes back tasks that no order has left for.
func (s *Scheduler) releaseUnsent(m *machine) {
	for _, a := range m.sortedAssignments() {
		if a.state == stateUnsent {
			s.release(a)
		}
	}
}
