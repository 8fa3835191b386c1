package scheduler

import (
	"testing"

	"quillshunt/internal/protocol"
)

// TestGangNextAction checks the action that is chosen for a gang, and the gang's state after that,
// for combinations of its previous state and the states of its assignments.
func TestGangNextAction(t *testing.T) {
	sent := func(state assignmentState, attempt uint64) *assignment {
		return &assignment{state: state, attempt: attempt}
	}
	stopping := func(state assignmentState) *assignment { return &assignment{state: state, attempt: 7, stopping: true} }
	unsent := &assignment{state: stateUnsent, attempt: 7}
	for _, c := range []struct {
		name        string
		state       gangState
		stopReason  string
		assignments []*assignment // the gang has two tasks
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
		{name: "reason to stop known", state: gangGathering, stopReason: "incomplete",
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
			g := &gang{job: j, state: c.state, stopReason: c.stopReason}
			action, _ := g.nextAction(g.summarize(), !c.recovering)
			if action != c.wantAction || g.state != c.wantState {
				t.Errorf("action %d, state %s; want action %d, state %s", action, g.state, c.wantAction, c.wantState)
			}
		})
	}
}

// TestGangTaskEnded checks how the reason for which one task ended changes the gang's state and its
// stop reason.
func TestGangTaskEnded(t *testing.T) {
	for _, c := range []struct {
		name      string
		reason    protocol.EndReason
		stopping  bool
		wantState gangState
		wantStop  bool
	}{
		{"gang not complete in time", protocol.ReasonGangIncomplete, false, gangGathering, true},
		{"another task ended, so the gang had started", protocol.ReasonPeerLost, false, gangRunning, false},
		{"stopped by an earlier leader", protocol.ReasonStopped, false, gangGathering, true},
		{"stopped by this leader", protocol.ReasonStopped, true, gangGathering, false},
		{"failed", protocol.ReasonError, false, gangGathering, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &gang{state: gangGathering}
			g.handleTaskEnded(&assignment{stopping: c.stopping}, c.reason)
			if g.state != c.wantState || (g.stopReason != "") != c.wantStop {
				t.Errorf("state %s, stop reason %q; want state %s, a stop reason: %v",
					g.state, g.stopReason, c.wantState, c.wantStop)
			}
		})
	}
}

// TestGangReset checks that a reset discards all data of the last attempt, but keeps the job and the
// flag that the gang is in the list for commitGangs.
func TestGangReset(t *testing.T) {
	j := &job{spec: protocol.Spec{Shape: protocol.ShapeGang, Tasks: 2}}
	g := &gang{
		job: j, state: gangStopping, attempt: 7, stopReason: "incomplete", awaitsCommit: true,
		machinesWithLostTasks: map[string]bool{"m-1": true},
	}
	g.reset()
	if g.state != gangWaiting || g.attempt != 0 || g.stopReason != "" || len(g.machinesWithLostTasks) != 0 {
		t.Errorf("data of the last attempt left after the reset: %+v", g)
	}
	if g.job != j || !g.awaitsCommit {
		t.Errorf("job or awaitsCommit lost in the reset: %+v", g)
	}
}
