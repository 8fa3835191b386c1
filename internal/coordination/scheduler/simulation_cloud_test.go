package scheduler

import (
	"fmt"
	"time"

	"quillshunt/internal/protocol"
)

// maxMachinesPerRental is the most machines that the simulated cloud rents out for one request.
const maxMachinesPerRental = 4

// rentMachines executes a rental request after a random delay. The cloud either has no capacity or rents
// out new machines. A duplicate of a request that it has fulfilled returns the same machines again.
func (s *simulation) rentMachines(controller *simulatedController, request protocol.RentalRequest) {
	s.afterFunc(s.randomDuration(50*time.Millisecond, 2*time.Second), func() {
		names, alreadyRented := s.rentedMachines[request.Name]
		if !alreadyRented {
			if s.withProbability(0.2) {
				s.step(controller, RentalDone{Name: request.Name, NoCapacity: true})
				return
			}
			for range min(request.Count, maxMachinesPerRental) {
				names = append(names, s.addMachine(request).Name)
			}
			s.rentedMachines[request.Name] = names
		}
		if s.withProbability(0.1) && !s.faultFree { // the reply is lost and the request retried
			s.afterFunc(time.Second, func() { s.rentMachines(controller, request) })
			return
		}
		s.step(controller, RentalDone{Name: request.Name, Machines: names, OK: true})
	})
}

// addMachine creates a machine that begins to boot now. Some machines never finish booting, and on
// some all tasks fail.
func (s *simulation) addMachine(request protocol.RentalRequest) *simulatedMachine {
	s.machineSequence++
	name := fmt.Sprintf("m-%06d", s.machineSequence)
	machine := &simulatedMachine{
		Machine: protocol.Machine{
			Name:        name,
			Address:     name + ":1",
			MachineType: request.MachineType,
			Zone:        request.Zone,
			Spot:        request.Spot,
		},
		bootedAt:        s.now + s.randomDuration(time.Second, 15*time.Second),
		heartbeatSentAt: -1,
		incarnation:     1,
	}
	machine.leaseStartedAt, machine.nextHeartbeatAt = machine.bootedAt, machine.bootedAt
	machine.down = s.withProbability(0.05) // never boots
	machine.faulty = s.withProbability(0.08)
	s.machines[name] = machine
	return machine
}

// deleteMachines executes a deletion request after a random delay. If the deletion is not confirmed,
// either the request or only the reply was lost.
func (s *simulation) deleteMachines(controller *simulatedController, names []string) {
	s.afterFunc(s.randomDuration(50*time.Millisecond, time.Second), func() {
		if s.now < s.deletionsFailUntil {
			s.step(controller, DeletionDone{Machines: names})
			return
		}
		confirmed := !s.withProbability(0.2)
		deleted := confirmed || s.withProbability(0.5)
		for _, name := range names {
			if machine := s.machines[name]; deleted && machine != nil {
				machine.remove()
			}
		}
		s.step(controller, DeletionDone{Machines: names, Confirmed: confirmed})
	})
}

// listMachines returns the machines that exist at the time of the request. The reply arrives up to 6
// seconds later, when the list may be stale.
func (s *simulation) listMachines(controller *simulatedController) {
	var listed []protocol.Machine
	for _, name := range s.machineNames() {
		machine := s.machines[name]
		if machine.removed {
			continue
		}
		entry := machine.Machine
		entry.AgeS = 20
		entry.State = protocol.MachineRunning
		if s.now < machine.bootedAt {
			entry.State = protocol.MachineBooting
		}
		listed = append(listed, entry)
	}
	s.afterFunc(s.randomDuration(time.Second, 6*time.Second), func() {
		s.step(controller, MachinesListed{Machines: listed, OK: true})
	})
}

// fetchMachineTypes returns the machine types. This request never fails.
func (s *simulation) fetchMachineTypes(controller *simulatedController) {
	s.afterFunc(100*time.Millisecond, func() {
		s.step(controller, MachineTypesFetched{Types: s.types, OK: true})
	})
}
