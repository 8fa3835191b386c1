package scheduler

import (
	"slices"
	"strings"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// pass is what a scheduling pass keeps, so that its cost hardly grows with fleet and backlog: each request decides as if it looked at every
// machine anew (see TestPassIsPlain).
type pass struct {
	machines []*machine       // that may get tasks, by name
	roomy    []*machine       // those of them with free room for any of the jobs
	jobs     []*job           // that want room, in order of claim
	least    room             // none of them needs less of any resource
	most     room             // no machine has more free room of any resource
	refused  map[request]bool // requests for which no machine was found in this pass
	// refusedGangs are the same of gangs.
	refusedGangs map[gangRequest]bool
	holds        int // machines that may still be held; see reserve
	shelves      shelves
	short        []*machine
}

// request is what decides where a task of a job may go, for jobs that ask for nothing particular.
type request struct {
	need     room
	team     *team
	urgency  protocol.Priority
	guar     bool
	spot     bool
	pressing bool
	gangRoom bool // may use machines that are kept for gangs
}

// place is the scheduling pass. For each job in order of claim it filters the machines, ranks what is left on
// the full view, and picks victims where the best machine lacks room: the paper's algorithm, request by request. The tasks of one job
// ask the same question, so
// filter and scores are worked out once for them and kept up to date for the machine that was chosen.
func (s *Scheduler) place() {
	if !s.dirty || !s.recovered {
		return
	}
	s.dirty = false
	p := &s.pass
	p.jobs = p.jobs[:0]
	for _, j := range s.claims() {
		if j.free() == 0 || j.cancelled || j.over || s.now < j.resume || !j.teamAllows() {
			continue
		}
		if len(p.jobs) == 0 {
			p.least = j.need
		}
		p.least = p.least.least(j.need)
		p.jobs = append(p.jobs, j)
	}
	if len(p.jobs) == 0 && len(s.refills) == 0 {
		return
	}
	s.beginPass()
	s.refillGangs()
	for _, j := range s.aged {
		n := s.behind(j)
		if n <= 0 || !j.teamAllows() || s.now < j.resume {
			continue
		}
		if j.gang != nil {
			s.placeGang(j)
			s.reserveGang(j)
			continue
		}
		s.placeJob(j, n)
		s.reserve(j)
	}
	for _, j := range p.jobs {
		if j.gang != nil {
			s.placeGang(j)
			continue
		}
		s.placeJob(j, j.free())
	}
}

// beginPass collects the machines that may get tasks.
func (s *Scheduler) beginPass() {
	p := &s.pass
	p.machines, p.roomy, p.most = p.machines[:0], p.roomy[:0], room{}
	p.clearRefused()
	for _, m := range s.fleet {
		m.wasHeld, m.heldFor = m.heldFor != nil, nil
		if m.drain || !s.usable(m) || len(m.bindings)+len(m.exits) >= limits.MaxTasks {
			continue
		}
		p.machines = append(p.machines, m)
		if free := m.freeRoom(); free.holds(p.least) {
			p.roomy = append(p.roomy, m)
			p.most = p.most.most(free)
		}
	}
	p.holds = (len(p.machines) + limits.HoldShare - 1) / limits.HoldShare
}

// clearRefused lets requests be tried again for which no machine was found.
func (p *pass) clearRefused() {
	clear(p.refused)
	clear(p.refusedGangs)
}

// offer notes that a machine has got more free room during the pass.
func (p *pass) offer(m *machine) {
	if _, usable := slices.BinarySearchFunc(p.machines, m, byName); !usable {
		return
	}
	p.most = p.most.most(m.freeRoom())
	if i, ok := slices.BinarySearchFunc(p.roomy, m, byName); !ok {
		p.roomy = slices.Insert(p.roomy, i, m)
	}
}

func byName(a, b *machine) int { return strings.Compare(a.name, b.name) }

// placeJob places up to n of a job's tasks.
func (s *Scheduler) placeJob(j *job, n int) {
	p := &s.pass
	ask := request{j.need, j.team, j.priority, j.guaranteed, j.spec.Spot, s.pressing(j), j.usesGangRoom}
	common := j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && !j.spec.SameZone && !j.spec.SpreadZones && len(j.failOn) == 0
	if ask.pressing && (s.now < j.pressAgain || (common && s.now < s.pressAgain[ask])) {
		ask.pressing = false
	}
	pressing := ask.pressing
	if (common && p.refused[ask]) || (!pressing && !p.most.holds(j.need)) {
		return
	}
	sh := s.candidates(j, pressing)
	for ; n > 0 && j.team.fits(j.need); n-- {
		best := rank(sh.cs)
		if best < 0 {
			if common {
				p.refused[ask] = true
			}
			switch {
			case pressing && common:
				s.pressAgain[ask] = s.now + limits.PressAgain
			case pressing:
				j.pressAgain = s.now + limits.PressAgain
			}
			return
		}
		m := sh.cs[best].m
		victims, ok := s.victims(j, &sh.cs[best], nil)
		if !ok {
			return
		}
		gangStopped := false
		for _, v := range victims {
			s.stopTask(v, "preempted for "+j.id)
			if v.job.gang != nil {
				gangStopped = true
				s.offerGang(v.job)
			}
		}
		m.heldFor = nil
		borrowed := j.team.borrows()
		s.bind(j, j.nextFree(), m, s.attempt(), assigned)
		if len(victims) > 0 {
			p.offer(m) // what was stopped may leave more than was asked for
		}
		if len(victims) > 0 || borrowed != j.team.borrows() {
			p.clearRefused() // others may find room, or tasks to stop, that were not there before
		}
		if j.spec.SameZone || j.spec.SpreadZones || gangStopped {
			sh = s.candidates(j, pressing) // where the others may go depends on where this one went
			continue
		}
		sh.takeFirst(best)
		if c, ok := s.candidate(j, m, pressing, nil); ok {
			sh.add(c)
		}
	}
}
