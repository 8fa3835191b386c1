package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestPassesLeaveTimeForHeartbeats guards against a leader that spends all its time on placement passes, so that
// the heartbeats of its machines and the questions of users wait without end.
func TestPassesLeaveTimeForHeartbeats(t *testing.T) {
	const machines, passTook, heartbeatTook, duration = 20, 30 * time.Millisecond, time.Millisecond, 20 * time.Second
	s := newSchedulerWithReports(machines, machines)
	inPasses, sequence := time.Duration(0), uint64(1)
	now := time.Second
	for end := now + duration; now < end; sequence++ {
		s.placement.requestPass()
		s.Step(HeartbeatReceived{
			Heartbeat: benchmarkHeartbeat(int(sequence)%machines, sequence, []protocol.TaskStatus{}),
			ReplyTo:   machineResponder(0), Entitled: true, SameConnection: true,
		}, now)
		took := heartbeatTook
		if s.pacer.passRan {
			took += passTook
			inPasses += passTook
		}
		s.RecordDuration(took)
		now += took
	}
	share := inPasses.Seconds() / duration.Seconds()
	if share > 1.1*limits.PassTimeShare || share < limits.PassTimeShare/2 {
		t.Errorf("passes took %.2f of the time, want about %.2f", share, limits.PassTimeShare)
	}
}

// TestPauseAfterStandstillIsBounded guards against a leader that places nothing for minutes because its process
// stood still during a pass.
func TestPauseAfterStandstillIsBounded(t *testing.T) {
	if pause := pauseAfter(time.Minute, limits.PassTimeShare); pause > limits.MaxDecisionPause {
		t.Errorf("pause of %v after a minute", pause)
	}
}
