package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestSustainedOverload checks that no job starves although small urgent jobs alone need more CPUs than the fleet
// has, all the time. Each large job must start within four minutes, and at least half of the tasks of each class,
// of each team and of the largest jobs must be completed.
func TestSustainedOverload(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			f := newOverloadedFleet(seed)
			f.simulate()
			f.checkLargeJobsStart(t)
			f.checkCompletedShares(t)
		})
	}
}

const (
	overloadMachines = 24
	overloadCPUs     = 8 // CPUs of each machine
	overloadDuration = 900 * time.Second
	overloadTick     = 500 * time.Millisecond
)

// overloadedFleet is a scheduler with simulated workers that receives more work than they can do. No messages
// are lost.
type overloadedFleet struct {
	random    *rand.Rand
	scheduler *Scheduler
	now       time.Duration
	machines  []string
	tasks     [][]overloadTask // tasks on each machine

	specs          map[string]protocol.Spec
	submittedAt    map[string]time.Duration
	startedAt      map[string]time.Duration
	completedTasks map[string]int

	sequence uint64 // of the last heartbeat
	version  uint64 // of the last record
}

// overloadTask is a task on a machine with the time at which it completes.
type overloadTask struct {
	protocol.TaskStatus
	endsAt time.Duration
}

func newOverloadedFleet(seed uint64) *overloadedFleet {
	f := &overloadedFleet{
		random:         rand.New(rand.NewPCG(seed, 5)),
		tasks:          make([][]overloadTask, overloadMachines),
		specs:          map[string]protocol.Spec{},
		submittedAt:    map[string]time.Duration{},
		startedAt:      map[string]time.Duration{},
		completedTasks: map[string]int{},
	}
	f.scheduler = New(Config{
		Term:    1,
		Workers: config.WorkerTimes{HeartbeatIntervalS: 2, LeaseS: 14, CancelWithinS: 34},
		State:   config.StateLimits{ValueKB: 4, TxnOps: 8},
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 40, MaxCPUs: 1000},
			{Name: "blue", GuaranteedCPUs: 40, MaxCPUs: 1000},
		},
		Objectives: []config.Objective{
			{Kind: "deadline", Class: "small", DeadlineMultiple: 1},
			{Kind: "wait", Class: "large", WithinS: 70},
		},
		Options: config.DefaultOptions(),
	}, 0)
	f.scheduler.Step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s", CPUs: overloadCPUs, MemoryGB: 64, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5,
		Zones: []string{"a"},
	}}}, 0)
	rental := answeredRental("s", overloadMachines, paddedMachineName)
	f.machines = rental.Machines
	loadRegistryPage(f.scheduler, "h", rental, 0)
	f.scheduler.Step(StateLoaded{}, 0)
	return f
}

// simulate submits jobs and simulates the workers for overloadDuration.
func (f *overloadedFleet) simulate() {
	for ; f.now < overloadDuration; f.now += overloadTick {
		f.submitJobs()
		for m := range f.tasks {
			f.completeDueTasks(m)
			if (int(f.now/overloadTick)+m)%4 == 0 {
				f.step(HeartbeatReceived{
					Heartbeat: f.heartbeat(m), ReplyTo: machineResponder(m), Entitled: true, SameConnection: true,
				})
			}
		}
		f.step(Tick{Entitled: true})
	}
}

// submitJobs submits the jobs of this tick: small urgent jobs of both teams at random times, which alone need about
// 1.3 times the CPUs of the fleet, and a large job of one team every minute. A small job has about 12 tasks of 4 CPUs
// that run for about 10 s.
func (f *overloadedFleet) submitJobs() {
	r := f.random
	if r.Float64() < 0.5*float64(overloadMachines*overloadCPUs)*1.3/(12*4*10) {
		f.submit(protocol.Spec{
			Class: "small", Team: []string{"red", "blue"}[r.IntN(2)], Priority: "high",
			Tasks: 6 + r.IntN(12), CPUs: 4, EstimateS: 10, DeadlineS: 40,
		})
	}
	if f.now%(60*time.Second) == 0 {
		f.submit(protocol.Spec{
			Class: "large", Team: "blue", Priority: "standard", Tasks: 10 + r.IntN(30), CPUs: 8, EstimateS: 20,
		})
	}
}

func (f *overloadedFleet) submit(spec protocol.Spec) {
	f.version++
	spec.ID = fmt.Sprintf("job-%06d", f.version)
	spec.Shape, spec.MemoryGB, spec.Image = "sweep", 1, "i"
	f.specs[spec.ID], f.submittedAt[spec.ID] = spec, f.now
	f.step(JobChanged{JobID: spec.ID, Version: f.version, Record: storage.OpenJob{Spec: spec}})
}

