package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/limits"
)

// victims are the tasks to stop on the chosen machine: the cheapest set that makes room for the request.
func (s *Scheduler) victims(j *job, c *candidate, planned *outlook) ([]*binding, bool) {
	if c.scores[weighOvercommit] == 0 {
		return nil, true
	}
	options := s.stoppable(j, c.m, planned)
	set := cheapest(options, j.need.minus(planned.freeRoom(c.m)))
	if set == nil {
		return nil, false
	}
	out := make([]*binding, len(set))
	for i, k := range set {
		out[i] = options[k].b
	}
	return out, true
}

// stoppable are the tasks on a machine that may be stopped for a job. A gang counts once, with the room of all its tasks there and the loss
// of all its tasks anywhere, as it is stopped as a whole.
func (s *Scheduler) stoppable(j *job, m *machine, planned *outlook) []victim {
	var out []victim
	gangs := map[*job]int{}
	for _, b := range m.sortedBinds() {
		if planned.stops(b) || !s.mayStop(j, b) {
			continue
		}
		if b.job.gang == nil {
			out = append(out, victim{b: b, need: b.job.need, loss: s.loss(b)})
			continue
		}
		if i, seen := gangs[b.job]; seen {
			out[i].need = out[i].need.plus(b.job.need)
			continue
		}
		gangs[b.job] = len(out)
		out = append(out, victim{b: b, need: b.job.need, loss: s.gangLoss(b.job)})
	}
	return out
}

// pressing tells whether waiting for room would break one of the job's times. Only then is room taken at somebody else's cost.
func (s *Scheduler) pressing(j *job) bool {
	slack, late := s.slack(j)
	return !late && slack < time.Duration(s.cfg.Options.Preemption.Slack)
}

// mayStop is the protocol's rule of who may be stopped for whom, narrowed so that it has no circles: borrowed work of high priority does
// not
// stop what another team's guarantee covers, as that could stop it in turn, and so on without end. Nor is work stopped of which too
// little is done already.
func (s *Scheduler) mayStop(j *job, b *binding) bool {
	if b.stop || b.phase == assigned || b.job == j || b.job.owed {
		return false
	}
	if b.job.priority < j.priority {
		return j.guaranteed || !b.job.guaranteed || b.job.team == j.team
	}
	return b.job.team != j.team && j.guaranteed && !b.job.guaranteed && b.job.team.borrows()
}

// loss is what stopping a task would waste: its work since the last checkpoint, or its whole run time where it
// has none, weighted by how often it was stopped before so that the cheapest do not starve.
func (s *Scheduler) loss(b *binding) float64 {
	ran := 0.0
	if b.phase == running {
		ran = (s.now - b.runAt).Seconds()
	}
	if b.job.spec.CheckpointS > 0 {
		for ran > b.job.spec.CheckpointS {
			ran -= b.job.spec.CheckpointS
		}
	}
	return (ran + 1) * b.job.need.cpu * (1 + s.cfg.Options.Preemption.RestartWeight*float64(b.job.stops[b.index]))
}

// victim is a task that may be stopped.
type victim struct {
	b    *binding
	need room
	loss float64
}

// cheapest returns the indexes of the set of least loss that covers what is short in every resource, or nil. Up to a cutoff every set
// is tried, else tasks are added by least loss per unit of room.
func cheapest(options []victim, short room) []int {
	covered := func(have room) bool { return have.holds(short) }
	if len(options) <= limits.VictimCutoff {
		bestLoss, best := 0.0, -1
		for set := 1; set < 1<<len(options); set++ {
			var have room
			loss := 0.0
			for i := range options {
				if set>>i&1 != 0 {
					have = have.plus(options[i].need)
					loss += options[i].loss
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
	unit := func(v *victim) float64 {
		u := 0.0
		if short.cpu > 0 {
			u += min(v.need.cpu, short.cpu) / short.cpu
		}
		if short.gpu > 0 {
			u += min(v.need.gpu, short.gpu) / short.gpu
		}
		if short.ram > 0 {
			u += min(v.need.ram, short.ram) / short.ram
		}
		return max(u, limits.Epsilon)
	}
	order := make([]int, len(options))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &options[order[a]], &options[order[b]]
		return x.loss/unit(x) < y.loss/unit(y)
	})
	var have room
	var out []int
	for _, i := range order {
		if covered(have) {
			break
		}
		have = have.plus(options[i].need)
		out = append(out, i)
	}
	if !covered(have) {
		return nil
	}
	// Drop what turned out not to be needed, the dearest first.
	for k := len(out) - 1; k >= 0; k-- {
		if less := have.minus(options[out[k]].need); covered(less) {
			have = less
			out = append(out[:k], out[k+1:]...)
		}
	}
	return out
}
