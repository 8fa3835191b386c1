package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// BenchmarkReport measures the leader's time per heartbeat on a full fleet with a backlog. Each heartbeat
// completes one task, and a new one is placed. The setups differ in the sizes of fleet and backlog; some add
// large starved jobs for which no machine has room, jobs that search for tasks to preempt but may preempt none,
// or waiting gangs. The time should hardly depend on the sizes.
//
// Run it for a few thousand heartbeats, because the jobs that search for tasks to preempt do so for some seconds
// only. Absolute times depend on the machine: compare two versions by the ratio of their times in one session.
func BenchmarkReport(b *testing.B) {
	for _, setup := range []benchmarkSetup{
		{machines: 48, jobs: 30},
		{machines: 270, jobs: 100},
		{machines: 1090, jobs: 300},
		{machines: 1090, jobs: 300, starved: 100},
		{machines: 1820, jobs: 500, preempting: 200},
		{machines: 4000, jobs: 500},
		{machines: 4000, jobs: 500, gangs: 300},
	} {
		b.Run(setup.String(), func(b *testing.B) { benchHeartbeat(b, setup) })
	}
}

// benchmarkSetup is the number of machines of the fleet and of waiting jobs of each kind.
type benchmarkSetup struct{ machines, jobs, starved, preempting, gangs int }

// String returns the name of the setup. It must stay the same so that results can be compared with those of
// earlier versions.
func (s benchmarkSetup) String() string {
	return fmt.Sprintf("machines=%d/jobs=%d/behind=%d/pressing=%d/gangs=%d",
		s.machines, s.jobs, s.starved, s.preempting, s.gangs)
}

func benchHeartbeat(b *testing.B, setup benchmarkSetup) {
	f := newBenchmarkFleet(b, setup)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.now += 1500 * time.Millisecond / time.Duration(setup.machines)
		m := i % setup.machines
		f.endOneTask(m)
		f.step(HeartbeatReceived{
			Heartbeat: f.heartbeat(m), ReplyTo: machineResponder(m), Entitled: true, SameConnection: true,
		})
		if i%(setup.machines/3) == 0 {
			f.step(Tick{Entitled: true})
		}
	}
}

const benchmarkCPUs = 16 // CPUs of each machine

// benchmarkFleet is a scheduler with a backlog and simulated workers. No messages are lost.
type benchmarkFleet struct {
	b         *testing.B
	scheduler *Scheduler
	now       time.Duration
	tasks     [][]protocol.TaskStatus // tasks on each machine
	sequence  uint64                  // of the last heartbeat
	version   uint64                  // of the last record
}

func newBenchmarkFleet(b *testing.B, setup benchmarkSetup) *benchmarkFleet {
	options := config.DefaultOptions()
	options.Fleet.MaxMachines = setup.machines
	s := New(Config{
		Term: 1, LastFencingToken: limits.FencingTokensPerReservation,
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 100, MaxCPUs: 20000},
			{Name: "blue", GuaranteedCPUs: 100, MaxCPUs: 20000},
		},
		Workers: config.WorkerTimes{HeartbeatIntervalS: 1.5, LeaseS: 14, CancelWithinS: 34},
		State:   config.StateLimits{ValueKB: 4, TxnOps: 8},
		Options: options,
	}, 0)
	s.Step(benchmarkMachineTypes(benchmarkCPUs), 0)
	loadRegistryPage(s, "h", answeredRental("s", setup.machines, paddedMachineName), 0)
	s.Step(StateLoaded{}, 0)
	f := &benchmarkFleet{b: b, scheduler: s, version: 1000, tasks: make([][]protocol.TaskStatus, setup.machines)}
	f.submitBacklog(setup)
	return f
}

// benchmarkMachineTypes returns the only machine type of the benchmarks, with the given number of CPUs.
func benchmarkMachineTypes(cpus float64) MachineTypesFetched {
	return MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s", CPUs: cpus, MemoryGB: 128, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}}
}

