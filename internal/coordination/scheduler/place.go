package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// placer runs the scheduling passes.
type placer struct {
	*environment
	pass   placementPass
	needed bool // something changed that placement looks at
	// nextPreemptionSearch is when requests that found no tasks to stop may look for them again:
	// the search goes through all tasks of all machines, and in an overload many jobs search at
	// every event. Until then they take free room like others.
	nextPreemptionSearch map[placementRequest]time.Duration
}

// newPlacer returns a placer for the first pass of a term.
func newPlacer(env *environment) *placer {
	return &placer{
		environment: env,
		pass: placementPass{
			unplaceable:      map[placementRequest]bool{},
			unplaceableGangs: map[gangRequest]bool{},
			groups:           placement.NewGroups(byName),
		},
		nextPreemptionSearch: map[placementRequest]time.Duration{},
	}
}

// candidate is a machine that passed the filters, with its scores.
type candidate = placement.Candidate[*machine]

// forgetPastSearches drops the requests that may look for tasks to stop again.
func (p *placer) forgetPastSearches() {
	maps.DeleteFunc(p.nextPreemptionSearch, func(_ placementRequest, at time.Duration) bool { return at <= p.now })
}

// placementPass is what a scheduling pass keeps, so that its cost hardly grows with fleet and
// backlog: each request decides as if it looked at every machine anew (see TestPassIsPlain).
type placementPass struct {
	machines          []*machine                // that may get tasks, by name
	withFreeResources []*machine                // those of them with free room for any of the jobs
	jobs              []*job                    // that want room, in order of claim
	minDemand         resource.Vector           // none of them needs less of any resource
	maxFreeResources  resource.Vector           // no machine has more free room of any resource
	unplaceable       map[placementRequest]bool // requests for which no machine was found in this pass
	// unplaceableGangs are the same of gangs.
	unplaceableGangs      map[gangRequest]bool
	reservationsLeft      int // machines that may still be held; see reserve
	groups                placement.Groups[*machine]
	reservationCandidates []*machine
}

// placementRequest is what decides where a task of a job may go, for jobs that ask for nothing
// particular.
type placementRequest struct {
	demand          resource.Vector
	team            *team
	priority        protocol.Priority
	guaranteed      bool
	spot            bool
	preempting      bool
	gangReservation bool // may use machines that are kept for gangs
}

// placeTasks is the scheduling pass. For each job in order of claim it filters the machines, ranks
// what is left on the full view, and picks victims where the best machine lacks room: the paper's
// algorithm, request by request. The tasks of one job ask the same question, so filter and scores
// are worked out once for them and kept up to date for the machine that was chosen.
func (s *Scheduler) placeTasks() {
	if !s.placement.needed || !s.recovery.hasEnded() {
		return
	}
	s.placement.needed = false
	p := &s.placement.pass
	p.jobs = p.jobs[:0]
	for _, j := range s.queue.order() {
		if j.waitingTasks() == 0 || j.cancelled || j.closed || s.now < j.retryAt || !j.withinTeamLimit() {
			continue
		}
		if len(p.jobs) == 0 {
			p.minDemand = j.demand
		}
		p.minDemand = p.minDemand.Min(j.demand)
		p.jobs = append(p.jobs, j)
	}
	if len(p.jobs) == 0 && len(s.gangs.toRefill) == 0 {
		return
	}
	s.beginPass()
	s.refillGangs()
	for _, j := range s.queue.overdueJobs() {
		n := s.queue.overdueTasks(j)
		if n <= 0 || !j.withinTeamLimit() || s.now < j.retryAt {
			continue
		}
		if j.gang != nil {
			s.placeGang(j)
			s.reserveForWaitingGang(j)
			continue
		}
		s.placeJob(j, n)
		s.reserveForJob(j)
	}
	for _, j := range p.jobs {
		if j.gang != nil {
			s.placeGang(j)
			continue
		}
		s.placeJob(j, j.waitingTasks())
	}
}

