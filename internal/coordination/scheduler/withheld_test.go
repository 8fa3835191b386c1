package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/protocol"
)

// TestRejectedHeartbeatHasReason checks that each heartbeat that is not accepted says why.
func TestRejectedHeartbeatHasReason(t *testing.T) {
	for _, c := range []struct {
		reason WithheldReason
		change func(f *schedulerFixture, e *HeartbeatReceived)
	}{
		{"", func(*schedulerFixture, *HeartbeatReceived) {}},
		{WithheldNotEntitled, func(_ *schedulerFixture, e *HeartbeatReceived) { e.Entitled = false }},
		{WithheldMalformed, func(_ *schedulerFixture, e *HeartbeatReceived) { e.Heartbeat.Machine = "" }},
		{WithheldLaterTerm, func(f *schedulerFixture, e *HeartbeatReceived) {
			e.Heartbeat.FencingToken = f.scheduler.LastFencingToken() + 1
		}},
		{WithheldMachineDeleted, func(f *schedulerFixture, _ *HeartbeatReceived) {
			f.step(DeletionDone{Machines: []string{f.machine(0)}, Confirmed: true})
		}},
		{WithheldOutdated, func(f *schedulerFixture, e *HeartbeatReceived) {
			f.sendHeartbeat(0)
			e.Heartbeat.Sequence = 1
		}},
		{WithheldCancelledTask, func(f *schedulerFixture, _ *HeartbeatReceived) {
			f.cancel("job-1", 33*time.Second)
		}},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			f := newSchedulerFixture(t, 2)
			f.sendHeartbeat(0)
			f.sendHeartbeat(1)
			f.submitJob("job-1", "red", "standard", 2, 8, 0)
			e := HeartbeatReceived{Entitled: true, SameConnection: true, Heartbeat: f.heartbeat(f.machine(0))}
			c.change(f, &e)
			if reply := f.replyTo(e); reply.Reason != c.reason || reply.Accepted != (c.reason == "") {
				t.Errorf("reply %+v, want reason %q", reply, c.reason)
			}
		})
	}
}

// TestWithheldCommandsAreCounted checks that a start that cannot be sent yet is counted with the reason.
func TestWithheldCommandsAreCounted(t *testing.T) {
	for _, c := range []struct {
		reason WithheldReason
		cause  func(f *schedulerFixture)
	}{
		{WithheldRecovery, func(f *schedulerFixture) {
			f.submitJob("job-1", "red", "standard", 1, 1, 0) // machine 1 has not reported
		}},
		{WithheldUnregistered, func(f *schedulerFixture) {
			f.sendHeartbeat(1)
			for i := range 2 {
				f.scheduler.inventory.find(f.machine(i)).registration = registering
			}
			f.submitJob("job-1", "red", "standard", 1, 1, 0)
		}},
		{WithheldCommandInFlight, func(f *schedulerFixture) {
			f.sendHeartbeat(1)
			f.submitJob("job-1", "red", "standard", 2, 8, 0) // fills both machines
			f.cancel("job-1", 0)
		}},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			f := newSchedulerFixture(t, 2)
			f.sendHeartbeat(0)
			c.cause(f)
			withheld := effectsOf[CommandsWithheld](f.effects)
			if len(withheld) != 1 || withheld[0].Counts[c.reason] == 0 {
				t.Errorf("withheld %+v, want a count of %q", withheld, c.reason)
			}
			starts := 0
			for _, sent := range f.directCommands() {
				starts += countVerb(sent.Commands, protocol.CommandStart)
			}
			if starts != 0 {
				t.Errorf("%d starts sent, want none", starts)
			}
		})
	}
}
