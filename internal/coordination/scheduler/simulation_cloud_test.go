package scheduler

import (
	"fmt"
	"time"

	"quillshunt/internal/protocol"
)

func (s *simulation) rentMachines(controller *simulatedController, request protocol.RentalRequest) {
	s.after(s.between(50*time.Millisecond, 2*time.Second), func() {
		names, known := s.rentals[request.Name]
		if !known {
			if s.chance(0.2) {
				s.step(controller, RentalDone{Name: request.Name, NoCapacity: true})
				return
			}
			for range min(request.Count, 4) {
				s.machineSequence++
				name := fmt.Sprintf("m-%06d", s.machineSequence)
				names = append(names, name)
				machine := &simulatedMachine{Machine: protocol.Machine{Name: name, Address: name + ":1", MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot},
					bootedAt: s.now + s.between(time.Second, 15*time.Second), heartbeatSentAt: -1}
				machine.dead = s.chance(0.05)
				machine.faulty = s.chance(0.08)
				machine.leaseStartedAt, machine.incarnation, machine.nextHeartbeatAt = machine.bootedAt, 1, machine.bootedAt
				s.machines[name] = machine
			}
			s.rentals[request.Name] = names
		}
		if s.chance(0.1) && !s.faultFree { // the answer is lost; the request is repeated
			s.after(time.Second, func() { s.rentMachines(controller, request) })
			return
		}
		s.step(controller, RentalDone{Name: request.Name, Machines: names, OK: true})
	})
}
