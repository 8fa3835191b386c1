package scheduler

import (
	"runtime"
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// newRegisteredFleet returns a large fleet whose machines are all registered and report to the returned scheduler.
func newRegisteredFleet(t *testing.T, machines int) (*largeFleet, *Scheduler) {
	t.Helper()
	f := newLargeFleet(t, machines)
	f.storeRentals()
	s := f.startTerm(3, 0)
	f.loadState(s)
	for f.countRegistered() < machines {
		f.reportAll(s)
		f.tick(s, 1)
	}
	return f, s
}

// markRunning records that all tasks of a job run since now.
func (f *largeFleet) markRunning(j *job) {
	for _, a := range j.assignments {
		a.state, a.runningSince = stateRunning, f.now
	}
	if j.gang != nil {
		j.gang.state = gangRunning
	}
}

// TestPreemptingGangCostGrowsWithItsTasks guards against a leader that stops answering while it places a large gang
// that preempts independent tasks: the search must not filter all machines again for each task of the gang. It
// counts allocations, of which the filter makes some for each machine, as they do not depend on the load of the
// machine that runs the test.
func TestPreemptingGangCostGrowsWithItsTasks(t *testing.T) {
	const machines, maxAllocationsPerTask = 1000, 300
	f, s := newRegisteredFleet(t, machines)
	f.submit(s, 9998, protocol.Spec{ID: "job-1", Class: "c", Shape: protocol.ShapeArray, Tasks: 8 * machines, CPUs: 1})
	f.markRunning(s.jobs.find("job-1"))

	gang := protocol.Spec{
		ID: "job-2", Class: "c", Team: "red", Shape: protocol.ShapeGang, Priority: "high", Tasks: machines, CPUs: 4,
		MemoryGB: 1, Image: "i", EstimateS: 10, DeadlineS: 12,
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s.Step(JobChanged{JobID: gang.ID, Version: 9999, Record: storage.OpenJob{Spec: gang}}, f.now)
	runtime.ReadMemStats(&after)
	if placed := len(s.jobs.find("job-2").assignments); placed != machines {
		t.Fatalf("%d of %d tasks of the gang are placed", placed, machines)
	}
	if perTask := (after.Mallocs - before.Mallocs) / machines; perTask > maxAllocationsPerTask {
		t.Errorf("%d allocations for each task of the gang, want at most %d", perTask, maxAllocationsPerTask)
	}
}

// TestGangPreemptionCostIsComputedOncePerPass guards against a search for victims whose time grows with the machines
// times the tasks of a gang that runs on them: within a pass, the cost of a gang is not computed again for each of
// its machines, and the next pass computes it anew.
func TestGangPreemptionCostIsComputedOncePerPass(t *testing.T) {
	f, s := newRegisteredFleet(t, 50)
	f.submit(s, 9998, protocol.Spec{ID: "job-1", Class: "c", Shape: protocol.ShapeGang, Tasks: 50, CPUs: 8})
	j := s.jobs.find("job-1")
	f.markRunning(j)
	s.beginStep(f.now + 10*time.Second)
	s.placement.beginPass()
	if cost := s.placement.preemptionCost(j.assignments[0]); cost != 50*11*8 {
		t.Errorf("preempting 50 tasks with 8 CPUs that have run for 10 s costs %v CPU seconds, want %v", cost, 50*11*8)
	}
	j.assignments[1].runningSince = s.now // no event does that within a pass
	if cost := s.placement.preemptionCost(j.assignments[2]); cost != 50*11*8 {
		t.Errorf("cost computed again for another task in the same pass: %v", cost)
	}
	s.placement.beginPass()
	if cost := s.placement.preemptionCost(j.assignments[2]); cost != (49*11+1)*8 {
		t.Errorf("cost in the next pass %v, want %v", cost, (49*11+1)*8)
	}
}
