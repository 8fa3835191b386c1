package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestPlacementWaitsForUnreportedMachines: after a failover a machine that does not answer probes holds up all placement. If
// it is one of a few it is deleted soon, and the work goes on once its deletion is confirmed; many
// together may be behind a network partition and are waited for.
func TestPlacementWaitsForUnreportedMachines(t *testing.T) {
	for _, c := range []struct {
		unreported int
		waits      bool
	}{{1, false}, {20, true}} {
		t.Run(fmt.Sprintf("%d unreported", c.unreported), func(t *testing.T) {
			f := newSchedulerFixture(t, 40)
			for i := c.unreported; i < 40; i++ {
				f.sendHeartbeat(i)
			}
			f.submitJob("job-1", "red", "standard", 1, 1, 0)
			deleted := map[string]bool{}
			for f.now < 5*time.Second {
				f.now += 500 * time.Millisecond
				for _, effect := range f.tick() {
					switch e := effect.(type) {
					case ProbeMachine:
						f.step(ProbeDone{Machine: e.Machine})
					case DeleteMachines:
						for _, name := range e.Machines {
							deleted[name] = true
						}
						f.step(DeletionDone{Machines: e.Machines, OK: true})
					}
				}
			}
			if recovered := f.scheduler.recovery.hasEnded(); recovered == c.waits || (len(deleted) == 0) != c.waits {
				t.Errorf("recovered %v, deleted %v", recovered, deleted)
			}
		})
	}
}

// TestRecoveryWaitsForLeaseOfAnsweredMachine: a machine of which a new leader has answered a heartbeat, but not
// handled the next one, may go on with its tasks for a whole lease from then. Recovery does not end
// before that, or a task of it would be started elsewhere: seen on controllers too busy to handle
// heartbeats in time.
func TestRecoveryWaitsForLeaseOfAnsweredMachine(t *testing.T) {
	f := newSchedulerFixture(t, 2)
	f.sendHeartbeat(0)
	f.submitJob("job-1", "red", "standard", 4, 4, 0)
	lease := limits.LeaseExpiredAfter(14 * time.Second)
	starts := func() (n int) {
		for _, direct := range f.directCommands() {
			n += countVerb(direct.Commands, protocol.CommandStart)
		}
		return n
	}
	f.now = 13 * time.Second
	unfenced := f.heartbeatWith(1, 9, running(protocol.Command{Task: "job-1/0", Attempt: 7}))
	unfenced.FencingToken = 2
	if !f.reply(HeartbeatReceived{Entitled: true, Heartbeat: unfenced}).Accepted {
		t.Fatal("not accepted")
	}
	for end := f.now + lease; f.now < end; {
		f.now += time.Second
		if f.now < end {
			f.sendHeartbeat(0)
			if f.scheduler.recovery.hasEnded() || starts() > 0 {
				t.Fatalf("placed at %v, the answered machine's lease lasts until %v", f.now, end)
			}
		}
	}
	f.sendHeartbeat(0)
	if !f.scheduler.recovery.hasEnded() {
		t.Error("not recovered although every lease is over")
	}
}
