package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// chooseVictims are the tasks to stop on the chosen machine: the cheapest set that makes room for
// the request.
func (s *Scheduler) chooseVictims(j *job, c *candidate, planned *plannedView) ([]*assignment, bool) {
	if c.scores[weightOvercommit] == 0 {
		return nil, true
	}
	options := s.preemptionOptions(j, c.machine, planned)
	set := cheapestVictims(options, j.demand.Minus(planned.freeResources(c.machine)))
	if set == nil {
		return nil, false
	}
	out := make([]*assignment, len(set))
	for i, k := range set {
		out[i] = options[k].assignment
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
			out = append(out, preemptionOption{assignment: b, resources: b.job.demand, cost: s.preemptionCost(b)})
			continue
		}
		if i, seen := gangs[b.job]; seen {
			out[i].resources = out[i].resources.Plus(b.job.demand)
			continue
		}
		gangs[b.job] = len(out)
		out = append(out, preemptionOption{assignment: b, resources: b.job.demand, cost: s.gangPreemptionCost(b.job)})
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

// preemptionOption is a task that may be stopped.
type preemptionOption struct {
	assignment *assignment
	resources  resource.Vector
	cost       float64
}

// cheapestVictims returns the indexes of the set of least loss that covers what is short in every
// resource, or nil. Up to a cutoff every set is tried, else tasks are added by least loss per unit
// of room.
func cheapestVictims(options []preemptionOption, short resource.Vector) []int {
	covered := func(have resource.Vector) bool { return have.Fits(short) }
	if len(options) <= limits.MaxExhaustiveVictims {
		bestLoss, best := 0.0, -1
		for set := 1; set < 1<<len(options); set++ {
			var have resource.Vector
			loss := 0.0
			for i := range options {
				if set>>i&1 != 0 {
					have = have.Plus(options[i].resources)
					loss += options[i].cost
				}
			}
			if covered(have) && (best < 0 || loss < bestLoss) {
				bestLoss, best = loss, set
			}
		}
		if best < 0 {
			return nil
		}
		var out []int
		for i := range options {
			if best>>i&1 != 0 {
				out = append(out, i)
			}
		}
		return out
	}
	unit := func(v *preemptionOption) float64 {
		u := 0.0
		if short.CPUs > 0 {
			u += min(v.resources.CPUs, short.CPUs) / short.CPUs
		}
		if short.Accelerators > 0 {
			u += min(v.resources.Accelerators, short.Accelerators) / short.Accelerators
		}
		if short.MemoryGB > 0 {
			u += min(v.resources.MemoryGB, short.MemoryGB) / short.MemoryGB
		}
		return max(u, limits.Epsilon)
	}
	order := make([]int, len(options))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &options[order[a]], &options[order[b]]
		return x.cost/unit(x) < y.cost/unit(y)
	})
	var have resource.Vector
	var out []int
	for _, i := range order {
		if covered(have) {
			break
		}
		have = have.Plus(options[i].resources)
		out = append(out, i)
	}
	if !covered(have) {
		return nil
	}
	// Drop what turned out not to be needed, the dearest first.
	for k := len(out) - 1; k >= 0; k-- {
		if less := have.Minus(options[out[k]].resources); covered(less) {
			have = less
			out = append(out[:k], out[k+1:]...)
		}
	}
	return out
}
