package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// waitingJob returns an array job whose tasks need 8 CPUs, which is a whole machine of the fixture, for 10 s.
func waitingJob(id, team string, tasks int, spot bool) storage.OpenJob {
	return storage.OpenJob{Spec: protocol.Spec{
		ID: id, Class: "c", Team: team, Shape: protocol.ShapeArray, Priority: "high", Tasks: tasks,
		CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10, Spot: spot,
	}}
}

// pendingRequests counts the pending rentals of spot machines and of on-demand machines.
func (f *schedulerFixture) pendingRequests() (spot, onDemand int) {
	for _, r := range f.scheduler.rentals.all() {
		switch {
		case !r.isPending():
		case r.record.Spot:
			spot++
		default:
			onDemand++
		}
	}
	return spot, onDemand
}

// requestedMachines returns the number of machines in pending rentals.
func (f *schedulerFixture) requestedMachines() int {
	machines := 0
	for _, r := range f.scheduler.rentals.all() {
		if r.isPending() {
			machines += r.record.Count
		}
	}
	return machines
}

// planAndCountRequested makes a plan at once and returns the number of machines in pending rentals.
func (f *schedulerFixture) planAndCountRequested() int {
	f.scheduler.planner.requestPlan()
	f.step(Tick{Entitled: true})
	return f.requestedMachines()
}

// TestCheapestPoolFirst checks that machines are requested only from the cheapest pool while it has capacity. Once
// it has none, they are requested from the next cheapest pool at once, and the first gets at most one request.
func TestCheapestPoolFirst(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 2, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}})
	f.scheduler.cfg.CloudRPS = 4
	f.step(JobChanged{JobID: "job-1", Version: 100, Record: waitingJob("job-1", "red", 5000, true)})
	f.scheduler.jobs.teams["red"].cfg.MaxCPUs = 1e6
	untilRequested := func() (spot, onDemand int) {
		for f.now += time.Second; ; f.now += time.Second {
			f.step(Tick{Entitled: true})
			if spot, onDemand = f.pendingRequests(); spot+onDemand > 0 {
				return spot, onDemand
			}
		}
	}
	if spot, onDemand := untilRequested(); spot != 4 || onDemand != 0 {
		t.Fatalf("%d requests to the cheap pool and %d to the expensive one, want 4 and 0", spot, onDemand)
	}
	for _, r := range f.scheduler.rentals.all() {
		r.state = rentalRequested
		f.step(RentalDone{Name: r.name, NoCapacity: true})
	}
	if spot, onDemand := untilRequested(); spot > 1 || onDemand == 0 {
		t.Errorf("%d requests to the pool without capacity and %d to the other, want at most 1 and at least 1",
			spot, onDemand)
	}
}

// TestMachinesForTasksThatStartTooLate checks that machines are rented only for the tasks that cannot start on the
// existing fleet before a new machine would be up, and that they are rented even if the fleet could run these tasks
// later.
func TestMachinesForTasksThatStartTooLate(t *testing.T) {
	f := newSchedulerFixture(t, 10)
	f.scheduler.cfg.CloudRPS = 100
	for i := range 10 {
		f.sendHeartbeat(i)
	}
	f.submitJob("job-1", "red", "high", 10, 8, 0)
	f.confirmStartsAsRunning() // each machine is full with a task that has just started
	f.submitJob("job-2", "blue", "high", 8, 8, 20)
	// Ten tasks with an estimate of 10 s have just started. The planner expects about a quarter of them to end
	// in the 5.5 s that a machine takes to boot, as it assumes that they end evenly over the next 20 s.
	if n := f.planAndCountRequested(); n < 5 || n > 7 {
		t.Errorf("%d machines requested for 8 tasks while the fleet is full, want 5 to 7", n)
	}
	// Tasks that have waited for the boot time of a machine are not planned to wait for that long again.
	f.step(JobChanged{
		JobID: "job-3", Version: 500, SinceSubmission: 20 * time.Second, Record: waitingJob("job-3", "blue", 4, false),
	})
	if n := f.planAndCountRequested(); n < 9 || n > 11 {
		t.Errorf("%d machines requested after 4 more tasks have waited for 20 s, want 9 to 11", n)
	}
}

// TestIdleMachinesUsedBeforeRenting checks that no machine is rented for tasks that fit on idle ones.
func TestIdleMachinesUsedBeforeRenting(t *testing.T) {
	f := newSchedulerFixture(t, 10)
	for i := range 10 {
		f.sendHeartbeat(i)
	}
	f.submitJob("job-2", "blue", "high", 8, 8, 20)
	if n := f.planAndCountRequested(); n != 0 {
		t.Errorf("%d machines requested for 8 tasks although 10 machines are idle, want 0", n)
	}
}

// confirmStartsAsRunning replies to the direct commands of the last event with heartbeats in which all tasks
// that the commands start are running.
func (f *schedulerFixture) confirmStartsAsRunning() {
	for _, sent := range f.directCommands() {
		heartbeat := &protocol.Heartbeat{Machine: sent.Machine, Incarnation: 1, Sequence: 100, FencingToken: 3}
		for _, command := range sent.Commands {
			heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
				Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning,
			})
		}
		f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: heartbeat})
	}
}