// beginPass collects the machines that may get tasks.
func (s *Scheduler) beginPass() {
	p := &s.placement.pass
	p.machines, p.withFreeResources, p.maxFreeResources = p.machines[:0], p.withFreeResources[:0], resource.Vector{}
	p.clearUnplaceable()
	for _, m := range s.inventory.all() {
		m.wasReserved, m.reservedFor = m.reservedFor != nil, nil
		if m.draining || !s.isSchedulable(m) || len(m.assignments)+len(m.endedTasks) >= limits.MaxTasksPerMachine {
			continue
		}
		p.machines = append(p.machines, m)
		if free := m.freeResources(); free.Fits(p.minDemand) {
			p.withFreeResources = append(p.withFreeResources, m)
			p.maxFreeResources = p.maxFreeResources.Max(free)
		}
	}
	p.reservationsLeft = (len(p.machines) + limits.ReservedMachinesRatio - 1) / limits.ReservedMachinesRatio
}

// clearUnplaceable lets requests be tried again for which no machine was found.
func (p *placementPass) clearUnplaceable() {
	clear(p.unplaceable)
	clear(p.unplaceableGangs)
}

// addFreedMachine notes that a machine has got more free room during the pass.
func (p *placementPass) addFreedMachine(m *machine) {
	if _, usable := slices.BinarySearchFunc(p.machines, m, byName); !usable {
		return
	}
	p.maxFreeResources = p.maxFreeResources.Max(m.freeResources())
	if i, ok := slices.BinarySearchFunc(p.withFreeResources, m, byName); !ok {
		p.withFreeResources = slices.Insert(p.withFreeResources, i, m)
	}
}

func byName(a, b *machine) int { return strings.Compare(a.name, b.name) }

// placeJob places up to n of a job's tasks.
func (s *Scheduler) placeJob(j *job, n int) {
	p := &s.placement.pass
	ask := placementRequest{j.demand, j.team, j.priority, j.guaranteed, j.spec.Spot, s.mayPreemptNow(j), j.mayUseGangReservation}
	common := j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && !j.spec.SameZone && !j.spec.SpreadZones && len(j.failedMachines) == 0
	if ask.preempting && (s.now < j.nextPreemptionSearch || (common && s.now < s.placement.nextPreemptionSearch[ask])) {
		ask.preempting = false
	}
	pressing := ask.preempting
	if (common && p.unplaceable[ask]) || (!pressing && !p.maxFreeResources.Fits(j.demand)) {
		return
	}
	sh := s.collectCandidates(j, pressing)
	for ; n > 0 && j.team.fits(j.demand); n-- {
		best := sh.Best()
		if best < 0 {
			if common {
				p.unplaceable[ask] = true
			}
			switch {
			case pressing && common:
				s.placement.nextPreemptionSearch[ask] = s.now + limits.PreemptionSearchInterval
			case pressing:
				j.nextPreemptionSearch = s.now + limits.PreemptionSearchInterval
			}
			return
		}
		chosen := sh.First(best)
		m := chosen.Target
		victims, ok := s.chooseVictims(j, &chosen, nil)
		if !ok {
			return
		}
		gangStopped := false
		for _, v := range victims {
			s.stopTask(v, "preempted for "+j.id)
			if v.job.gang != nil {
				gangStopped = true
				s.addGangMachinesToPass(v.job)
			}
		}
		m.reservedFor = nil
		borrowed := j.team.usesBorrowed()
		s.assign(j, j.nextWaitingTask(), m, s.nextAttempt(), stateUnsent)
		if len(victims) > 0 {
			p.addFreedMachine(m) // what was stopped may leave more than was asked for
		}
		if len(victims) > 0 || borrowed != j.team.usesBorrowed() {
			p.clearUnplaceable() // others may find room, or tasks to stop, that were not there before
		}
		if j.spec.SameZone || j.spec.SpreadZones || gangStopped {
			sh = s.collectCandidates(j, pressing) // where the others may go depends on where this one went
			continue
		}
		sh.RemoveFirst(best)
		if c, ok := s.evaluateMachine(j, m, pressing, nil); ok {
			sh.Add(c)
		}
	}
}
