package scheduler

import (
	"time"

	"quillshunt/internal/coordination/placement"
)

// preemptionOption is a task, or the tasks of a gang on one machine, that may be preempted.
type preemptionOption = placement.PreemptionOption[*assignment]

// chooseVictims returns the tasks to preempt on the best machine, the cheapest set that leaves
// enough free resources for a task of the job: Select and Terminate (Algorithm 5 of the paper). It
// reports false if there is no such set.
func (p *placer) chooseVictims(j *job, best *candidate, planned *plannedView) ([]*assignment, bool) {
	if best.Scores[placement.Overcommit] == 0 {
		return nil, true
	}
	options := p.preemptionOptions(j, best.Target, planned)
	chosen := placement.CheapestVictims(options, j.demand.Minus(planned.freeResources(best.Target)))
	if chosen == nil {
		return nil, false
	}
	victims := make([]*assignment, len(chosen))
	for i, option := range chosen {
		victims[i] = options[option].Task
	}
	return victims, true
}

// preemptionOptions returns what may be preempted on a machine for a job. A gang counts once, with
// the resources of all its tasks there and the cost of all its tasks anywhere, as it is stopped as a
// whole.
func (p *placer) preemptionOptions(j *job, m *machine, planned *plannedView) []preemptionOption {
	var options []preemptionOption
	gangs := map[*job]int{} // their indexes in options
	for _, a := range m.sortedAssignments() {
		if planned.isVictim(a) || !j.mayPreempt(a) {
			continue
		}
		if a.job.gang != nil {
			if i, seen := gangs[a.job]; seen {
				options[i].Resources = options[i].Resources.Plus(a.job.demand)
				continue
			}
			gangs[a.job] = len(options)
		}
		options = append(options, preemptionOption{Task: a, Resources: a.job.demand, Cost: p.preemptionCost(a)})
	}
	return options
}

// mayPreemptNow reports whether waiting for free resources would break one of the job's deadlines.
// Only then are others preempted for it.
func (p *placer) mayPreemptNow(j *job) bool {
	slack, late := p.queue.slack(j)
	return !late && slack < time.Duration(p.cfg.Options.Preemption.Slack)
}

// mayPreempt reports whether a task may be preempted for the job. It is the protocol's rule,
// narrowed so that it has no circles: borrowed work of high priority does not preempt what another
// team's guarantee covers, as that could preempt it in turn, and so on without end. Nor are tasks
// of underserved jobs preempted.
func (j *job) mayPreempt(a *assignment) bool {
	if a.stopping || a.state == stateUnsent || a.job == j || a.job.underserved {
		return false
	}
	if a.job.priority < j.priority {
		return j.guaranteed || !a.job.guaranteed || a.job.team == j.team
	}
	return a.job.team != j.team && j.guaranteed && !a.job.guaranteed && a.job.team.usesBorrowed()
}

// preemptionCost is the work that preempting a task would waste; of a gang, the work of all its
// tasks.
func (p *placer) preemptionCost(a *assignment) float64 {
	if a.job.gang == nil {
		return p.taskPreemptionCost(a)
	}
	cost := 0.0
	for _, member := range a.job.assignments {
		cost += p.taskPreemptionCost(member)
	}
	return cost
}

// taskPreemptionCost is the work that stopping one task would waste: what it did since the last
// checkpoint, or all of it if it has none, weighted by how often it was stopped before so that the
// cheapest tasks are not stopped again and again.
func (p *placer) taskPreemptionCost(a *assignment) float64 {
	ran := 0.0
	if a.state == stateRunning {
		ran = (p.now - a.runningSince).Seconds()
	}
	if a.job.spec.CheckpointS > 0 {
		for ran > a.job.spec.CheckpointS {
			ran -= a.job.spec.CheckpointS
		}
	}
	stops := float64(a.job.stopCounts[a.index])
	return (ran + 1) * a.job.demand.CPUs * (1 + p.cfg.Options.Preemption.RestartWeight*stops)
}
