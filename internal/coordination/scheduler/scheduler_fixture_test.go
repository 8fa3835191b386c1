package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// schedulerFixture is a scheduler in term 3 with machines m-0, m-1, ... that earlier terms registered and
// that have not sent a heartbeat yet. A test sends it events one at a time and checks the effects.
type schedulerFixture struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	effects   []Effect // of the last event
	sequence  uint64   // of the last heartbeat
	version   uint64   // number of job records sent; their versions are 100 higher
}

func newSchedulerFixture(t *testing.T, machines int) *schedulerFixture {
	return newSchedulerFixtureWithTimes(t, machines, 14*time.Second, 34*time.Second)
}

// newSchedulerFixtureWithTimes returns a fixture whose settings have the given worker lease and the given
// time within which the tasks of a cancelled job must have ended.
func newSchedulerFixtureWithTimes(
	t *testing.T, machines int, workerLease, cancelWithin time.Duration,
) *schedulerFixture {
	cfg := Config{
		Term:             3,
		LastFencingToken: 10,
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 100},
			{Name: "blue", GuaranteedCPUs: 8, MaxCPUs: 100},
		},
		Workers: config.WorkerTimes{
			HeartbeatIntervalS: 2, LeaseS: workerLease.Seconds(), CancelWithinS: cancelWithin.Seconds(),
			GangWaitTimeoutS: seconds(20), GangPeerDetectionS: seconds(4),
		},
		State:   config.StateLimits{WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		Options: config.DefaultOptions(),
	}
	f := &schedulerFixture{t: t, scheduler: New(cfg, 0)}
	f.step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}})
	loadRegistryPage(f.scheduler, "h-1-1", answeredRental("s8", machines, f.machine), f.now)
	f.step(StateLoaded{})
	return f
}

// loadRegistryPage loads a rental and a registry page of the same name with all machines of the rental.
func loadRegistryPage(s *Scheduler, name string, rental storage.Rental, now time.Duration) {
	s.Step(RentalLoaded{Name: name, Version: 1, Record: rental}, now)
	var page storage.RegistryPage
	for _, machine := range rental.Machines {
		page.Machines = append(page.Machines, storage.RegisteredMachine{Machine: machine, Address: "x:1"})
	}
	s.Step(RegistryPageLoaded{Name: name, Version: 1, Record: page}, now)
}

// answeredRental returns the record of a rental with that many machines, whose names come from name.
func answeredRental(machineType string, machines int, name func(int) string) storage.Rental {
	rental := storage.Rental{MachineType: machineType, Zone: "a", Count: machines, Answered: true}
	for i := range machines {
		rental.Machines = append(rental.Machines, name(i))
	}
	return rental
}

func paddedMachineName(i int) string { return fmt.Sprintf("m-%06d", i) }

func (f *schedulerFixture) machine(i int) string { return fmt.Sprintf("m-%d", i) }

// step advances the time by 10 ms, processes an event and returns its effects.
func (f *schedulerFixture) step(e Event) []Effect {
	f.now += 10 * time.Millisecond
	f.effects = f.scheduler.Step(e, f.now)
	return f.effects
}

// heartbeat returns the next heartbeat of a machine, with the fencing token of the term.
func (f *schedulerFixture) heartbeat(machine string, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	f.sequence++
	return &protocol.Heartbeat{
		Machine: machine, Address: "x:1", MachineType: "s8", Zone: "a",
		Incarnation: 1, Sequence: f.sequence, FencingToken: 3, Tasks: tasks,
	}
}

// sendHeartbeat sends the next heartbeat of machine i, which must be accepted, and returns the commands
// of the reply.
func (f *schedulerFixture) sendHeartbeat(i int, tasks ...protocol.TaskStatus) []protocol.Command {
	f.t.Helper()
	heartbeat := f.heartbeat(f.machine(i), tasks...)
	for _, effect := range f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: heartbeat}) {
		if reply, ok := effect.(HeartbeatReply); ok && reply.Accepted {
			return reply.Commands
		}
	}
	f.t.Fatalf("heartbeat not accepted: %+v", f.effects)
	return nil
}

// submitJob opens a job array. The deadline is in seconds; 0 means none.
func (f *schedulerFixture) submitJob(id, team, priority string, tasks int, cpus float64, deadline float64) {
	f.submitSpec(protocol.Spec{
		ID: id, Team: team, Priority: priority, Tasks: tasks, CPUs: cpus, EstimateS: 10, DeadlineS: deadline,
	})
}

// submitSpec opens a job array and returns its job. Its class, memory and image are the same for all jobs.
func (f *schedulerFixture) submitSpec(spec protocol.Spec) *job {
	f.version++
	spec.Class, spec.Shape, spec.MemoryGB, spec.Image = "c", protocol.ShapeArray, 1, "i"
	f.step(JobChanged{JobID: spec.ID, Version: 100 + f.version, Record: storage.OpenJob{Spec: spec}})
	return f.scheduler.jobs.find(spec.ID)
}

// cancel informs the scheduler of the cancellation of an open job, sinceCancellation after it.
func (f *schedulerFixture) cancel(id string, sinceCancellation time.Duration) {
	f.t.Helper()
	j := f.scheduler.jobs.find(id)
	if j == nil {
		f.t.Fatalf("no open job %s", id)
	}
	f.version++
	f.step(JobChanged{
		JobID: id, Version: 100 + f.version,
		SinceCancellation: sinceCancellation, MinSinceCancellation: sinceCancellation,
		Record: storage.OpenJob{Cancelled: true, Spec: j.spec},
	})
}

// directCommands returns the direct commands among the effects of the last event, without answering them.
func (f *schedulerFixture) directCommands() []SendDirectCommands {
	var sent []SendDirectCommands
	for _, effect := range f.effects {
		if commands, ok := effect.(SendDirectCommands); ok {
			sent = append(sent, commands)
		}
	}
	return sent
}

// countVerb returns the number of commands with that verb.
func countVerb(commands []protocol.Command, verb protocol.CommandVerb) int {
	count := 0
	for _, command := range commands {
		if command.Verb == verb {
			count++
		}
	}
	return count
}
