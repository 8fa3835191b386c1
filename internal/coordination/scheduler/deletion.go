package scheduler

// returnMachine returns a machine to the cloud. Once asked, there is no way back, as the request
// may be carried out at any time.
func (s *Scheduler) returnMachine(m *machine, reason string) {
	if m.deleting {
		return
	}
	m.deleting, m.deleteReason, m.deleteRequestedAt = true, reason, -never/2
	s.logInfo("returning", "machine", m.name, "reason", reason, "tasks", len(m.assignments))
	s.releaseUnsent(m)
}

func (s *Scheduler) deletionDone(e DeletionDone) {
	for _, name := range e.Machines {
		m := s.inventory.find(name)
		if m == nil {
			continue
		}
		if !e.OK {
			m.deleteRequestedAt = s.now
			continue
		}
		// The machine and everything on it are gone.
		for _, a := range m.sortedAssignments() {
			s.release(a)
		}
		s.inventory.remove(m)
		s.unregister(m)
		s.removeFromRental(m)
	}
	s.placement.requestPass()
	for _, r := range s.sortedRentals() {
		s.reconcileRental(r)
	}
}
