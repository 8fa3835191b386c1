package scheduler

import (
	"fmt"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

type simulatedController struct {
	term          uint64
	scheduler     *Scheduler
	startedAt     time.Duration
	entitledUntil time.Duration // its lease as leader ends
	dead          bool
	stopsAt       time.Duration // it runs on until then without knowing that its lease is over
}

func (s *simulation) settings() Config {
	return Config{Term: s.term, Teams: s.teams, Workers: s.workers,
		State: config.State{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8}, ListLag: 3 * time.Second, Options: config.DefaultOptions()}
}

// electLeader starts a new term. The lease of the leader before has expired, but that one may run on
// for a while without knowing.
func (s *simulation) electLeader() {
	for _, controller := range s.leaders {
		if !controller.dead {
			controller.entitledUntil = min(controller.entitledUntil, s.now)
			controller.stopsAt = min(controller.stopsAt, s.now+s.between(0, 8*time.Second))
			if s.chance(0.6) {
				controller.dead = true
			}
		}
	}
	s.term++
	controller := &simulatedController{term: s.term, scheduler: New(s.settings(), 0), startedAt: s.now, entitledUntil: time.Hour * 10, stopsAt: time.Hour * 10}
	s.leaders = append(s.leaders, controller)
	for _, key := range s.sortedKeys("open/") {
		s.stepJobChanged(controller, key)
	}
	for _, key := range s.sortedKeys("fin/") {
		var finished storage.FinishedTasks
		s.must(protocol.Decode(s.records[key].value, &finished))
		id, _, _ := storage.ParseFinishedTasksKey(key)
		s.step(controller, FinishedTasksLoaded{JobID: id, Version: s.records[key].version, Record: finished})
	}
	for _, key := range s.sortedKeys("hire/") {
		var rental storage.Rental
		s.must(protocol.Decode(s.records[key].value, &rental))
		s.step(controller, RentalLoaded{Name: key[len("hire/"):], Version: s.records[key].version, Record: rental})
	}
	for _, key := range s.sortedKeys("up/") {
		var page storage.RegistryPage
		s.must(protocol.Decode(s.records[key].value, &page))
		s.step(controller, RegistryPageLoaded{Name: key[len("up/"):], Version: s.records[key].version, Record: page})
	}
	s.step(controller, StateLoaded{})
}

func (s *simulation) stepJobChanged(controller *simulatedController, key string) {
	var job storage.OpenJob
	s.must(protocol.Decode(s.records[key].value, &job))
	event := JobChanged{JobID: key[len("open/"):], Version: s.records[key].version, Record: job}
	if job.Cancelled {
		event.SinceCancellation = s.now - time.Duration(job.CancelledAtMs)*time.Millisecond
	}
	s.step(controller, event)
}

func (s *simulation) step(controller *simulatedController, event Event) {
	if controller.dead {
		return
	}
	for _, effect := range controller.scheduler.Step(event, s.now-controller.startedAt) {
		s.perform(controller, effect)
	}
}

func (s *simulation) perform(controller *simulatedController, effect Effect) {
	if s.trace {
		fmt.Printf("%v term %d: %T %+v\n", s.now, controller.term, effect, effect)
	}
	entitled := s.now < controller.entitledUntil
	switch effect := effect.(type) {
	case HeartbeatReply:
		reply := effect.ReplyTo.(func(*protocol.HeartbeatReply))
		if !effect.Accepted || !entitled {
			reply(nil)
			return
		}
		reply(&protocol.HeartbeatReply{FencingToken: controller.term, Commands: effect.Commands})
	case SendDirectCommands:
		s.sendDirectCommands(controller, effect)
	case ProbeMachine:
		machine := s.machines[effect.Machine]
		if machine == nil || machine.removed || s.now < machine.hungUntil || s.now < machine.partitionedUntil || s.now < machine.unreachableUntil || s.now < machine.bootedAt {
			return
		}
		if delay, ok := s.transit(machine); ok && delay < time.Second && controller.term >= machine.fencingToken {
			machine.fencingToken = controller.term
			heartbeat := s.heartbeat(machine)
			s.after(delay, func() { s.step(controller, ProbeDone{Machine: effect.Machine, Heartbeat: heartbeat}) })
		}
	case WriteRecords:
		s.after(s.between(5*time.Millisecond, 300*time.Millisecond), func() { s.executeWrite(controller, effect) })
	case RentMachines:
		s.rentMachines(controller, effect.Request)
	case DeleteMachines:
		s.after(s.between(50*time.Millisecond, time.Second), func() {
			ok := !s.chance(0.2) // else the answer is lost, or the request
			done := ok || s.chance(0.5)
			for _, name := range effect.Machines {
				if !done {
					break
				}
				if machine := s.machines[name]; machine != nil {
					machine.removed = true
					machine.tasks = nil
				}
			}
			s.step(controller, DeletionDone{Machines: effect.Machines, OK: ok})
		})
	case ListMachines:
		var list []protocol.Machine
		for _, name := range s.machineNames() {
			machine := s.machines[name]
			if !machine.removed {
				x := machine.Machine
				x.State = protocol.MachineRunning
				if s.now < machine.bootedAt {
					x.State = protocol.MachineBooting
				}
				x.AgeS = 20
				list = append(list, x)
			}
		}
		s.after(s.between(time.Second, 6*time.Second), func() { s.step(controller, MachinesListed{Machines: list, OK: true}) })
	case FetchMachineTypes:
		s.after(100*time.Millisecond, func() { s.step(controller, MachineTypesFetched{Types: s.types, OK: true}) })
	}
}
