package scheduler

import (
	"fmt"
	"strings"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// simulatedController is the controller that is the leader in one term. It may keep running after its leader
// lease has expired.
type simulatedController struct {
	term          uint64
	scheduler     *Scheduler
	startedAt     time.Duration
	entitledUntil time.Duration // when its leader lease expires
	stopped       bool
	stopsAt       time.Duration // when it observes that its leader lease has expired, and stops
}

// farFuture is later than the end of every scenario.
const farFuture = 10 * time.Hour

// firstFencingTokens is the number of fencing tokens that an election reserves. There are few, so that the leaders have
// to reserve more.
const firstFencingTokens = 3

// reserveTerm sets the number of a new term, which is above all fencing tokens that are reserved.
func (s *simulation) reserveTerm() {
	var last storage.TermRecord
	if record, ok := s.records[storage.KeyTerm]; ok {
		s.must(protocol.Decode(record.value, &last))
	}
	s.term = last.Term + 1
	s.revision++
	reserved := storage.TermRecord{Term: s.term + firstFencingTokens - 1}
	s.records[storage.KeyTerm] = storedRecord{s.revision, protocol.Encode(reserved)}
}

// schedulerConfig returns the configuration of the scheduler in the current term.
func (s *simulation) schedulerConfig() Config {
	return Config{
		LastFencingToken: s.term + firstFencingTokens - 1,
		TermKeyVersion:   s.records[storage.KeyTerm].version,

		Term:    s.term,
		Teams:   s.teams,
		Workers: s.workerTimes,
		State:   config.StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		ListLag: 3 * time.Second,
		Options: config.DefaultOptions(),
	}
}

// electLeader starts a new term. The leader leases of all earlier leaders expire. Each of these leaders stops
// now, or keeps running for up to 8 seconds until it observes that its lease has expired.
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
	s.reserveTerm()
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

// loadState passes all records that a leader loads to the scheduler of a new leader.
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

// stepJobChanged passes the current record of a job to a controller's scheduler.
func (s *simulation) stepJobChanged(controller *simulatedController, key string) {
	var job storage.OpenJob
	s.must(protocol.Decode(s.records[key].value, &job))
	id := strings.TrimPrefix(key, storage.PrefixOpenJob)
	event := JobChanged{JobID: id, Version: s.records[key].version, Record: job}
	if job.Cancelled {
		event.SinceCancellation = s.now - time.Duration(job.CancelledAtMs)*time.Millisecond
		event.MinSinceCancellation = event.SinceCancellation
	}
	s.step(controller, event)
}

// step passes an event to a controller's scheduler and executes the resulting effects. It does nothing if
// the controller has stopped.
func (s *simulation) step(controller *simulatedController, event Event) {
	if controller.stopped {
		return
	}
	for _, effect := range controller.scheduler.Step(event, s.now-controller.startedAt) {
		s.executeEffect(controller, effect)
	}
}

// isEntitled reports whether a controller's leader lease is still valid. Quorum leases are not simulated.
func (s *simulation) isEntitled(controller *simulatedController) bool {
	return s.now < controller.entitledUntil
}

// tickLeaders sends a Tick to the leader and to earlier leaders that are still running. It stops earlier
// leaders that now observe that their leader lease has expired.
func (s *simulation) tickLeaders() {
	for _, controller := range s.leaders {
		if !controller.stopped && s.now >= controller.stopsAt {
			controller.stopped = true
		}
		s.step(controller, Tick{Entitled: s.isEntitled(controller)})
	}
}

// executeEffect executes an effect of a controller's scheduler.
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
		reply(&protocol.HeartbeatReply{FencingToken: effect.FencingToken, Commands: effect.Commands})
	case AttemptRestarted:
		s.t.Fatalf("at %v: attempt runs again after its end: %+v", s.now, effect)
	case SendDirectCommands:
		s.sendDirectCommands(controller, effect)
	case ProbeMachine:
		s.probeMachine(controller, effect)
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
