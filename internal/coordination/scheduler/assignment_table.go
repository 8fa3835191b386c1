package scheduler

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// assignmentTable assigns tasks to machines and releases them. The assignments themselves are stored in
// their jobs and machines.
type assignmentTable struct {
	*environment
	dispatcher *commandDispatcher
	placement  *placer
	gangs      *gangTable
	attempts   uint64 // number of attempts in this term; the low part of the last attempt number
}

// newAssignmentTable returns a table that has assigned nothing yet.
func newAssignmentTable(
	env *environment, dispatcher *commandDispatcher, placement *placer, gangs *gangTable,
) *assignmentTable {
	return &assignmentTable{environment: env, dispatcher: dispatcher, placement: placement, gangs: gangs}
}

// assign assigns a task to the current incarnation of a machine's worker.
func (t *assignmentTable) assign(
	j *job, index int, m *machine, attempt uint64, state assignmentState,
) *assignment {
	a := &assignment{
		job:        j,
		index:      index,
		taskName:   protocol.TaskName(j.id, index),
		attempt:    attempt,
		machine:    m,
		zone:       m.zone,
		state:      state,
		assignedAt: t.now,
	}
	j.addAssignment(a)
	m.addAssignment(a)
	t.placement.handleResourcesChanged(m)
	t.gangs.markChanged(j.gang)
	t.dispatcher.enqueue(m)
	return a
}

// release ends an assignment, so that the task can be placed again. The caller must have evidence that
// the task neither runs on the machine nor can start there any more: it has ended or was never started
// and no start of this attempt is in flight, the worker's incarnation has ended, or the machine is deleted.
func (t *assignmentTable) release(a *assignment) {
	if a.machine.assignments[a.taskName] != a {
		return // already released together with its gang, earlier in the caller's loop
	}
	t.gangs.handleTaskLost(a)
	a.job.removeAssignment(a)
	a.machine.removeAssignment(a, t.now)
	t.placement.handleResourcesChanged(a.machine)
	t.placement.requestPass()
	t.gangs.requestCommit()
}

// releaseAll releases all tasks of a machine that certainly runs none of them any more.
func (t *assignmentTable) releaseAll(m *machine) {
	for _, a := range m.sortedAssignments() {
		t.release(a)
	}
}

// releaseUnsent releases those tasks of a machine whose start command was not sent yet, and returns their
// number.
func (t *assignmentTable) releaseUnsent(m *machine) (released int) {
	for _, a := range m.sortedAssignments() {
		if a.state == stateUnsent {
			t.release(a)
			released++
		}
	}
	return released
}

// withdraw removes a task from its machine. If its start was not sent yet, the task is released at
// once; otherwise the worker is instructed to stop it.
func (t *assignmentTable) withdraw(a *assignment, reason string) {
	if a.state == stateUnsent {
		t.release(a)
		return
	}
	t.stop(a, reason)
}

// withdrawAll removes all tasks of a job from their machines.
func (t *assignmentTable) withdrawAll(j *job, reason string) {
	for _, a := range j.sortedAssignments() {
		t.withdraw(a, reason)
	}
}

// stop queues a stop command for a task. The task stays assigned until there is evidence that it has
// ended.
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
	t.placement.handleResourcesChanged(a.machine)
	t.logInfo("stopping task", keyJob, a.job.id, keyTask, a.index, keyAttempt, a.attempt,
		keyMachine, a.machine.name, keyReason, reason)
}

// nextAttempt returns a new attempt number. Attempt numbers increase across leaders, because the term
// is their high part.
func (t *assignmentTable) nextAttempt() uint64 {
	t.attempts++
	return t.cfg.Term<<limits.AttemptTermShift | t.attempts
}
