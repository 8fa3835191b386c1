package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// BenchmarkReport is the leader's cost of a report on a full fleet with a backlog: each report ends
// one task and a new one is placed, at several sizes, also with large jobs that are behind and find
// no room, with jobs that would stop others but may not, and with gangs that wait. Run it for a few
// thousand reports: those jobs are pressing for some seconds only. It should hardly depend on fleet
// or backlog. Compare versions as a ratio in one run; the time itself says nothing.
func BenchmarkReport(b *testing.B) {
	for _, c := range []benchmarkSetup{{machines: 48, jobs: 30}, {machines: 270, jobs: 100}, {machines: 1090, jobs: 300}, {machines: 1090, jobs: 300, overdue: 100},
		{machines: 1820, jobs: 500, preempting: 200}, {machines: 4000, jobs: 500}, {machines: 4000, jobs: 500, gangs: 300}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d/behind=%d/pressing=%d/gangs=%d", c.machines, c.jobs, c.overdue, c.preempting, c.gangs), func(b *testing.B) {
			benchReport(b, c)
		})
	}
}

// benchmarkSetup is a fleet and what waits for it.
type benchmarkSetup struct{ machines, jobs, overdue, preempting, gangs int }

func benchReport(b *testing.B, c benchmarkSetup) {
	machines, jobs, behind, pressing := c.machines, c.jobs, c.overdue, c.preempting
	const cpus = 16
	options := config.DefaultOptions()
	options.Fleet.MaxMachines = machines
	s := New(Config{Term: 1, Teams: []config.Team{{Name: "red", CPUs: 100, CPUsMax: 20000}, {Name: "blue", CPUs: 100, CPUsMax: 20000}},
		Workers: config.Workers{ReportS: 1.5, LeaseS: 14, CancelS: 34}, State: config.State{ValueKB: 4, TxnOps: 8}, Options: options}, 0)
	s.Step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s", CPUs: cpus, MemoryGB: 128, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}}, 0)
	loadRegistryPage(s, "h", answeredRental("s", machines, longName), 0)
	s.Step(StateLoaded{}, 0)
	for i := range jobs {
		s.Step(JobChanged{JobID: fmt.Sprintf("job-%d", i), Version: uint64(i + 2), Record: storage.OpenJob{Spec: protocol.Spec{
			ID: fmt.Sprintf("job-%d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: "sweep", Priority: "standard",
			Tasks: 100_000, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}}}, 0)
	}
	for i := range pressing {
		id := fmt.Sprintf("job-%d", jobs+behind+i)
		s.Step(JobChanged{JobID: id, Version: uint64(jobs + behind + i + 2), Record: storage.OpenJob{Spec: protocol.Spec{
			ID: id, Class: "pressing", Team: "red", Shape: "sweep", Priority: "standard", Tasks: 100, CPUs: cpus, MemoryGB: 1, Image: "i", EstimateS: 10, DeadlineS: 14}}}, 0)
	}
	for i := range behind {
		id := fmt.Sprintf("job-%d", jobs+i)
		s.Step(JobChanged{JobID: id, Version: uint64(jobs + i + 2), SinceSubmission: 200 * time.Second, Record: storage.OpenJob{Spec: protocol.Spec{
			ID: id, Class: "large", Team: "red", Shape: "sweep", Priority: "low", Tasks: 100, CPUs: cpus, MemoryGB: 1, Image: "i", EstimateS: 10}}}, 0)
	}
	for i := range c.gangs { // each asks for something else
		id := fmt.Sprintf("job-%d", jobs+behind+pressing+i)
		s.Step(JobChanged{JobID: id, Version: uint64(jobs + behind + pressing + i + 2), Record: storage.OpenJob{Spec: protocol.Spec{
			ID: id, Class: "gang", Team: "red", Shape: protocol.ShapeGang, SameZone: true, Priority: "standard", Tasks: 4 + i%9, CPUs: 2 + float64(i)/100,
			MemoryGB: 1, Image: "i", EstimateS: 10}}}, 0)
	}
	now := time.Duration(0)
	have := make([][]protocol.TaskStatus, machines)
	var tally uint64
	apply := func(m int, orders []protocol.Command) {
		for _, o := range orders {
			switch o.Verb {
			case protocol.CommandStart:
				have[m] = append(have[m], protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskRunning})
			case protocol.CommandForget:
				for k := range have[m] {
					if have[m][k].Attempt == o.Attempt {
						have[m] = append(have[m][:k], have[m][k+1:]...)
						break
					}
				}
			}
		}
	}
	rev := uint64(1000)
	var step func(e Event)
	step = func(e Event) {
		for _, eff := range s.Step(e, now) {
			switch eff := eff.(type) {
			case HeartbeatReply:
				apply(int(eff.ReplyTo.(machineResponder)), eff.Commands)
			case SendDirectCommands:
				var m int
				if _, err := fmt.Sscanf(eff.Machine, "m-%d", &m); err != nil {
					b.Fatal(err)
				}
				apply(m, eff.Commands)
				tally++
				step(DirectCommandsDone{ID: eff.ID, Machine: eff.Machine, Heartbeat: report(m, tally, have[m])})
			case WriteRecords:
				rev++
				step(WriteCompleted{ID: eff.ID, OK: true, Version: rev})
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 1500 * time.Millisecond / time.Duration(machines)
		m := i % machines
		for k := range have[m] {
			if have[m][k].State == protocol.TaskRunning {
				have[m][k].State, have[m][k].Reason = protocol.TaskEnded, protocol.ReasonDone
				break
			}
		}
		tally++
		step(HeartbeatReceived{Heartbeat: report(m, tally, have[m]), ReplyTo: machineResponder(m), Entitled: true, SameConnection: true})
		if i%(machines/3) == 0 {
			step(Tick{Entitled: true})
		}
	}
}

func report(m int, tally uint64, tasks []protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: fmt.Sprintf("m-%06d", m), Address: "x:1", MachineType: "s", Zone: "a", Incarnation: 1, Sequence: tally, FencingToken: 1, Tasks: tasks}
}

// BenchmarkTakeOver is the pass in which a new leader that has just heard of all machines fills an
// empty fleet from a backlog of many times its size, for each task placed: it should hardly depend
// on the size.
func BenchmarkTakeOver(b *testing.B) {
	for _, machines := range []int{250, 1000, 2000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				s := reportedMachines(machines, machines-1)
				last := HeartbeatReceived{Heartbeat: report(machines-1, 1, nil), ReplyTo: machineResponder(0), Entitled: true}
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

// BenchmarkPlan is the plan of the fleet, made once a second, with a full fleet and a backlog that
// grows with it. It must look at each machine and each job; its cost should not grow as their
// product.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			s := newBusyFleet(machines)
			for b.Loop() {
				s.planCapacity()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*machines), "ns/machine")
		})
	}
}

