package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// returnMachine marks a machine for deletion by the cloud. This is never reversed, because a deletion
// request that was sent may be executed at any time.
func (s *Scheduler) returnMachine(m *machine, reason string) {
	if m.deleting {
		return
	}
	m.deleting, m.deleteReason = true, reason
	m.deletionInFlight, m.nextDeletionAt = false, s.now
	s.logInfo("returning machine", keyMachine, m.name, keyReason, reason, keyTasks, len(m.assignments))
	s.assignments.releaseUnsent(m)
}

// isDeletionDue reports whether to send a deletion request for the machine to the cloud now.
func (m *machine) isDeletionDue(now time.Duration) bool {
	return m.deleting && !m.deletionInFlight && now >= m.nextDeletionAt
}

// handleDeletionDone handles the outcome of DeleteMachines. Machines whose deletion is not confirmed stay in the
// inventory with their tasks, and the deletion is retried after CloudRetryInterval.
func (s *Scheduler) handleDeletionDone(e DeletionDone) {
	for _, name := range e.Machines {
		m := s.inventory.find(name)
		switch {
		case m == nil:
		case e.Confirmed:
			s.removeMachine(m)
		default:
			m.deletionInFlight, m.nextDeletionAt = false, s.now+limits.CloudRetryInterval
		}
	}
	s.placement.requestPass()
	s.rentals.reconcileAll()
}

// removeMachine removes a machine whose deletion is confirmed, and releases its tasks.
func (s *Scheduler) removeMachine(m *machine) {
	s.assignments.releaseAll(m)
	s.inventory.remove(m)
	s.registry.remove(m)
	s.rentals.removeMachine(m)
}
