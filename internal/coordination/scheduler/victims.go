package scheduler

import (
	"time"

	"quillshunt/internal/coordination/placement"
)

// preemptionOption is a task that may be preempted, or all tasks of a preemptible gang on one machine.
type preemptionOption = placement.PreemptionOption[*assignment]

// chooseVictims returns the cheapest set of tasks whose preemption on the best machine frees enough
// resources for a task of the job. It is Select and Terminate (Algorithm 5 of the paper). It returns no
// tasks if the resources are free already, and false if no set is sufficient.
func (p *placer) chooseVictims(j *job, best *candidate, planned *plannedView) ([]*assignment, bool) {
	if best.Scores[placement.Overcommit] == 0 {
		return nil, true
	}
	options := p.preemptionOptions(j, best.Target, planned)
	chosen := placement.CheapestVictims(options, planned.freeResources(best.Target).Shortfall(j.demand))
	if chosen == nil {
		return nil, false
	}
	victims := make([]*assignment, len(chosen))
	for i, option := range chosen {
		victims[i] = options[option].Task
	}
	return victims, true
}

// preemptionOptions returns the tasks on a machine that may be preempted for a job. As a gang is always
// stopped as a whole, it is one option, with the resources of its tasks on this machine and the cost of
// its tasks on all machines.
func (p *placer) preemptionOptions(j *job, m *machine, planned *plannedView) []preemptionOption {
	var options []preemptionOption
	gangs := map[*job]int{} // index in options, by gang job
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

// mayPreemptNow reports whether the job may preempt tasks now: it can still meet a deadline, but its slack
// is below the preemption slack of the options, so waiting for free resources could miss the deadline.
func (p *placer) mayPreemptNow(j *job) bool {
	slack, late := p.queue.slack(j)
	return !late && slack < time.Duration(p.cfg.Options.Preemption.Slack)
}

// mayPreempt reports whether the given task may be preempted for a task of job j. By the rules of the
// protocol, a job may preempt work of lower priority, and a job that its team's guarantee covers may also
// preempt unguaranteed work of another team that uses more than its guarantee. To prevent preemption
// cycles, the first rule has an exception: a job that is not covered must not preempt guaranteed work of
// another team, as that work could preempt it in turn, and so on without end. Tasks of underserved jobs
// are never preempted, nor are tasks whose start command has not been sent or that are already stopping.
func (j *job) mayPreempt(a *assignment) bool {
	if a.stopping || a.state == stateUnsent || a.job == j || a.job.underserved {
		return false
	}
	if a.job.priority < j.priority {
		return j.guaranteed || !a.job.guaranteed || a.job.team == j.team
	}
	return a.job.team != j.team && j.guaranteed && !a.job.guaranteed && a.job.team.isBorrowing()
}

// preemptionCost returns the cost of preempting a task. For a task of a gang it is the cost of all tasks
// of the gang.
func (p *placer) preemptionCost(a *assignment) float64 {
	if a.job.gang == nil {
		return p.taskPreemptionCost(a)
	}
	cost, known := p.pass.gangCosts[a.job]
	if !known {
		for _, member := range a.job.sortedAssignments() {
			cost += p.taskPreemptionCost(member)
		}
		p.pass.gangCosts[a.job] = cost
	}
	return cost
}

// taskPreemptionCost returns the work, in CPU seconds, that stopping one task would lose, plus that of one second.
// The cost grows with each earlier stop of the task, so that the same cheap tasks are not preempted repeatedly.
func (p *placer) taskPreemptionCost(a *assignment) float64 {
	stops := float64(a.job.stopCounts[a.index])
	lostSeconds := a.unsavedRunTime(p.now).Seconds()
	return (lostSeconds + 1) * a.job.demand.CPUs * (1 + p.cfg.Options.Preemption.RestartWeight*stops)
}
