package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// machineListReader reads the cloud's list of machines from time to time, one read at a time.
type machineListReader struct {
	*environment
	nextAt   time.Duration
	inFlight bool
}

// newMachineListReader returns a reader that has not read a list yet.
func newMachineListReader(env *environment) *machineListReader {
	return &machineListReader{environment: env}
}

// readNow makes the next readIfDue read the list, unless a read is under way.
func (r *machineListReader) requestRead() { r.nextAt = 0 }

// readIfDue reads the list if the last one is old and no read is under way.
func (r *machineListReader) readIfDue() {
	if r.now < r.nextAt || r.inFlight {
		return
	}
	r.inFlight = true
	r.emit(ListMachines{})
}

// readDone notes that a read is over; after a failure the next one follows soon.
func (r *machineListReader) readDone(ok bool) {
	r.inFlight = false
	r.nextAt = r.now + limits.MachineListInterval
	if !ok {
		r.nextAt = r.now + limits.CloudRetryInterval
	}
}

// machinesListed handles the answer to ListMachines: it brings the inventory in line with the
// cloud's list.
func (s *Scheduler) machinesListed(e MachinesListed) {
	s.cloudList.readDone(e.OK)
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

// reconcileListedMachine brings a machine in line with its entry in the list.
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

// shouldAdoptListed reports whether a machine that the cloud lists and nobody else has named is
// ours to look after.
func (s *Scheduler) shouldAdoptListed(entry *protocol.Machine) bool {
	if entry.AgeS < (3 * s.cfg.ListLag).Seconds() {
		return false // the answer to a rental of ours may be on its way
	}
	earlierLeasesOver := s.now >= s.termStartedAt+limits.LeaseExpiredAfter(s.workerLease)
	return !earlierLeasesOver || entry.State == protocol.MachineRunning
}

// reconcileUnlistedMachine returns a machine that the list lacks, if that shows that it is gone.
func (s *Scheduler) reconcileUnlistedMachine(m *machine) {
	if !s.recovery.hasEnded() && m.isUnreported() {
		// It sent heartbeats to an earlier leader, so it was listed once or is very new. Its
		// deletion is the quickest evidence that nothing runs there.
		s.returnMachine(m, "not listed since the failover")
		return
	}
	if !m.listed {
		return // it may be too new for the list
	}
	// It was listed before: gone, unless this list is an old one. Deleting it makes sure.
	m.missingLists++
	if m.missingLists >= limits.MissingListsBeforeDelete && s.isStale(m) {
		s.returnMachine(m, "no longer listed")
	}
}
