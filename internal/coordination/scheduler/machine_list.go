package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// machineListReader reads the cloud's machine list at regular intervals, one read at a time.
type machineListReader struct {
	*environment
	nextReadAt time.Duration
	inFlight   bool
}

// newMachineListReader returns a reader whose first read is due at once.
func newMachineListReader(env *environment) *machineListReader {
	return &machineListReader{environment: env}
}

// requestRead makes the next call of readIfDue read the list, unless a read is in flight.
func (r *machineListReader) requestRead() { r.nextReadAt = 0 }

// readIfDue starts a read of the list if one is due and none is in flight.
func (r *machineListReader) readIfDue() {
	if r.now < r.nextReadAt || r.inFlight {
		return
	}
	r.inFlight = true
	r.emit(ListMachines{})
}

// handleReadDone records the outcome of a read and schedules the next one, sooner if it failed.
func (r *machineListReader) handleReadDone(ok bool) {
	r.inFlight = false
	r.nextReadAt = r.now + limits.MachineListInterval
	if !ok {
		r.nextReadAt = r.now + limits.CloudRetryInterval
	}
}

// handleMachinesListed handles the outcome of ListMachines and reconciles the inventory with the cloud's list.
func (s *Scheduler) handleMachinesListed(e MachinesListed) {
	s.machineList.handleReadDone(e.OK)
	if !e.OK {
		return
	}
	listed := make(map[string]bool, len(e.Machines))
	for i := range e.Machines {
		entry := &e.Machines[i]
		listed[entry.Name] = true
		if !s.inventory.isDeleted(entry.Name) {
			s.reconcileListedMachine(entry)
		}
	}
	for _, m := range s.inventory.all() {
		if listed[m.name] {
			m.missingLists = 0
			continue
		}
		s.reconcileUnlistedMachine(m)
	}
}

// reconcileListedMachine updates a machine from its entry in the cloud's list. A machine that is not in
// the inventory is adopted if shouldAdoptListed allows it.
func (s *Scheduler) reconcileListedMachine(entry *protocol.Machine) {
	m := s.inventory.find(entry.Name)
	if m == nil {
		if !s.shouldAdoptListed(entry) {
			return
		}
		m = s.inventory.getOrAdd(entry.Name, machinePool{entry.MachineType, entry.Zone, entry.Spot})
		m.createdAt = s.now - limits.Seconds(entry.AgeS)
		s.rentals.adopt(m)
	}
	if !m.listed {
		m.createdAt = min(m.createdAt, s.now-limits.Seconds(entry.AgeS))
	}
	m.listed = true
	if m.address == "" {
		m.address = entry.Address
	}
	if entry.State == protocol.MachineFailed {
		s.returnMachine(m, "failed")
	}
}

// shouldAdoptListed reports whether to adopt a machine that is in the cloud's list but in no record and
// has sent no heartbeat. Until the leases of earlier terms have expired, such a machine is adopted in any
// state, and later only while it is running.
func (s *Scheduler) shouldAdoptListed(entry *protocol.Machine) bool {
	if entry.AgeS < (3 * s.cfg.ListLag).Seconds() {
		return false // it may belong to a rental of this term whose reply has not arrived yet
	}
	earlierLeasesOver := s.now >= s.termStartedAt+limits.LeaseExpiredAfter(s.workerLease)
	return !earlierLeasesOver || entry.State == protocol.MachineRunning
}

// reconcileUnlistedMachine handles a machine that is missing from the cloud's list. The machine is
// returned if it probably no longer exists.
func (s *Scheduler) reconcileUnlistedMachine(m *machine) {
	if !s.recovery.hasEnded() && m.isUnreported() {
		// It sent heartbeats to an earlier leader, so it has been in the list before or is very new.
		// A confirmed deletion is the fastest way to establish that no task runs on it.
		s.returnMachine(m, "not listed since the failover")
		return
	}
	if !m.listed {
		return // it may be too new to appear in the list
	}
	// It has been listed before, so it no longer exists unless this list is outdated. A confirmed
	// deletion makes this certain.
	m.missingLists++
	if m.missingLists >= limits.MissingListsBeforeDelete && s.isStale(m) {
		s.returnMachine(m, "no longer listed")
	}
}
