package scheduler

import (
	"testing"

	"quillshunt/internal/protocol"
)

// TestGangNext: what is to be done with a gang, and its state after that, for what its assignments
// show.
func TestGangNextAction(t *testing.T) {
	sent := func(state assignmentState, attempt uint64) *assignment {
		return &assignment{state: state, attempt: attempt}
	}
	stopping := func(state assignmentState) *assignment { return &assignment{state: state, attempt: 7, stopping: true} }
	unsent := &assignment{state: stateUnsent, attempt: 7}
	for _, c := range []struct {
		name        string
		state       gangState
		abortReason string
		assignments []*assignment // of two tasks
		recovering  bool
		wantAction  gangAction
		wantState   gangState
	}{
		{name: "placed", state: gangPlaced, assignments: []*assignment{unsent, unsent},
			wantAction: gangContinue, wantState: gangPlaced},
		{name: "placed, one lost", state: gangPlaced, assignments: []*assignment{unsent},
			wantAction: gangRelease, wantState: gangPlaced},
		{name: "one start sent", state: gangPlaced, assignments: []*assignment{sent(stateSent, 7), unsent},
			wantAction: gangContinue, wantState: gangGathering},
		{name: "gathering, one lost", state: gangGathering, assignments: []*assignment{sent(stateGathering, 7)},
			wantAction: gangReplaceLost, wantState: gangGathering},
		{name: "seen running", state: gangGathering,
			assignments: []*assignment{sent(stateRunning, 7), sent(stateGathering, 7)},
			wantAction:  gangContinue, wantState: gangRunning},
		{name: "running, one lost", state: gangRunning, assignments: []*assignment{sent(stateRunning, 7)},
			wantAction: gangAbort, wantState: gangRunning},
		{name: "running, one lost, recovery not ended", state: gangWaiting,
			assignments: []*assignment{sent(stateRunning, 7)}, recovering: true,
			wantAction: gangContinue, wantState: gangRunning},
		{name: "gave up", state: gangGathering, abortReason: "incomplete",
			assignments: []*assignment{sent(stateGathering, 7)},
			wantAction:  gangStop, wantState: gangGathering},
		{name: "two attempts", state: gangWaiting,
			assignments: []*assignment{sent(stateGathering, 7), sent(stateGathering, 8)},
			wantAction:  gangStop, wantState: gangGathering},
		{name: "one stopping, recovery not ended", state: gangRunning,
			assignments: []*assignment{sent(stateRunning, 7), stopping(stateRunning)}, recovering: true,
			wantAction: gangStop, wantState: gangRunning},
		{name: "one saving", state: gangRunning,
			assignments: []*assignment{sent(stateRunning, 7), sent(stateSaving, 7)},
			wantAction:  gangStop, wantState: gangRunning},
		{name: "stopping", state: gangStopping, assignments: []*assignment{stopping(stateRunning)},
			wantAction: gangStop, wantState: gangStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &job{spec: protocol.Spec{Shape: protocol.ShapeGang, Tasks: 2}, assignments: map[int]*assignment{}}
			for i, a := range c.assignments {
				j.assignments[i] = a
			}
			g := &gang{job: j, state: c.state, abortReason: c.abortReason}
			action, _ := g.nextAction(g.summarize(), !c.recovering)
			if action != c.wantAction || g.state != c.wantState {
				t.Errorf("action %d, state %s; want %d, %s", action, g.state, c.wantAction, c.wantState)
			}
		})
	}
}

// TestGangTaskEnded: what the end of one task tells of the gang.
func TestGangTaskEnded(t *testing.T) {
	for _, c := range []struct {
		name      string
		reason    protocol.EndReason
		stopping  bool
		wantState gangState
		wantAbort bool
	}{
		{"not complete in time", protocol.ReasonIncomplete, false, gangGathering, true},
		{"another one ended, so it had started", protocol.ReasonPeers, false, gangRunning, false},
		{"stopped by an earlier leader", protocol.ReasonStopped, false, gangGathering, true},
		{"stopped by this leader", protocol.ReasonStopped, true, gangGathering, false},
		{"failed", protocol.ReasonError, false, gangGathering, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &gang{state: gangGathering}
			g.taskEnded(&assignment{stopping: c.stopping}, c.reason)
			if g.state != c.wantState || (g.abortReason != "") != c.wantAbort {
				t.Errorf("state %s, abort reason %q", g.state, g.abortReason)
			}
		})
	}
}

// TestGangReset: a gang that starts again knows nothing of the attempt before, but stays on its list.
func TestGangReset(t *testing.T) {
	j := &job{spec: protocol.Spec{Shape: protocol.ShapeGang, Tasks: 2}}
	g := &gang{
		job: j, state: gangStopping, attempt: 7, abortReason: "incomplete", awaitsCommit: true,
		machinesWithLostTasks: map[string]bool{"m-1": true},
	}
	g.reset()
	if g.state != gangWaiting || g.attempt != 0 || g.abortReason != "" || len(g.machinesWithLostTasks) != 0 {
		t.Errorf("after the reset: %+v", g)
	}
	if g.job != j || !g.awaitsCommit {
		t.Errorf("job or list forgotten: %+v", g)
	}
}