// submitBacklog submits the jobs of a setup. Starved jobs have lower numbers than preempting ones, although the
// preempting ones are submitted first.
func (f *benchmarkFleet) submitBacklog(setup benchmarkSetup) {
	for i := range setup.jobs {
		f.submit(i, 0, protocol.Spec{
			Class: "c", Team: []string{"red", "blue"}[i%2], Shape: "sweep", Priority: "standard",
			Tasks: 100_000, CPUs: 1,
		})
	}
	for i := range setup.preempting {
		f.submit(setup.jobs+setup.starved+i, 0, protocol.Spec{
			Class: "pressing", Team: "red", Shape: "sweep", Priority: "standard",
			Tasks: 100, CPUs: benchmarkCPUs, DeadlineS: 14,
		})
	}
	for i := range setup.starved {
		f.submit(setup.jobs+i, 200*time.Second, protocol.Spec{
			Class: "large", Team: "red", Shape: "sweep", Priority: "low", Tasks: 100, CPUs: benchmarkCPUs,
		})
	}
	for i := range setup.gangs { // no two request the same resources, so that no cached search result is reused
		f.submit(setup.jobs+setup.starved+setup.preempting+i, 0, protocol.Spec{
			Class: "gang", Team: "red", Shape: protocol.ShapeGang, SameZone: true, Priority: "standard",
			Tasks: 4 + i%9, CPUs: 2 + float64(i)/100,
		})
	}
}

// submit submits the job with the given number. Its age is the time since its submission.
func (f *benchmarkFleet) submit(number int, age time.Duration, spec protocol.Spec) {
	spec.ID = fmt.Sprintf("job-%d", number)
	spec.MemoryGB, spec.Image, spec.EstimateS = 1, "i", 10
	f.scheduler.Step(JobChanged{
		JobID: spec.ID, Version: uint64(number + 2), SinceSubmission: age, Record: storage.OpenJob{Spec: spec},
	}, 0)
}

// endOneTask completes the first running task of a machine.
func (f *benchmarkFleet) endOneTask(m int) {
	for i := range f.tasks[m] {
		if task := &f.tasks[m][i]; task.State == protocol.TaskRunning {
			task.State, task.Reason = protocol.TaskEnded, protocol.ReasonDone
			return
		}
	}
}

// heartbeat returns the next heartbeat of a machine.
func (f *benchmarkFleet) heartbeat(m int) *protocol.Heartbeat {
	f.sequence++
	return benchmarkHeartbeat(m, f.sequence, f.tasks[m])
}

// step processes an event and executes its effects.
func (f *benchmarkFleet) step(event Event) {
	for _, effect := range f.scheduler.Step(event, f.now) {
		switch effect := effect.(type) {
		case HeartbeatReply:
			f.executeCommands(int(effect.ReplyTo.(machineResponder)), effect.Commands)
		case SendDirectCommands:
			var m int
			if _, err := fmt.Sscanf(effect.Machine, "m-%d", &m); err != nil {
				f.b.Fatal(err)
			}
			f.executeCommands(m, effect.Commands)
			f.step(DirectCommandsDone{ID: effect.ID, Machine: effect.Machine, Heartbeat: f.heartbeat(m)})
		case WriteRecords:
			f.version++
			f.step(WriteCompleted{ID: effect.ID, Committed: true, Version: f.version})
		}
	}
}

// executeCommands executes commands on a machine.
func (f *benchmarkFleet) executeCommands(m int, commands []protocol.Command) {
	for _, command := range commands {
		switch command.Verb {
		case protocol.CommandStart:
			f.tasks[m] = append(f.tasks[m],
				protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning})
		case protocol.CommandForget:
			hasAttempt := func(task protocol.TaskStatus) bool { return task.Attempt == command.Attempt }
			if i := slices.IndexFunc(f.tasks[m], hasAttempt); i >= 0 {
				f.tasks[m] = slices.Delete(f.tasks[m], i, i+1)
			}
		}
	}
}

// benchmarkHeartbeat returns a heartbeat of a machine.
func benchmarkHeartbeat(m int, sequence uint64, tasks []protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine: paddedMachineName(m), Address: "x:1", MachineType: "s", Zone: "a",
		Incarnation: 1, Sequence: sequence, FencingToken: 1, Tasks: tasks,
	}
}

