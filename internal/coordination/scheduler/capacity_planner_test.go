package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// TestCheapestPool: machines are rented where they cost least for as long as that pool gives them,
// and the rest at once elsewhere.
func TestCheapestPool(t *testing.T) {
	b := newSchedulerFixture(t, 0)
	b.step(MachineTypesFetched{OK: true, Types: []protocol.MachineType{{Name: "s8", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 2, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}})
	b.scheduler.cfg.CloudRPS = 4
	b.step(JobChanged{JobID: "job-1", Version: 100, Record: storage.OpenJob{Spec: protocol.Spec{ID: "job-1", Class: "c", Team: "red", Shape: "sweep",
		Priority: "high", Tasks: 5000, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10, Spot: true}}})
	b.scheduler.jobs.teams["red"].cfg.CPUsMax = 1e6
	rented := func() (spot, dear int) {
		for b.now += time.Second; ; b.now += time.Second {
			b.step(Tick{Entitled: true})
			for _, h := range b.scheduler.rentals.all() {
				if h.isPending() && h.record.Spot {
					spot++
				} else if h.isPending() {
					dear++
				}
			}
			if spot+dear > 0 {
				return spot, dear
			}
		}
	}
	if spot, dear := rented(); spot != 4 || dear != 0 {
		t.Fatalf("%d requests to the cheap pool and %d to the dear one, want all that the cloud takes to the cheap one", spot, dear)
	}
	for _, h := range b.scheduler.rentals.all() {
		h.state = rentalRequested
		b.step(RentalDone{Name: h.name, NoCapacity: true})
	}
	if spot, dear := rented(); spot > 1 || dear == 0 {
		t.Errorf("%d requests to the pool that refused and %d to the other", spot, dear)
	}
}

// TestPlanByStarts: machines are rented for all tasks that can't start before a new machine would
// be up, however much a busy fleet could work off later; what starts before needs none.
func TestPlanByStarts(t *testing.T) {
	b := newSchedulerFixture(t, 10)
	b.scheduler.cfg.CloudRPS = 100
	for i := range 10 {
		b.report(i)
	}
	b.job("job-1", "red", "high", 10, 8, 0)
	for _, d := range b.direct() { // each machine is full, and has just begun
		r := &protocol.Heartbeat{Machine: d.Machine, Incarnation: 1, Sequence: 100, FencingToken: 3}
		for _, o := range d.Commands {
			r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskRunning})
		}
		b.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: r})
	}
	b.job("job-2", "blue", "high", 8, 8, 20)
	wanted := func() int {
		b.scheduler.planner.planNow()
		b.step(Tick{Entitled: true})
		n := 0
		for _, h := range b.scheduler.rentals.all() {
			if h.isPending() {
				n += h.record.Count
			}
		}
		return n
	}
	// Of ten tasks of 10 s that have just begun, nothing is known but their mean: a quarter or so
	// ends in the 5.5 s that a machine takes to boot.
	if n := wanted(); n < 5 || n > 7 {
		t.Errorf("%d machines wanted for 8 tasks beside a fleet that has just begun, want 5 to 7", n)
	}
	// What has waited for as long as a machine takes to boot does not wait as long again.
	b.step(JobChanged{JobID: "job-3", Version: 500, SinceSubmission: 20 * time.Second, Record: storage.OpenJob{Spec: protocol.Spec{ID: "job-3", Class: "c", Team: "blue", Shape: "sweep",
		Priority: "high", Tasks: 4, CPUs: 8, MemoryGB: 1, Image: "i", EstimateS: 10}}})
	if n := wanted(); n < 9 || n > 11 {
		t.Errorf("%d machines wanted with 4 more tasks that have waited long, want 9 to 11", n)
	}
	b = newSchedulerFixture(t, 10)
	for i := range 10 {
		b.report(i)
	}
	b.job("job-2", "blue", "high", 8, 8, 20)
	if n := wanted(); n != 0 {
		t.Errorf("%d machines wanted for 8 tasks beside an idle fleet", n)
	}
}
