package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestPlacementWaitsForUnreportedMachines checks when placement begins after a failover if some machines do
// not answer probes, as it waits for all of them. If they are few, they are deleted soon, and placement
// begins when their deletion is confirmed. If they are many, a network partition is the likely cause,
// so they are not deleted and placement waits for them.
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
						f.step(DeletionDone{Machines: e.Machines, Confirmed: true})
					}
				}
			}
			if recovered := f.scheduler.recovery.hasEnded(); recovered == c.waits || (len(deleted) == 0) != c.waits {
				t.Errorf("recovery ended: %v, want %v; deleted machines: %v", recovered, !c.waits, deleted)
			}
		})
	}
}

// TestRecoveryWaitsForLeaseOfAnsweredMachine guards against running a task twice. If a new leader has
// answered a machine's heartbeat but not yet processed the next one, the machine may run its tasks for a
// full lease from that reply. If recovery ended earlier, such a task would also be started elsewhere.
// This happened on controllers that were too busy to process heartbeats in time.
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
	unfenced := f.heartbeatWithSequence(1, 9, runningStatus(protocol.Command{Task: "job-1/0", Attempt: 7}))
	unfenced.FencingToken = 2
	if !f.replyTo(HeartbeatReceived{Entitled: true, Heartbeat: unfenced}).Accepted {
		t.Fatal("heartbeat with an earlier term's fencing token not accepted")
	}
	for end := f.now + lease; f.now < end; {
		f.now += time.Second
		if f.now < end {
			f.sendHeartbeat(0)
			if f.scheduler.recovery.hasEnded() || starts() > 0 {
				t.Fatalf("recovery ended or task started at %v; the answered machine's lease ends at %v", f.now, end)
			}
		}
	}
	f.sendHeartbeat(0)
	if !f.scheduler.recovery.hasEnded() {
		t.Error("recovery has not ended although all earlier leases have expired")
	}
}
