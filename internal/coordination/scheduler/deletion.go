package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// returnMachine returns a machine to the cloud. There is no way back from that, as the request may be
// carried out at any time.
func (s *Scheduler) returnMachine(m *machine, reason string) {
	if m.deleting {
		return
	}
	m.deleting, m.deleteReason = true, reason
	m.deletionInFlight, m.nextDeletionAt = false, s.now
	s.logInfo("returning", keyMachine, m.name, keyReason, reason, keyTasks, len(m.assignments))
	s.assignments.releaseUnsent(m)
}

// isDeletionDue reports whether the cloud is to be asked now to delete the machine.
func (m *machine) isDeletionDue(now time.Duration) bool {
	return m.deleting && !m.deletionInFlight && now >= m.nextDeletionAt
}

// deletionDone handles the answer to DeleteMachines. Machines whose deletion is not confirmed stay,
// with their tasks, and are deleted again.
func (s *Scheduler) deletionDone(e DeletionDone) {
	for _, name := range e.Machines {
		m := s.inventory.find(name)
		switch {
		case m == nil:
		case e.OK:
			s.removeMachine(m)
		default:
			m.deletionInFlight, m.nextDeletionAt = false, s.now+limits.CloudRetryInterval
		}
	}
	s.placement.requestPass()
	s.rentals.reconcileAll()
}

// forgetMachine removes a machine that is gone, with everything on it.
func (s *Scheduler) removeMachine(m *machine) {
	s.assignments.releaseAll(m)
	s.inventory.remove(m)
	s.registry.remove(m)
	s.rentals.removeMachine(m)
}