// completeDueTasks completes the running tasks of a machine that have reached their end time.
func (f *overloadedFleet) completeDueTasks(m int) {
	for i := range f.tasks[m] {
		task := &f.tasks[m][i]
		if task.State == protocol.TaskRunning && f.now >= task.endsAt {
			task.State, task.Reason = protocol.TaskEnded, protocol.ReasonDone
			id, _, _ := protocol.ParseTaskName(task.Task)
			f.completedTasks[id]++
		}
	}
}

// step processes an event and executes its effects.
func (f *overloadedFleet) step(event Event) {
	for _, effect := range f.scheduler.Step(event, f.now) {
		switch effect := effect.(type) {
		case HeartbeatReply:
			f.executeCommands(int(effect.ReplyTo.(machineResponder)), effect.Commands)
		case SendDirectCommands:
			m := slices.Index(f.machines, effect.Machine)
			f.executeCommands(m, effect.Commands)
			f.step(DirectCommandsDone{ID: effect.ID, Machine: effect.Machine, Heartbeat: f.heartbeat(m)})
		case WriteRecords:
			f.version++
			f.step(WriteCompleted{ID: effect.ID, Committed: true, Version: 1_000_000 + f.version})
		}
	}
}

// executeCommands executes commands on a machine.
func (f *overloadedFleet) executeCommands(m int, commands []protocol.Command) {
	for _, command := range commands {
		hasAttempt := func(task overloadTask) bool { return task.Attempt == command.Attempt }
		switch command.Verb {
		case protocol.CommandStop:
			for i := range f.tasks[m] {
				if hasAttempt(f.tasks[m][i]) {
					f.tasks[m][i].State, f.tasks[m][i].Reason = protocol.TaskEnded, protocol.ReasonStopped
				}
			}
		case protocol.CommandForget:
			f.tasks[m] = slices.DeleteFunc(f.tasks[m], hasAttempt)
		case protocol.CommandStart:
			f.startTask(m, command)
		}
	}
}

func (f *overloadedFleet) startTask(m int, command protocol.Command) {
	id, _, _ := protocol.ParseTaskName(command.Task)
	if _, started := f.startedAt[id]; !started {
		f.startedAt[id] = f.now
	}
	runTime := f.specs[id].EstimateS * (0.7 + 0.6*f.random.Float64())
	f.tasks[m] = append(f.tasks[m], overloadTask{
		protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning},
		f.now + time.Duration(runTime*float64(time.Second)),
	})
}

func (f *overloadedFleet) heartbeat(m int) *protocol.Heartbeat {
	f.sequence++
	heartbeat := &protocol.Heartbeat{
		Machine: f.machines[m], Address: "x:1", MachineType: "s", Zone: "a",
		Incarnation: 1, Sequence: f.sequence, FencingToken: 1,
	}
	for _, task := range f.tasks[m] {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	return heartbeat
}

// checkLargeJobsStart checks that each large job started within four minutes, except those that were submitted in
// the last four minutes.
func (f *overloadedFleet) checkLargeJobsStart(t *testing.T) {
	t.Helper()
	for id, spec := range f.specs {
		if spec.Class != "large" || overloadDuration-f.submittedAt[id] <= 4*time.Minute {
			continue
		}
		startedAt, started := f.startedAt[id]
		if wait := startedAt - f.submittedAt[id]; !started || wait > 4*time.Minute {
			t.Errorf("%s with %d tasks: started %v, after %v; want a start within 4m", id, spec.Tasks, started, wait)
		}
	}
}

// checkCompletedShares checks that at least half of the tasks of each class, of each team and of the largest jobs
// are completed. Jobs that were submitted in the last eight minutes do not count.
func (f *overloadedFleet) checkCompletedShares(t *testing.T) {
	t.Helper()
	type share struct{ done, due float64 }
	shares := map[string]*share{}
	minTasksOfLargest := f.largestThirdMinTasks()
	for id, spec := range f.specs {
		if overloadDuration-f.submittedAt[id] < 8*time.Minute {
			continue
		}
		kinds := []string{"class " + spec.Class, "team " + spec.Team}
		if spec.Class == "large" && spec.Tasks >= minTasksOfLargest {
			kinds = append(kinds, "largest")
		}
		for _, kind := range kinds {
			if shares[kind] == nil {
				shares[kind] = &share{}
			}
			shares[kind].due += float64(spec.Tasks)
			shares[kind].done += float64(f.completedTasks[id])
		}
	}
	for kind, share := range shares {
		if share.done < share.due/2 {
			t.Errorf("%s: %v of %v tasks completed, want at least half", kind, share.done, share.due)
		}
	}
	if len(shares) < 5 {
		t.Errorf("%d groups of jobs checked, want at least 5", len(shares))
	}
}

// largestThirdMinTasks returns the smallest number of tasks of a job among the largest third of the large jobs.
func (f *overloadedFleet) largestThirdMinTasks() int {
	var sizes []int
	for _, spec := range f.specs {
		if spec.Class == "large" {
			sizes = append(sizes, spec.Tasks)
		}
	}
	slices.Sort(sizes)
	return sizes[len(sizes)*2/3]
}
