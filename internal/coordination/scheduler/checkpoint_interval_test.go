package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// stepTimeout is far longer than any step of a test takes, and far shorter than a step that hangs.
const stepTimeout = 20 * time.Second

// requireReturn fails the test if call does not return within stepTimeout. The goroutine that hangs then ends
// with the test process.
func requireReturn(t *testing.T, call func()) {
	t.Helper()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		call()
	}()
	select {
	case <-returned:
	case <-time.After(stepTimeout):
		t.Fatalf("the scheduler does not return from a step within %v", stepTimeout)
	}
}

// submitPreemptible opens a job of low priority with one task of 4 CPUs that saves checkpoints at an interval.
func (f *schedulerFixture) submitPreemptible(id string, checkpointS float64) {
	f.submitSpec(protocol.Spec{
		ID: id, Team: "red", Priority: "low", Tasks: 1, CPUs: 4, EstimateS: 1000, CheckpointS: checkpointS, SaveS: 1,
	})
}

// runFor sends heartbeats of machine 0 with the given tasks every two seconds.
func (f *schedulerFixture) runFor(duration time.Duration, tasks ...protocol.TaskStatus) {
	f.t.Helper()
	for end := f.now + duration; f.now < end; f.now += 2 * time.Second {
		f.sendHeartbeat(0, tasks...)
		f.tick()
	}
}

// TestShortCheckpointIntervalsDoNotBlockPreemption guards against a leader that stops answering for good when it
// considers to preempt a task with a checkpoint interval far shorter than its run time: the search for victims must
// end, and prefer the task that loses less work since its last checkpoint.
func TestShortCheckpointIntervalsDoNotBlockPreemption(t *testing.T) {
	for _, checkpointS := range []float64{5e-324, 1e-300, 1e-12, 1e-9, 1.5e-9, 1e-6} {
		t.Run(fmt.Sprint(checkpointS), func(t *testing.T) {
			f := newSchedulerFixture(t, 1)
			f.submitPreemptible("job-1", 0)
			f.submitPreemptible("job-2", checkpointS)
			running := []protocol.TaskStatus{}
			for _, command := range f.sendHeartbeat(0) {
				running = append(running, runningStatus(command))
			}
			for _, command := range f.directCommands() {
				for _, start := range command.Commands {
					running = append(running, runningStatus(start))
				}
			}
			f.runFor(time.Hour, running...)
			requireReturn(t, func() { f.submitJob("job-3", "blue", "high", 1, 4, 12) })
			if a := f.scheduler.jobs.find("job-2").assignments[0]; a == nil || !a.stopping {
				t.Errorf("job-2 is not preempted, although its checkpoints are more recent: %+v", a)
			}
			if a := f.scheduler.jobs.find("job-1").assignments[0]; a == nil || a.stopping {
				t.Errorf("job-1 is preempted, although it has no checkpoints: %+v", a)
			}
		})
	}
}

// TestUnsavedRunTime checks the run time that counts as lost when a task is stopped: the remainder of its run time
// by its checkpoint interval, for intervals from the smallest to the largest that a submission may have.
func TestUnsavedRunTime(t *testing.T) {
	const ran = 25*time.Second + 3
	for _, c := range []struct {
		checkpointS float64
		want        time.Duration
	}{
		{0, ran},
		{5e-324, 0},
		{1e-9, 0},
		{2e-9, 1},
		{10, 5*time.Second + 3},
		{25, 3},
		{26, ran},
		{limits.MaxAmount, ran},
	} {
		a := &assignment{job: &job{spec: protocol.Spec{CheckpointS: c.checkpointS}}, state: stateRunning}
		if got := a.unsavedRunTime(ran); got != c.want {
			t.Errorf("with checkpoints every %v s, %v of %v are unsaved, want %v", c.checkpointS, got, ran, c.want)
		}
		if a.state = stateFetching; a.unsavedRunTime(ran) != 0 {
			t.Errorf("with checkpoints every %v s, a task that does not run has unsaved work", c.checkpointS)
		}
	}
}
