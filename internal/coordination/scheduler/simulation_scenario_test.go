package scheduler

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestMain sets the seed of rapid to a fixed value, so that the tests check the same cases in every run.
// To check more cases with random seeds, run
// QUILLSHUNT_RANDOM=1 go test ./internal/coordination/scheduler -rapid.checks=2000
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("QUILLSHUNT_RANDOM") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// gangScenarioEvery is the number of seeds of which one has mostly gangs that save checkpoints.
const gangScenarioEvery = 2

// newRandomScenario returns the simulation for runRandomScenario with a seed.
func newRandomScenario(t interface{ Fatalf(string, ...any) }, seed uint64) *simulation {
	s := newSimulation(t, seed)
	if seed%gangScenarioEvery == 0 {
		s.gangShare, s.checkpointShare = 0.8, 0.8
	}
	return s
}

// TestRules simulates random scenarios with faults of all kinds and checks the protocol rules. Each
// scenario ends with a phase without new faults, in which all jobs must finish.
func TestRules(t *testing.T) {
	events := &gangEventCounts{}
	rapid.Check(t, func(t *rapid.T) {
		s := newRandomScenario(t, rapid.Uint64().Draw(t, "seed"))
		s.gangEvents = events
		runRandomScenario(s)
	})
	events.checkCoverage(t)
}

// TestForgottenAttemptIsNotStartedByRepeatedCommand lets copies of all direct commands arrive in random scenarios.
func TestForgottenAttemptIsNotStartedByRepeatedCommand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRandomScenario(t, rapid.Uint64().Draw(t, "seed"))
		s.repeatShare = 1
		runRandomScenario(s)
	})
}

// TestReplay simulates the scenario of one seed and prints all effects of the schedulers, to investigate
// a failure of TestRules:
// QUILLSHUNT_SEED=0x7ec8 go test ./internal/coordination/scheduler -run TestReplay -v
// With QUILLSHUNT_SCENARIO=cancellation, it simulates the scenario of TestRulesOfCancellations instead.
func TestReplay(t *testing.T) {
	text := os.Getenv("QUILLSHUNT_SEED")
	if text == "" {
		t.Skip("QUILLSHUNT_SEED is not set")
	}
	seed, err := strconv.ParseUint(text, 0, 64)
	if err != nil {
		t.Fatalf("QUILLSHUNT_SEED: %v", err)
	}
	if os.Getenv("QUILLSHUNT_SCENARIO") == "cancellation" {
		s := newSimulation(t, seed)
		s.trace = true
		runCancellationScenario(s)
		return
	}
	s := newRandomScenario(t, seed)
	s.trace = true
	runRandomScenario(s)
}

// Durations of the two phases of a scenario.
const (
	faultPhase        = 150 * time.Second // jobs are submitted and faults injected
	maxFaultFreePhase = 600 * time.Second // upper bound; all open jobs must finish in this time
)

// runRandomScenario simulates a phase with random jobs, cancellations, faults and changes of the leader,
// and then a phase without new faults that lasts until no job is open.
func runRandomScenario(s *simulation) {
	s.electLeader()
	for s.now < faultPhase {
		switch {
		case s.withProbability(0.02):
			s.submitRandomJob()
		case s.withProbability(0.003):
			s.cancelRandomJob()
		case s.withProbability(0.006):
			s.injectFault()
		case s.withProbability(0.002):
			s.electLeadersInQuickSuccession()
		}
		s.advance()
	}
	s.finishAllJobs()
}

// finishAllJobs ends all faults and simulates a phase that lasts until no job is open.
func (s *simulation) finishAllJobs() {
	s.endFaults()
	deadline := s.now + maxFaultFreePhase
	for s.now < deadline && len(s.sortedKeysWithPrefix(storage.PrefixOpenJob)) > 0 {
		s.advance()
	}
	if unfinished := s.sortedKeysWithPrefix(storage.PrefixOpenJob); len(unfinished) > 0 {
		id := strings.TrimPrefix(unfinished[0], storage.PrefixOpenJob)
		s.t.Fatalf("jobs still open at the end of the phase without faults: %v\n%s",
			unfinished, s.explainUnfinishedJob(id))
	}
}

