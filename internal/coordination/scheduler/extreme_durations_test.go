package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestExtremeDurationsAreNotInThePast guards against times that are valid but beyond the range of a duration, from
// users, workers, the cloud and the settings: what is far in the future must not count as over.
func TestExtremeDurationsAreNotInThePast(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.submitJob("job-1", "red", "standard", 1, 4, limits.MaxAmount)
	if slack, late := f.scheduler.queue.slack(f.scheduler.jobs.find("job-1")); late || slack < time.Hour {
		t.Errorf("a job that is due in %v s has the slack %v, late: %v", limits.MaxAmount, slack, late)
	}

	j := f.submitSpec(protocol.Spec{
		ID: "job-2", Team: "red", Priority: "low", Tasks: 1, CPUs: 1,
		EstimateS: limits.MaxAmount, CheckpointS: 1, SaveS: limits.MaxAmount, DeadlineS: 100,
	})
	if slack, late := f.scheduler.queue.slack(j); !late {
		t.Errorf("a job that runs for %v s and is due in 100 s has the slack %v", limits.MaxAmount, slack)
	}
	if deadline := f.scheduler.gangs.saveDeadline(&gang{job: j, stopStartedAt: f.now}); deadline < f.now {
		t.Errorf("a gang that saves for %v s is given up at %v; now it is %v", limits.MaxAmount, deadline, f.now)
	}

	m := f.scheduler.inventory.find(f.machine(1))
	slowBoot := *m.machineType
	slowBoot.BootS = limits.MaxAmount
	m.machineType = &slowBoot
	f.now += time.Hour
	f.scheduler.beginStep(f.now)
	if f.scheduler.hasBootTimedOut(m) {
		t.Errorf("a machine that boots for %v s has timed out after %v", limits.MaxAmount, f.now)
	}

	notice := f.heartbeat(f.machine(0))
	notice.SpotNoticeS = seconds(1e300)
	f.step(HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: notice})
	if at := f.scheduler.inventory.find(f.machine(0)).spotReclaimAt; at < f.now {
		t.Errorf("a machine that is reclaimed in 1e300 s is reclaimed at %v; now it is %v", at, f.now)
	}

	env := newEnvironment(Config{Workers: config.WorkerTimes{LeaseS: limits.MaxAmount}}, 0)
	if env.workerLease < time.Hour {
		t.Errorf("a worker lease of %v s is %v", limits.MaxAmount, env.workerLease)
	}
}
