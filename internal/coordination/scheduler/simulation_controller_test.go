package scheduler

import (
	"fmt"
	"strings"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// simulatedController is a controller in a term in which it leads.
type simulatedController struct {
	term          uint64
	scheduler     *Scheduler
	startedAt     time.Duration
	entitledUntil time.Duration // its lease as leader ends
	dead          bool
	stopsAt       time.Duration // it runs on until then without knowing that its lease is over
}

// neverEnds is a time after the end of every simulated day.
const neverEnds = 10 * time.Hour

func (s *simulation) settings() Config {
	return Config{
		Term:    s.term,
		Teams:   s.teams,
		Workers: s.workers,
		State:   config.StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		ListLag: 3 * time.Second,
		Options: config.DefaultOptions(),
	}
}

// electLeader starts a new term. The lease of the leader before has expired, but that one may run on
// for a while without knowing.
func (s *simulation) electLeader() {
	for _, controller := range s.leaders {
		if controller.dead {
			continue
		}
		controller.entitledUntil = min(controller.entitledUntil, s.now)
		controller.stopsAt = min(controller.stopsAt, s.now+s.between(0, 8*time.Second))
		if s.chance(0.6) {
			controller.dead = true
		}
	}
	s.term++
	controller := &simulatedController{
		term:          s.term,
		scheduler:     New(s.settings(), 0),
		startedAt:     s.now,
		entitledUntil: neverEnds,
		stopsAt:       neverEnds,
	}
	s.leaders = append(s.leaders, controller)
	s.loadState(controller)
}

// loadState gives a new leader all that earlier ones wrote down.
func (s *simulation) loadState(controller *simulatedController) {
	for _, key := range s.sortedKeys(storage.PrefixOpenJob) {
		s.stepJobChanged(controller, key)
	}
	for _, key := range s.sortedKeys(storage.PrefixFinishedTasks) {
		id, _, _ := storage.ParseFinishedTasksKey(key)
		event := FinishedTasksLoaded{JobID: id, Version: s.records[key].version}
		s.must(protocol.Decode(s.records[key].value, &event.Record))
		s.step(controller, event)
	}
	for _, key := range s.sortedKeys(storage.PrefixRental) {
		event := RentalLoaded{Name: strings.TrimPrefix(key, storage.PrefixRental), Version: s.records[key].version}
		s.must(protocol.Decode(s.records[key].value, &event.Record))
		s.step(controller, event)
	}
	for _, key := range s.sortedKeys(storage.PrefixRegistryPage) {
		name := strings.TrimPrefix(key, storage.PrefixRegistryPage)
		event := RegistryPageLoaded{Name: name, Version: s.records[key].version}
		s.must(protocol.Decode(s.records[key].value, &event.Record))
		s.step(controller, event)
	}
	s.step(controller, StateLoaded{})
}

// stepJobChanged tells a controller of a job's record.
func (s *simulation) stepJobChanged(controller *simulatedController, key string) {
	var job storage.OpenJob
	s.must(protocol.Decode(s.records[key].value, &job))
	id := strings.TrimPrefix(key, storage.PrefixOpenJob)
	event := JobChanged{JobID: id, Version: s.records[key].version, Record: job}
	if job.Cancelled {
		event.SinceCancellation = s.now - time.Duration(job.CancelledAtMs)*time.Millisecond
	}
	s.step(controller, event)
}

// step gives an event to a controller's scheduler and carries out the effects.
func (s *simulation) step(controller *simulatedController, event Event) {
	if controller.dead {
		return
	}
	for _, effect := range controller.scheduler.Step(event, s.now-controller.startedAt) {
		s.perform(controller, effect)
	}
}

// entitled reports whether a controller may still act as the leader.
func (s *simulation) entitled(controller *simulatedController) bool {
	return s.now < controller.entitledUntil
}

// tickLeaders gives all controllers that lead, or believe so, their regular event.
func (s *simulation) tickLeaders() {
	for _, controller := range s.leaders {
		if !controller.dead && s.now >= controller.stopsAt {
			controller.dead = true
		}
		s.step(controller, Tick{Entitled: s.entitled(controller)})
	}
}

// perform carries out an effect of a controller's scheduler.
func (s *simulation) perform(controller *simulatedController, effect Effect) {
	if s.trace {
		fmt.Printf("%v term %d: %T %+v\n", s.now, controller.term, effect, effect)
	}
	switch effect := effect.(type) {
	case HeartbeatReply:
		reply := effect.ReplyTo.(responderFunc)
		if !effect.Accepted || !s.entitled(controller) {
			reply(nil)
			return
		}
		reply(&protocol.HeartbeatReply{FencingToken: controller.term, Commands: effect.Commands})
	case SendDirectCommands:
		s.sendDirectCommands(controller, effect)
	case ProbeMachine:
		s.probe(controller, effect.Machine)
	case WriteRecords:
		s.after(s.between(5*time.Millisecond, 300*time.Millisecond), func() { s.executeWrite(controller, effect) })
	case RentMachines:
		s.rentMachines(controller, effect.Request)
	case DeleteMachines:
		s.deleteMachines(controller, effect.Machines)
	case ListMachines:
		s.listMachines(controller)
	case FetchMachineTypes:
		s.fetchMachineTypes(controller)
	}
}