// electLeadersInQuickSuccession elects up to three leaders, each less than half a second after the one
// before.
func (s *simulation) electLeadersInQuickSuccession() {
	for range 1 + s.random.IntN(3) {
		s.electLeader()
		for range s.random.IntN(8) {
			s.advance()
		}
	}
}

// endFaults ends all network faults, ends hangs within a second, and cancels the jobs that can't finish
// because their tasks always fail.
func (s *simulation) endFaults() {
	s.faultFree = true
	s.deletionsFailUntil, s.longTasks = 0, false
	for _, machine := range s.machines {
		machine.partitionedUntil, machine.unreachableUntil, machine.ignoresStops = 0, 0, false
		machine.hungUntil = min(machine.hungUntil, s.now+time.Second)
	}
	for _, key := range s.sortedKeysWithPrefix(storage.PrefixOpenJob) {
		if s.alwaysFailingJobs[strings.TrimPrefix(key, storage.PrefixOpenJob)] {
			s.cancelJob(key)
		}
	}
}

// simulatedJob is the actual state of a job. The schedulers may not have received it yet.
type simulatedJob struct {
	spec           protocol.Spec
	completedTasks map[int]bool
	cancelledAt    time.Duration // when the cancellation was confirmed to the user; 0: never
}

// jobOf returns the job that a task belongs to.
func (s *simulation) jobOf(task *simulatedTask) *simulatedJob {
	id, _, _ := protocol.ParseTaskName(task.name)
	return s.jobs[id]
}

// submitRandomJob writes the record of a new job with random properties.
func (s *simulation) submitRandomJob() {
	s.jobSequence++
	id := fmt.Sprintf("job-%06d", s.jobSequence)
	pick := func(options ...string) string { return options[s.random.IntN(len(options))] }
	spec := protocol.Spec{
		ID:          id,
		Class:       pick("x", "y"),
		Team:        pick("red", "blue"),
		Shape:       protocol.ShapeArray,
		Priority:    pick("low", "standard", "high", "production"),
		Tasks:       1 + s.random.IntN(8),
		CPUs:        float64(1 + s.random.IntN(4)),
		MemoryGB:    1,
		Zone:        pick("", "", "", "a"),
		SameZone:    s.withProbability(0.2),
		SpreadZones: s.withProbability(0.2),
		Spot:        s.withProbability(0.6),
		Image:       pick("i", "k"),
		ImageGB:     1,
		EstimateS:   6,
	}
	if spec.SameZone {
		spec.SpreadZones = false
	}
	if spec.SpreadZones {
		spec.Zone = "" // with a fixed zone, half of the tasks could never be placed
	}
	if s.withProbability(0.2) {
		spec.MachineTypes = []string{"b8"}
	}
	if s.withProbability(s.checkpointShare) {
		spec.CheckpointS, spec.SaveS = 2, 1
	}
	if s.withProbability(0.4) {
		spec.DeadlineS = 20
	}
	if s.withProbability(s.gangShare) {
		spec.Shape = protocol.ShapeGang
		spec.Tasks = 1 + s.random.IntN(min(5, int(20/spec.CPUs))) // the gang fits in the lower team limit, 20 CPUs
	}
	s.jobs[id] = &simulatedJob{spec: spec, completedTasks: map[int]bool{}}
	s.writeJob(storage.OpenJobKey(id), storage.OpenJob{Spec: spec})
	if s.withProbability(0.08) {
		s.alwaysFailingJobs[id] = true
	}
}

// cancelRandomJob cancels a random open job, if there is one.
func (s *simulation) cancelRandomJob() {
	keys := s.sortedKeysWithPrefix(storage.PrefixOpenJob)
	if len(keys) == 0 {
		return
	}
	s.cancelJob(keys[s.random.IntN(len(keys))])
}

// cancelJob records the cancellation of an open job, unless it is cancelled already.
func (s *simulation) cancelJob(key string) {
	var job storage.OpenJob
	s.must(protocol.Decode(s.records[key].value, &job))
	if job.Cancelled {
		return
	}
	job.Cancelled, job.CancelledAtMs = true, s.now.Milliseconds()
	s.jobs[strings.TrimPrefix(key, storage.PrefixOpenJob)].cancelledAt = s.now
	s.writeJob(key, job)
}

