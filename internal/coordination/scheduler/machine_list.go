package scheduler

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

func (s *Scheduler) machinesListed(e MachinesListed) {
	s.cloudList.inFlight = false
	if !e.OK {
		s.cloudList.nextAt = s.now + limits.CloudRetryInterval
		return
	}
	s.cloudList.nextAt = s.now + limits.MachineListInterval
	listed := make(map[string]bool, len(e.Machines))
	for i := range e.Machines {
		entry := &e.Machines[i]
		listed[entry.Name] = true
		if s.inventory.deleted[entry.Name] {
			continue
		}
		m := s.inventory.byName[entry.Name]
		if m == nil {
			if entry.AgeS < (3 * s.cfg.ListLag).Seconds() {
				continue // perhaps the answer to a rental of ours is on its way
			}
			if s.now >= s.termStartedAt+limits.LeaseSurelyOver(s.workerLease) && entry.State != protocol.MachineRunning {
				continue
			}
			m = s.getOrAddMachine(entry.Name, entry.MachineType, entry.Zone, entry.Spot)
			m.createdAt = s.now - limits.Seconds(entry.AgeS)
			s.adoptMachine(m)
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
	for _, m := range s.inventory.sorted {
		if !s.recovery.ended && !m.hasReported && m.registration != unregistered && !listed[m.name] {
			// It reported to an earlier leader, so it was listed once or is very new. Its deletion
			// is the quickest evidence that nothing runs there.
			s.returnMachine(m, "not listed after the take-over")
			continue
		}
		if listed[m.name] || !m.listed {
			m.missingLists = 0
			continue
		}
		// It was listed and is no more: gone, unless this list is an old one. Deleting it makes sure.
		if m.missingLists++; m.missingLists >= limits.MissingListsBeforeDelete && s.now > m.lastHeartbeatAt+s.staleAfter() {
			s.returnMachine(m, "no longer listed")
		}
	}
}

// machineListReader reads the cloud's list of machines from time to time.
type machineListReader struct {
	*environment
	nextAt   time.Duration
	inFlight bool
}

// newMachineListReader returns a reader that has not read a list yet.
func newMachineListReader(env *environment) *machineListReader {
	return &machineListReader{environment: env}
}
