package scheduler

import (
	"time"

	"quillshunt/internal/coordination/placement"
)

// preemptionOption is a task or the tasks of a gang on a machine that may be preempted.
type preemptionOption = placement.Option[*assignment]

// chooseVictims are the tasks to stop on the chosen machine: the cheapest set that makes room for
// the request.
func (s *Scheduler) chooseVictims(j *job, c *candidate, planned *plannedView) ([]*assignment, bool) {
	if c.Scores[placement.Overcommit] == 0 {
		return nil, true
	}
	options := s.preemptionOptions(j, c.Target, planned)
	set := placement.CheapestVictims(options, j.demand.Minus(planned.freeResources(c.Target)))
	if set == nil {
		return nil, false
	}
	out := make([]*assignment, len(set))
	for i, k := range set {
		out[i] = options[k].Task
	}
	return out, true
}

// preemptionOptions are the tasks on a machine that may be stopped for a job. A gang counts once,
// with the room of all its tasks there and the loss of all its tasks anywhere, as it is stopped as
// a whole.
func (s *Scheduler) preemptionOptions(j *job, m *machine, planned *plannedView) []preemptionOption {
	var out []preemptionOption
	gangs := map[*job]int{}
	for _, b := range m.sortedAssignments() {
		if planned.isStopped(b) || !s.mayPreempt(j, b) {
			continue
		}
		if b.job.gang == nil {
			out = append(out, preemptionOption{Task: b, Resources: b.job.demand, Cost: s.preemptionCost(b)})
			continue
		}
		if i, seen := gangs[b.job]; seen {
			out[i].Resources = out[i].Resources.Plus(b.job.demand)
			continue
		}
		gangs[b.job] = len(out)
		out = append(out, preemptionOption{Task: b, Resources: b.job.demand, Cost: s.gangPreemptionCost(b.job)})
	}
	return out
}

// mayPreemptNow tells whether waiting for room would break one of the job's times. Only then is
// room taken at somebody else's cost.
func (s *Scheduler) mayPreemptNow(j *job) bool {
	slack, late := s.queue.slack(j)
	return !late && slack < time.Duration(s.cfg.Options.Preemption.Slack)
}

// mayPreempt is the protocol's rule of who may be stopped for whom, narrowed so that it has no
// circles: borrowed work of high priority does not stop what another team's guarantee covers, as
// that could stop it in turn, and so on without end. Nor is work stopped of which too little is
// done already.
func (s *Scheduler) mayPreempt(j *job, b *assignment) bool {
	if b.stopping || b.state == stateUnsent || b.job == j || b.job.underserved {
		return false
	}
	if b.job.priority < j.priority {
		return j.guaranteed || !b.job.guaranteed || b.job.team == j.team
	}
	return b.job.team != j.team && j.guaranteed && !b.job.guaranteed && b.job.team.usesBorrowed()
}

// preemptionCost is what stopping a task would waste: its work since the last checkpoint, or its
// whole run time where it has none, weighted by how often it was stopped before so that the
// cheapest do not starve.
func (s *Scheduler) preemptionCost(b *assignment) float64 {
	ran := 0.0
	if b.state == stateRunning {
		ran = (s.now - b.runningSince).Seconds()
	}
	if b.job.spec.CheckpointS > 0 {
		for ran > b.job.spec.CheckpointS {
			ran -= b.job.spec.CheckpointS
		}
	}
	return (ran + 1) * b.job.demand.CPUs * (1 + s.cfg.Options.Preemption.RestartWeight*float64(b.job.stopCounts[b.index]))
}
