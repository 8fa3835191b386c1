package scheduler

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// satisfiableCancelSettings returns the cancelSettings with which a task can end in time on a machine that is
// unreachable from the cancellation on: its lease expires within the time limit.
func satisfiableCancelSettings() []cancelSetting {
	return slices.DeleteFunc(slices.Clone(cancelSettings), func(c cancelSetting) bool {
		return limits.LeaseExpiredAfter(c.lease) > c.cancelWithin
	})
}

// TestRulesOfCancellations simulates random scenarios in which jobs with long tasks are cancelled while their
// machines are cut off or hang, the cloud deletes no machines and the leader fails, and checks the protocol
// rules. The worker lease and the time limit for cancelled tasks vary.
func TestRulesOfCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		runCancellationScenario(s)
	})
}

// runCancellationScenario simulates a phase with random jobs, cancellations amid faults, further faults and
// changes of the leader, and then a phase without new faults that lasts until no job is open.
func runCancellationScenario(s *simulation) {
	choices := satisfiableCancelSettings()
	settings := choices[s.random.IntN(len(choices))]
	s.workerTimes.LeaseS, s.workerTimes.CancelWithinS = settings.lease.Seconds(), settings.cancelWithin.Seconds()
	s.longTasks = true
	s.electLeader()
	for s.now < faultPhase {
		switch {
		case s.withProbability(0.008):
			s.submitRandomJob()
		case s.withProbability(0.005):
			s.cancelAmidFaults()
		case s.withProbability(0.002):
			s.injectFault()
		case s.withProbability(0.001):
			s.electLeadersInQuickSuccession()
		}
		s.advance()
	}
	s.finishAllJobs()
}

// cancelAmidFaults cancels a random open job. The machines that have tasks of the job are cut off, hang or
// receive nothing for up to a little more than a lease, and some of them ignore all stop commands from then
// on. The cloud may delete no machines meanwhile, and the leader may fail.
func (s *simulation) cancelAmidFaults() {
	keys := s.sortedKeysWithPrefix(storage.PrefixOpenJob)
	if len(keys) == 0 {
		return
	}
	key := keys[s.random.IntN(len(keys))]
	lease := limits.Seconds(s.workerTimes.LeaseS)
	kind, faultEndsAt := s.random.IntN(4), s.now+s.randomDuration(time.Second, lease+2*time.Second)
	for _, machine := range s.machinesWithTasks(strings.TrimPrefix(key, storage.PrefixOpenJob)) {
		machine.ignoresStops = machine.ignoresStops || s.withProbability(0.2)
		switch kind {
		case 0:
			machine.hungUntil = faultEndsAt
		case 1:
			machine.partitionedUntil = faultEndsAt
		case 2:
			machine.unreachableUntil = faultEndsAt
		}
	}
	s.cancelJob(key)
	if s.withProbability(0.7) {
		s.deletionsFailUntil = max(s.deletionsFailUntil, s.now+s.randomDuration(0, 80*time.Second))
	}
	for range s.random.IntN(3) {
		s.afterFunc(s.randomDuration(0, lease), s.electLeader)
	}
}

// machinesWithTasks returns the machines that list a task of a job that has not ended.
func (s *simulation) machinesWithTasks(jobID string) []*simulatedMachine {
	var found []*simulatedMachine
	for _, name := range s.machineNames() {
		machine := s.machines[name]
		for _, task := range machine.tasks {
			id, _, _ := protocol.ParseTaskName(task.name)
			if id == jobID && task.state != protocol.TaskEnded {
				found = append(found, machine)
				break
			}
		}
	}
	return found
}
