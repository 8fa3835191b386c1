package scheduler

import (
	"testing"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestPassLeavesTasksToTheNext guards against a pass that places all tasks of the largest jobs in one step, while no
// heartbeat is answered: a step places a bounded number of tasks, and the following ones the rest, without an event
// that concerns the job.
func TestPassLeavesTasksToTheNext(t *testing.T) {
	const machines, tasks = 250, 3*limits.MaxPlacementsPerPass + 1
	f, s := newRegisteredFleet(t, machines)
	f.submit(s, 9998, protocol.Spec{ID: "job-1", Class: "c", Shape: protocol.ShapeArray, Tasks: tasks, CPUs: 0.01})
	j := s.jobs.find("job-1")
	for want := limits.MaxPlacementsPerPass; want < tasks; want += limits.MaxPlacementsPerPass {
		if placed := len(j.assignments); placed != want {
			t.Fatalf("%d tasks placed, want %d", placed, want)
		}
		f.step(s, Tick{Entitled: true})
	}
	if waiting := j.waitingTasks(); waiting != 0 {
		t.Errorf("%d tasks are left waiting", waiting)
	}
}
