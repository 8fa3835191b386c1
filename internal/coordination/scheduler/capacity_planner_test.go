package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// waitingJob is a job of tasks of 8 CPUs and 10 s each.
func waitingJob(id, team string, tasks int, spot bool) storage.OpenJob {
	return storage.OpenJob{Spec: protocol.Spec{
		ID: id, Class: "c", Team: team, Shape: protocol.ShapeArray, Priority: "high", Tasks: tasks,
		CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10, Spot: spot,
	}}
}

// pendingRequests is how many rental requests for spot instances and for others have no answer yet.
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

// pendingMachines is how many machines have been asked for without an answer yet.
func (f *schedulerFixture) requestedMachines() int {
	machines := 0
	for _, r := range f.scheduler.rentals.all() {
		if r.isPending() {
			machines += r.record.Count
		}
	}
	return machines
}

// plan makes the next plan at once and returns how many machines are asked for.
func (f *schedulerFixture) planAndCountRequested() int {
	f.scheduler.planner.requestPlan()
	f.step(Tick{Entitled: true})
	return f.requestedMachines()
}

// TestCheapestPool: machines are rented where they cost least for as long as that pool gives them,
// and the rest at once elsewhere.
func TestCheapestPoolFirst(t *testing.T) {
	f := newSchedulerFixture(t, 0)
	f.step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{
		Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 2, SpotPrice: 1, BootS: 5, Zones: []string{"a"},
	}}})
	f.scheduler.cfg.CloudRPS = 4
	f.step(JobChanged{JobID: "job-1", Version: 100, Record: waitingJob("job-1", "red", 5000, true)})
	f.scheduler.jobs.teams["red"].cfg.CPUsMax = 1e6
	untilRequested := func() (spot, onDemand int) {
		for f.now += time.Second; ; f.now += time.Second {
			f.step(Tick{Entitled: true})
			if spot, onDemand = f.pendingRequests(); spot+onDemand > 0 {
				return spot, onDemand
			}
		}
	}
	if spot, onDemand := untilRequested(); spot != 4 || onDemand != 0 {
		t.Fatalf("%d requests to the cheap pool and %d to the expensive one, want 4 and none", spot, onDemand)
	}
	for _, r := range f.scheduler.rentals.all() {
		r.state = rentalRequested
		f.step(RentalDone{Name: r.name, NoCapacity: true})
	}
	if spot, onDemand := untilRequested(); spot > 1 || onDemand == 0 {
		t.Errorf("%d requests to the pool that refused and %d to the other", spot, onDemand)
	}
}

// TestPlanByStarts: machines are rented for all tasks that can't start before a new machine would
// be up, however much a busy fleet could work off later; what starts before needs none.
func TestMachinesForTasksThatStartTooLate(t *testing.T) {
	f := newSchedulerFixture(t, 10)
	f.scheduler.cfg.CloudRPS = 100
	for i := range 10 {
		f.sendHeartbeat(i)
	}
	f.submitJob("job-1", "red", "high", 10, 8, 0)
	f.confirmStartsAsRunning() // each machine is full, and its task has just begun
	f.submitJob("job-2", "blue", "high", 8, 8, 20)
	// Of ten tasks of 10 s that have just begun, nothing is known but their mean: a quarter or so
	// ends in the 5.5 s that a machine takes to boot.
	if n := f.planAndCountRequested(); n < 5 || n > 7 {
		t.Errorf("%d machines rented for 8 tasks beside a fleet that has just begun, want 5 to 7", n)
	}
	// What has waited for as long as a machine takes to boot does not wait as long again.
	f.step(JobChanged{
		JobID: "job-3", Version: 500, SinceSubmission: 20 * time.Second, Record: waitingJob("job-3", "blue", 4, false),
	})
	if n := f.planAndCountRequested(); n < 9 || n > 11 {
		t.Errorf("%d machines rented with 4 more tasks that have waited long, want 9 to 11", n)
	}
}

// TestPlanOnIdleFleet: machines that are idle are used before others are rented.
func TestIdleMachinesUsedBeforeRenting(t *testing.T) {
	f := newSchedulerFixture(t, 10)
	for i := range 10 {
		f.sendHeartbeat(i)
	}
	f.submitJob("job-2", "blue", "high", 8, 8, 20)
	if n := f.planAndCountRequested(); n != 0 {
		t.Errorf("%d machines rented for 8 tasks beside an idle fleet", n)
	}
}

// startAll answers the direct commands of the last event: all their tasks run.
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