// BenchmarkTakeOver measures the scheduling pass after a failover in which all machines are empty and have just
// reported, with a backlog of many times their capacity. The time per placed task should hardly depend on the
// number of machines.
func BenchmarkTakeOver(b *testing.B) {
	for _, machines := range []int{250, 1000, 2000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				s := newSchedulerWithReports(machines, machines-1)
				last := HeartbeatReceived{
					Heartbeat: benchmarkHeartbeat(machines-1, 1, nil), ReplyTo: machineResponder(0), Entitled: true,
				}
				b.StartTimer()
				s.Step(last, 0)
				b.StopTimer()
				placed += int(s.jobs.team("red").allocated.CPUs)
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/task")
		})
	}
}

// BenchmarkPlan measures the capacity plan, which is made once a second, with a full fleet and a backlog
// proportional to it. The plan must visit each machine and each job, but its time should not be proportional to
// the product of their numbers.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			s := newSchedulerOnFullFleet(machines)
			for b.Loop() {
				s.planCapacity()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines), "ns/machine")
		})
	}
}

// newSchedulerWithReports returns the scheduler of a new term with empty machines and a backlog of many times
// their capacity. The machines with numbers below reported have sent a heartbeat.
func newSchedulerWithReports(machines, reported int) *Scheduler {
	options := config.DefaultOptions()
	options.Fleet.MaxMachines = machines
	s := New(Config{
		Term:    1,
		Teams:   []config.Team{{Name: "red", GuaranteedCPUs: 100, MaxCPUs: 1e6}},
		Workers: config.WorkerTimes{HeartbeatIntervalS: 5, LeaseS: 27, CancelWithinS: 47},
		State:   config.StateLimits{ValueKB: 8, TxnOps: 8},
		Options: options,
	}, 0)
	s.Step(benchmarkMachineTypes(8), 0)
	loadRegistryPage(s, "h", answeredRental("s", machines, paddedMachineName), 0)
	for i := range machines / 7 {
		spec := protocol.Spec{
			ID: fmt.Sprintf("job-%d", i), Class: "c", Team: "red", Shape: "sweep", Priority: "standard",
			Tasks: 150, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10,
		}
		s.Step(JobChanged{JobID: spec.ID, Version: uint64(i + 2), Record: storage.OpenJob{Spec: spec}}, 0)
	}
	s.Step(StateLoaded{}, 0)
	for m := range reported {
		s.Step(HeartbeatReceived{
			Heartbeat: benchmarkHeartbeat(m, 1, nil), ReplyTo: machineResponder(m), Entitled: true,
		}, 0)
	}
	return s
}

// newSchedulerOnFullFleet returns a scheduler with a full fleet and a remaining backlog.
func newSchedulerOnFullFleet(machines int) *Scheduler {
	s := newSchedulerWithReports(machines, machines)
	s.Step(Tick{Entitled: true}, time.Second)
	return s
}

// TestHeartbeatAllocations limits the leader's memory allocations for the most frequent event, a heartbeat
// without changes, on a full fleet with a backlog. Unlike times, the number of allocations is reproducible. The
// limit leaves room for a few more allocations than a heartbeat needs now.
func TestHeartbeatAllocations(t *testing.T) {
	const machines, maxAllocations = 50, 14
	f := newSchedulerFixture(t, machines)
	for m := range machines {
		f.sendHeartbeat(m)
	}
	for i := range 100 {
		f.submitJob(fmt.Sprintf("job-%d", i), "red", "standard", 1000, 2, 0)
	}
	tasks := make([][]protocol.TaskStatus, machines)
	for range 3 { // fills the fleet
		for m := range machines {
			for _, command := range f.sendHeartbeat(m, tasks[m]...) {
				if command.Verb == protocol.CommandStart {
					tasks[m] = append(tasks[m],
						protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning})
				}
			}
		}
		f.now += time.Second
	}
	next := 0
	got := testing.AllocsPerRun(500, func() {
		f.sendHeartbeat(next%machines, tasks[next%machines]...)
		next++
	})
	if got > maxAllocations {
		t.Errorf("%v allocations per heartbeat, want at most %d", got, maxAllocations)
	}
	t.Logf("%v allocations per heartbeat", got)
}