// injectFault injects a random fault of one kind into a machine, a zone or a part of the fleet. If it
// affects several machines, the leader may fail at the same time.
func (s *simulation) injectFault() {
	names := s.machineNames()
	if len(names) == 0 {
		return
	}
	affected := s.pickAffectedMachines(names)
	kind := s.random.IntN(6)
	randomEnd := func(longest time.Duration) time.Duration { return s.now + s.randomDuration(time.Second, longest) }
	hungUntil := randomEnd(40 * time.Second)
	partitionedUntil := randomEnd(30 * time.Second)
	spotReclaimAt := randomEnd(15 * time.Second)
	unreachableUntil := randomEnd(60 * time.Second)
	for _, machine := range affected {
		switch kind {
		case 0:
			machine.hungUntil = hungUntil
		case 1:
			machine.partitionedUntil = partitionedUntil
		case 2: // goes down but stays listed by the cloud
			machine.down, machine.bootedAt = true, farFuture
			machine.tasks = nil
		case 3:
			if machine.Spot {
				machine.spotReclaimAt = spotReclaimAt
			}
		case 4:
			machine.remove()
		case 5:
			machine.unreachableUntil = unreachableUntil
		}
	}
	if len(affected) > 1 && s.withProbability(0.3) { // the leader fails at the same time
		s.electLeader()
	}
}

// pickAffectedMachines picks the machines that a fault affects: a random machine, all machines of its zone, or
// each machine of the fleet with a probability of 20%.
func (s *simulation) pickAffectedMachines(names []string) []*simulatedMachine {
	picked := s.machines[names[s.random.IntN(len(names))]]
	var affected []*simulatedMachine
	switch s.random.IntN(8) {
	case 0: // all machines of a zone
		for _, name := range names {
			if s.machines[name].Zone == picked.Zone {
				affected = append(affected, s.machines[name])
			}
		}
		return affected
	case 1: // each machine with a probability of 20%
		for _, name := range names {
			if s.withProbability(0.2) {
				affected = append(affected, s.machines[name])
			}
		}
		return affected
	}
	return []*simulatedMachine{picked}
}

// explainUnfinishedJob describes a job that has not finished, the teams and the machines, as recorded by the
// newest leader's scheduler.
func (s *simulation) explainUnfinishedJob(id string) string {
	scheduler := s.leaders[len(s.leaders)-1].scheduler
	text := fmt.Sprintf("job %+v\n", s.jobs[id].spec)
	if j := scheduler.jobs.byID[id]; j != nil {
		text += fmt.Sprintf(
			"waiting %d done %d retry at %v now %v failed on %v cancelled %v closing %v recovery ended %v\n",
			j.waitingTasks(), j.doneCount, j.retryAt, scheduler.now, j.failedMachines,
			j.cancelled, j.closing, scheduler.recovery.hasEnded())
		for _, a := range j.sortedAssignments() {
			text += fmt.Sprintf("task %d on machine %s state %d direct command %d start unconfirmed %v stopping %v\n",
				a.index, a.machine.name, a.state, a.directID, a.startUnconfirmed, a.stopping)
		}
	}
	for _, team := range s.teams {
		text += fmt.Sprintf("team %s allocated %+v\n", team.Name, scheduler.jobs.teams[team.Name].allocated)
	}
	for _, m := range scheduler.inventory.all() {
		text += fmt.Sprintf("machine %s type %s zone %s spot %v reported %v fenced %v ",
			m.name, m.typeName, m.zone, m.spot, m.hasReported, m.fenced)
		text += fmt.Sprintf("registration %d schedulable %v deleting %v faulty %v ",
			m.registration, scheduler.isSchedulable(m), m.deleting, m.isFaulty())
		text += fmt.Sprintf("last heartbeat %v incarnation %d ended incarnation %d tasks %d allocated %+v free %+v\n",
			m.lastHeartbeatAt, m.incarnation, m.endedIncarnation, len(m.assignments), m.allocated, m.freeResources())
	}
	return text
}
