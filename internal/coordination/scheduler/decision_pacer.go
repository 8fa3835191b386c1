package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// decisionPacer limits the share of the leader's time that placement passes and capacity plans take while the
// leader is behind, whatever they cost with the present machines and jobs. The rest is for the heartbeats and the
// questions of users that wait for the leader meanwhile. A pass or plan that has to wait stays requested.
type decisionPacer struct {
	*environment
	passRan, planRan       bool          // in the current step
	nextPassAt, nextPlanAt time.Duration // neither runs before
}

// newDecisionPacer returns a pacer for which nothing has taken any time yet.
func newDecisionPacer(env *environment) *decisionPacer { return &decisionPacer{environment: env} }

// tryBeginPass reports whether a placement pass may run now.
func (p *decisionPacer) tryBeginPass() bool {
	if p.now < p.nextPassAt {
		return false
	}
	p.passRan = true
	return true
}

// tryBeginPlan reports whether a capacity plan may be made now.
func (p *decisionPacer) tryBeginPlan() bool {
	if p.now < p.nextPlanAt {
		return false
	}
	p.planRan = true
	return true
}

// recordDuration records how long the current step has taken.
func (p *decisionPacer) recordDuration(took time.Duration) {
	if p.passRan {
		p.nextPassAt = p.now + took + pauseAfter(took, limits.PassTimeShare)
	}
	if p.planRan {
		p.nextPlanAt = p.now + took + pauseAfter(took, limits.PlanTimeShare)
	}
	p.passRan, p.planRan = false, false
}

// pauseAfter returns the pause after work that took some time, with which it takes the given share of the time.
func pauseAfter(took time.Duration, share float64) time.Duration {
	return min(limits.Scale(took, (1-share)/share), limits.MaxDecisionPause)
}

// RecordDuration tells the scheduler how long the leader's last call of Step took, or 0 if nothing waited for the
// leader meanwhile. The scheduler has no clock of its own. Without this call, a step counts as having taken no time.
func (s *Scheduler) RecordDuration(took time.Duration) { s.pacer.recordDuration(took) }
