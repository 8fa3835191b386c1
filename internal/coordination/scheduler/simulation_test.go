package scheduler

import (
	"math/rand/v2"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// simulation models everything around the scheduler: workers, the cloud, the state service, and a
// network that loses, delays and duplicates messages. It checks the protocol rules whose violation is
// visible outside the scheduler. All random values come from one generator, so that a seed reproduces a
// run. The number and order of the draws must not change: otherwise a known seed no longer reproduces its run.
type simulation struct {
	t       interface{ Fatalf(string, ...any) }
	random  *rand.Rand
	repeats *rand.Rand // for copies of direct commands that were executed
	now     time.Duration

	repeatShare        float64       // share of the direct commands of which copies arrive
	gangShare          float64       // share of the jobs that are gangs
	checkpointShare    float64       // share of the jobs whose tasks save checkpoints
	faultFree          bool          // network faults have ended
	longTasks          bool          // tasks run for longer than a cancellation may take
	deletionsFailUntil time.Duration // until then, the cloud deletes no machines
	trace              bool          // print all effects of the schedulers
	records            map[string]storedRecord
	revision           uint64                 // of the state service, after the newest write
	term               uint64                 // of the newest leader
	leaders            []*simulatedController // one for each term, the newest last
	machines           map[string]*simulatedMachine
	machineSequence    int
	rentedMachines     map[string][]string // names of the machines rented by each request
	types              []protocol.MachineType
	teams              []config.Team
	workerTimes        config.WorkerTimes
	jobs               map[string]*simulatedJob
	jobSequence        int
	scheduledCalls     []scheduledCall                  // in the order in which they were scheduled
	alwaysFailingJobs  map[string]bool                  // IDs of jobs whose tasks fail on every machine
	gangAttempts       map[string]*simulatedGangAttempt // by job ID and attempt
	gangEvents         *gangEventCounts                 // shared by all scenarios of a test
}

// withProbability returns true with probability p.
func (s *simulation) withProbability(p float64) bool { return s.random.Float64() < p }

// randomDuration returns a random duration from shortest to longest, both included.
func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

func newSimulation(t interface{ Fatalf(string, ...any) }, seed uint64) *simulation {
	return &simulation{
		t:                 t,
		random:            rand.New(rand.NewPCG(seed, 7)),
		repeats:           rand.New(rand.NewPCG(seed, 17)),
		repeatShare:       usualRepeatShare,
		gangShare:         0.3,
		checkpointShare:   0.3,
		records:           map[string]storedRecord{},
		machines:          map[string]*simulatedMachine{},
		rentedMachines:    map[string][]string{},
		jobs:              map[string]*simulatedJob{},
		alwaysFailingJobs: map[string]bool{},
		gangAttempts:      map[string]*simulatedGangAttempt{},
		gangEvents:        &gangEventCounts{},
		teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 12, MaxCPUs: 32},
			{Name: "blue", GuaranteedCPUs: 12, MaxCPUs: 20},
		},
		workerTimes: config.WorkerTimes{
			HeartbeatIntervalS: 2, LeaseS: 14, CancelWithinS: 34,
			GangWaitTimeoutS: seconds(20), GangPeerDetectionS: seconds(4),
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

// seconds returns a pointer to v, for optional settings.
func seconds(v float64) *float64 { return &v }

// must fails the test if err is not nil.
func (s *simulation) must(err error) {
	if err != nil {
		s.t.Fatalf("unexpected error: %v", err)
	}
}

const (
	simulationStep = 50 * time.Millisecond
	tickInterval   = 500 * time.Millisecond // between two Tick events of a leader
)

// advance advances the simulated time and all parts of the simulation by one step.
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
