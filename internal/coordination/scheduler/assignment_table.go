package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// assignmentTable binds tasks to machines and frees them. The assignments themselves are kept by their
// jobs and machines.
type assignmentTable struct {
	*environment
	dispatcher *commandDispatcher
	placement  *placer
	gangs      *gangTable
	attempts   uint64 // of this term; low part of the attempt numbers
}

// newAssignmentTable returns a table without assignments.
func newAssignmentTable(
	env *environment, dispatcher *commandDispatcher, placement *placer, gangs *gangTable,
) *assignmentTable {
	return &assignmentTable{environment: env, dispatcher: dispatcher, placement: placement, gangs: gangs}
}

// assign binds a task to a machine's present incarnation.
func (t *assignmentTable) assign(
	j *job, index int, m *machine, attempt uint64, state assignmentState,
) *assignment {
	a := &assignment{
		job:        j,
		index:      index,
		taskName:   protocol.TaskName(j.id, index),
		attempt:    attempt,
		machine:    m,
		state:      state,
		assignedAt: t.now,
	}
	j.addAssignment(a)
	m.addAssignment(a)
	t.gangs.markChanged(j.gang)
	t.dispatcher.enqueue(m)
	return a
}

// release takes a task off its machine. The caller has the evidence that it is not there and cannot
// come there: no start of this attempt is on its way, or the incarnation is over, or the machine is
// gone.
func (t *assignmentTable) release(a *assignment) {
	if a.machine.assignments[a.taskName] != a {
		return // with its gang, by an earlier step of the same loop
	}
	t.gangs.taskLost(a)
	a.job.removeAssignment(a)
	a.machine.removeAssignment(a, t.now)
	t.placement.requestPass()
	t.gangs.requestCommit()
}

// releaseAll takes all tasks off a machine that surely has none any more.
func (t *assignmentTable) releaseAll(m *machine) {
	for _, a := range m.sortedAssignments() {
		t.release(a)
	}
}

// releaseUnsent releases the tasks of a machine of which no start has gone out.
func (t *assignmentTable) releaseUnsent(m *machine) {
	for _, a := range m.sortedAssignments() {
		if a.state == stateUnsent {
			t.release(a)
		}
	}
}

// withdraw takes a task off its machine: at once if no command for it was sent, else by a stop.
func (t *assignmentTable) withdraw(a *assignment, reason string) {
	if a.state == stateUnsent {
		t.release(a)
		return
	}
	t.stop(a, reason)
}

// withdrawAll takes all tasks of a job off their machines.
func (t *assignmentTable) withdrawAll(j *job, reason string) {
	for _, a := range j.sortedAssignments() {
		t.withdraw(a, reason)
	}
}

// stop has a worker told to stop a task. The task stays assigned until the worker shows
// that it is gone.
func (t *assignmentTable) stop(a *assignment, reason string) {
	if a.stopping {
		return
	}
	a.stopping, a.stopReason = true, reason
	t.dispatcher.enqueue(a.machine)
	if a.job.gang != nil {
		t.dispatcher.enqueueUrgent(a.machine)
	}
	a.machine.stoppingResources = a.machine.stoppingResources.Plus(a.job.demand)
	t.logInfo("stopping", keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt,
		keyMachine, a.machine.name, keyReason, reason)
}

// nextAttempt returns the next attempt number. Attempts rise across leaders because the term is their
// high part.
func (t *assignmentTable) nextAttempt() uint64 {
	t.attempts++
	return t.cfg.Term<<limits.AttemptTermShift | t.attempts
}