// reportedMachines is a new leader with a backlog of many times an empty fleet that has heard of
// some of its machines.
func reportedMachines(machines, heard int) *Scheduler {
	options := config.DefaultOptions()
	options.Fleet.MaxMachines = machines
	s := New(Config{Term: 1, Teams: []config.Team{{Name: "red", CPUs: 100, CPUsMax: 1e6}}, Workers: config.Workers{ReportS: 5, LeaseS: 27, CancelS: 47},
		State: config.State{ValueKB: 8, TxnOps: 8}, Options: options}, 0)
	s.Step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s", CPUs: 8, MemoryGB: 128, FetchGBPerS: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}}, 0)
	loadRegistryPage(s, "h", answeredRental("s", machines, longName), 0)
	for i := range machines / 7 {
		s.Step(JobChanged{JobID: fmt.Sprintf("job-%d", i), Version: uint64(i + 2), Record: storage.OpenJob{Spec: protocol.Spec{
			ID: fmt.Sprintf("job-%d", i), Class: "c", Team: "red", Shape: "sweep", Priority: "standard",
			Tasks: 150, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}}}, 0)
	}
	s.Step(StateLoaded{}, 0)
	for m := range heard {
		s.Step(HeartbeatReceived{Heartbeat: report(m, 1, nil), ReplyTo: machineResponder(m), Entitled: true}, 0)
	}
	return s
}

// newBusyFleet is a leader with all machines in use and a backlog left.
func newBusyFleet(machines int) *Scheduler {
	s := reportedMachines(machines, machines)
	s.Step(Tick{Entitled: true}, time.Second)
	return s
}

// TestReportAllocations guards the leader's cost of the commonest event, a report that brings
// nothing new, on a fleet with a backlog. Allocations repeat exactly, times don't; the bound is
// what it takes now, with a few to spare.
func TestReportAllocations(t *testing.T) {
	const reportAllocs = 14
	b := newSchedulerFixture(t, 50)
	for i := range 50 {
		b.report(i)
	}
	for i := range 100 {
		b.job(fmt.Sprintf("job-%d", i), "red", "standard", 1000, 2, 0)
	}
	tasks := make([][]protocol.TaskStatus, 50)
	for range 3 { // the fleet is filled
		for i := range 50 {
			for _, o := range b.report(i, tasks[i]...) {
				if o.Verb == protocol.CommandStart {
					tasks[i] = append(tasks[i], protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskRunning})
				}
			}
		}
		b.now += time.Second
	}
	i := 0
	got := testing.AllocsPerRun(500, func() {
		b.report(i%50, tasks[i%50]...)
		i++
	})
	if got > reportAllocs {
		t.Errorf("%v allocations a report, want at most %d", got, reportAllocs)
	}
	t.Logf("%v allocations", got)
}
