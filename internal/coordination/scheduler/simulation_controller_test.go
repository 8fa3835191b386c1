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
	stopped       bool
	stopsAt       time.Duration // it runs on until then without knowing that its lease is over
}

// neverEnds is a time after the end of every simulated day.
const farFuture = 10 * time.Hour

func (s *simulation) schedulerConfig() Config {
	return Config{
		Term:    s.term,
		Teams:   s.teams,
		Workers: s.workerTimes,
		State:   config.State{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		ListLag: 3 * time.Second,
		Options: config.DefaultOptions(),
	}
}

// electLeader starts a new term. The lease of the leader before has expired, but that one may run on
// for a while without knowing.
func (s *simulation) electLeader() {
	for _, controller := range s.leaders {
		if controller.stopped {
			continue
		}
		controller.entitledUntil = min(controller.entitledUntil, s.now)
		controller.stopsAt = min(controller.stopsAt, s.now+s.randomDuration(0, 8*time.Second))
		if s.withProbability(0.6) {
			controller.stopped = true
		}
	}
	s.term++
	controller := &simulatedController{
		term:          s.term,
		scheduler:     New(s.schedulerConfig(), 0),
		startedAt:     s.now,
		entitledUntil: farFuture,
		stopsAt:       farFuture,
	}
	s.leaders = append(s.leaders, controller)
	s.loadState(controller)
}

// loadState gives a new leader all that earlier ones wrote down.
func (s *simulation) loadState(controller *simulatedController) {
	for _, key := range s.sortedKeysWithPrefix(storage.PrefixOpenJob) {
		s.stepJobChanged(controller, key)
	}
	for _, key := range s.sortedKeysWithPrefix(storage.PrefixFinishedTasks) {
		id, _, _ := storage.ParseFinishedTasksKey(key)
		event := FinishedTasksLoaded{JobID: id, Version: s.records[key].version}
		s.must(protocol.Decode(s.records[key].value, &event.Record))
		s.step(controller, event)
	}
	for _, key := range s.sortedKeysWithPrefix(storage.PrefixRental) {
		event := RentalLoaded{Name: strings.TrimPrefix(key, storage.PrefixRental), Version: s.records[key].version}
		s.must(protocol.Decode(s.records[key].value, &event.Record))
		s.step(controller, event)
	}
	for _, key := range s.sortedKeysWithPrefix(storage.PrefixRegistryPage) {
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
	if controller.stopped {
		return
	}
	for _, effect := range controller.scheduler.Step(event, s.now-controller.startedAt) {
		s.executeEffect(controller, effect)
	}
}

// entitled reports whether a controller may still act as the leader.
func (s *simulation) isEntitled(controller *simulatedController) bool {
	return s.now < controller.entitledUntil
}

// tickLeaders gives all controllers that lead, or believe so, their regular event.
func (s *simulation) tickLeaders() {
	for _, controller := range s.leaders {
		if !controller.stopped && s.now >= controller.stopsAt {
			controller.stopped = true
		}
		s.step(controller, Tick{Entitled: s.isEntitled(controller)})
	}
}

// perform carries out an effect of a controller's scheduler.
func (s *simulation) executeEffect(controller *simulatedController, effect Effect) {
	if s.trace {
		fmt.Printf("%v term %d: %T %+v\n", s.now, controller.term, effect, effect)
	}
	switch effect := effect.(type) {
	case HeartbeatReply:
		reply := effect.ReplyTo.(responderFunc)
		if !effect.Accepted || !s.isEntitled(controller) {
			reply(nil)
			return
		}
		reply(&protocol.HeartbeatReply{FencingToken: controller.term, Commands: effect.Commands})
	case SendDirectCommands:
		s.sendDirectCommands(controller, effect)
	case ProbeMachine:
		s.probeMachine(controller, effect.Machine)
	case WriteRecords:
		s.afterFunc(s.randomDuration(5*time.Millisecond, 300*time.Millisecond), func() {
			s.executeWrite(controller, effect)
		})
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
