package scheduler

import (
	"math/rand/v2"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// simulation is a small model of everything around the scheduler: workers, the cloud, the state
// service, and a network that loses, delays and repeats messages. It checks the protocol's rules as
// they can be observed from outside. All of it is driven by one source of random numbers, so a seed
// stands for one course of events: the order of the draws must not change.
type simulation struct {
	t      interface{ Fatalf(string, ...any) }
	random *rand.Rand
	now    time.Duration

	faultFree         bool // no more faults
	trace             bool // print all effects
	records           map[string]storedRecord
	revision          uint64
	term              uint64
	leaders           []*simulatedController // of all terms, the newest last
	machines          map[string]*simulatedMachine
	machineSequence   int
	rentedMachines    map[string][]string // machines that were given for each request
	types             []protocol.MachineType
	teams             []config.Team
	workerTimes       config.Workers
	jobs              map[string]*simulatedJob
	jobSequence       int
	scheduledCalls    []scheduledCall // in the order in which they were asked for
	alwaysFailingJobs map[string]bool // jobs whose tasks fail on every machine
	gangAttempts      map[string]*simulatedGangAttempt
	gangEvents        *gangEventCounts // shared by all days of a test
}

// chance reports whether something happens that has this probability.
func (s *simulation) withProbability(p float64) bool { return s.random.Float64() < p }

// between returns a random duration; both bounds are included.
func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

func newSimulation(t interface{ Fatalf(string, ...any) }, seed uint64) *simulation {
	return &simulation{
		t:                 t,
		random:            rand.New(rand.NewPCG(seed, 7)),
		records:           map[string]storedRecord{},
		machines:          map[string]*simulatedMachine{},
		rentedMachines:    map[string][]string{},
		jobs:              map[string]*simulatedJob{},
		alwaysFailingJobs: map[string]bool{},
		gangAttempts:      map[string]*simulatedGangAttempt{},
		gangEvents:        &gangEventCounts{},
		teams: []config.Team{
			{Name: "red", CPUs: 12, CPUsMax: 32},
			{Name: "blue", CPUs: 12, CPUsMax: 20},
		},
		workerTimes: config.Workers{
			ReportS: 2, LeaseS: 14, CancelS: 34, GangWaitS: seconds(20), GangPeerS: seconds(4),
		},
		types: []protocol.MachineType{{
			Name: "s4", CPUs: 4, MemoryGB: 16, FetchGBPerS: 1,
			Price: 1, SpotPrice: 0.4, BootS: 8, Zones: []string{"a", "b"},
		}, {
			Name: "b8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1,
			Price: 2, SpotPrice: 0.8, BootS: 12, Zones: []string{"a", "b"},
		}},
	}
}

// seconds returns an optional setting.
func seconds(v float64) *float64 { return &v }

func (s *simulation) must(err error) {
	if err != nil {
		s.t.Fatalf("%v", err)
	}
}

const (
	simulationStep = 50 * time.Millisecond
	tickInterval   = 500 * time.Millisecond // of a leader's regular events
)

// advance moves all parts of the simulation on by a step of time.
func (s *simulation) advance() {
	s.now += simulationStep
	s.runDueCalls()
	for _, name := range s.machineNames() {
		machine := s.machines[name]
		s.advanceMachine(machine)
		if s.now%time.Second == 0 {
			s.checkCancelledTasks(machine)
		}
	}
	s.advanceGangs()
	if s.now%tickInterval == 0 {
		s.tickLeaders()
	}
}
