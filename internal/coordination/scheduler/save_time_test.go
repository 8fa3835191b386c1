package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestLongSaveTimeDoesNotHoldResources guards against a task that holds its resources for as long as its user says that
// it needs to save, up to 10^12 seconds, while the job that preempts it and the return of a machine wait for it.
func TestLongSaveTimeDoesNotHoldResources(t *testing.T) {
	longest := limits.MaxSaveTime.Seconds()
	for _, c := range []struct{ saveS, wantGraceS float64 }{
		{5e-324, limits.SaveMargin.Seconds()},
		{3, 3 + limits.SaveMargin.Seconds()},
		{longest, longest + limits.SaveMargin.Seconds()},
		{longest + 1, 0},
		{limits.MaxAmount, 0},
	} {
		f := newSchedulerFixture(t, 1)
		f.sendHeartbeat(0)
		f.submitSpec(protocol.Spec{
			ID: "job-1", Team: "red", Priority: "low", Tasks: 1, CPUs: 8,
			EstimateS: 1000, CheckpointS: 10, SaveS: c.saveS,
		})
		running := runningStatus(f.directCommands()[0].Commands[0])
		f.runFor(10*time.Second, running)
		f.submitJob("job-2", "blue", "high", 1, 4, 12)
		var stop *protocol.Command
		for _, command := range f.sendHeartbeat(0, running) {
			if command.Verb == protocol.CommandStop {
				stop = &command
			}
		}
		if stop == nil || *stop.GraceS != c.wantGraceS {
			t.Errorf("with %v s to save, the stop is %+v; want a grace of %v s", c.saveS, stop, c.wantGraceS)
		}
		g := &gang{job: f.scheduler.jobs.find("job-1"), stopStartedAt: f.now}
		if wait := f.scheduler.gangs.saveDeadline(g) - f.now; wait < 0 || wait > limits.MaxSaveTime+time.Minute {
			t.Errorf("with %v s to save, the return of a gang's machine waits for %v", c.saveS, wait)
		}
	}
}
