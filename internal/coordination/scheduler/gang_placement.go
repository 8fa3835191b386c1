package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// The paper's extension to runs that are placed and stopped as a whole: the request for a gang asks
// for one machine after the other by the plain filter, ranking and choice of victims, on views that
// count what the tasks before it take, and takes effect only if all of them found one.

// gangRequest is what decides whether a gang finds room, for gangs that ask for nothing particular.
type gangRequest struct {
	placementRequest
	tasks       int
	sameZone    bool
	spreadZones bool
}

// taskPlacement is where a task of a gang may go.
type taskPlacement struct {
	machine *machine
	victims []*assignment
}

// plannedView is how a machine would stand with the seats that were chosen so far.
type plannedView struct {
	promised resource.Vector
	freed    resource.Vector
	tasks    int
	stopped  map[*assignment]bool
}

// freeResources is what may still be promised on the machine.
func (v *plannedView) freeResources(m *machine) resource.Vector {
	if v == nil {
		return m.freeResources()
	}
	return m.freeResources().Minus(v.promised).Plus(v.freed)
}

// isStopped tells whether a task is to be stopped already.
func (v *plannedView) isStopped(b *assignment) bool { return v != nil && v.stopped[b] }

// gangPlacement looks for seats for all missing tasks of a gang.
type gangPlacement struct {
	scheduler   *Scheduler
	job         *job
	preempting  bool
	zone        string // the only one, or ""
	views       map[*machine]*plannedView
	tasksInZone map[string]int // tasks of the gang
	placements  []taskPlacement
	groups      placement.Groups[*machine]
	cost        float64
}

// placeGang places all missing tasks of a gang, or none.
func (s *Scheduler) placeGang(j *job) bool {
	p, g := &s.placement.pass, j.gang
	n := j.waitingTasks()
	if n == 0 {
		return true
	}
	if !j.withinTeamLimit() {
		return false
	}
	ask := gangRequest{
		placementRequest: placementRequest{j.demand, j.team, j.priority, j.guaranteed, j.spec.Spot, s.mayPreemptNow(j), true},
		tasks:            n,
		sameZone:         j.spec.SameZone, spreadZones: j.spec.SpreadZones,
	}
	common := j.spec.Zone == "" && len(j.spec.MachineTypes) == 0 && len(j.failedMachines) == 0 && len(j.assignments) == 0
	if s.now < j.nextPreemptionSearch {
		ask.preempting = false
	}
	if (common && p.unplaceableGangs[ask]) || (!ask.preempting && !p.maxFreeResources.Fits(j.demand)) {
		return false
	}
	best := s.bestGangPlacement(j, n, ask.preempting)
	if best == nil {
		if common {
			p.unplaceableGangs[ask] = true
		}
		if ask.preempting {
			j.nextPreemptionSearch = s.now + limits.PreemptionSearchInterval
		}
		return false
	}
	s.applyGangPlacement(g, best)
	return true
}

// bestGangPlacement returns seats for n tasks of a gang, or nil: of the zones that have room for
// all, the one that costs least.
func (s *Scheduler) bestGangPlacement(j *job, n int, pressing bool) *gangPlacement {
	if !j.spec.SameZone {
		return s.placeGangInZone(j, n, "", pressing)
	}
	var best *gangPlacement
	for _, zone := range s.gangZones(j, n, pressing) {
		found := s.placeGangInZone(j, n, zone, pressing)
		if found != nil && (best == nil || found.cheaperThan(best)) {
			best = found
		}
	}
	return best
}

// gangZones are the zones that may have room for n tasks of a gang, by name.
func (s *Scheduler) gangZones(j *job, n int, pressing bool) []string {
	slotsIn := map[string]int{}
	for _, m := range s.placement.pass.eligibleMachines(pressing) {
		if !s.passesHardFilters(j, m) || (m.reservedFor != nil && m.reservedFor != j) {
			continue
		}
		if pressing {
			slotsIn[m.zone] += m.size().TasksThatFit(j.demand)
		} else {
			slotsIn[m.zone] += m.freeResources().TasksThatFit(j.demand)
		}
	}
	var zones []string
	for zone, found := range slotsIn {
		if found >= n {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// cheaperThan compares two seatings: work lost first, then how much of the image is to be fetched,
// then the number of machines.
func (a *gangPlacement) cheaperThan(b *gangPlacement) bool {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.imageFetches(), b.imageFetches()), cmp.Compare(len(a.views), len(b.views))) < 0
}

// imageFetches is on how many machines the gang would wait for its image.
func (a *gangPlacement) imageFetches() int {
	n := 0
	for m := range a.views {
		if _, ok := m.cachedImages[a.job.spec.Image]; !ok {
			n++
		}
	}
	return n
}

// placeGangInZone looks for seats for n tasks of a gang, in one zone if one is named. It returns
// nil if it does not find all of them.
func (s *Scheduler) placeGangInZone(j *job, n int, zone string, pressing bool) *gangPlacement {
	a := &gangPlacement{scheduler: s, job: j, preempting: pressing, zone: zone, views: map[*machine]*plannedView{}, tasksInZone: map[string]int{}, groups: placement.NewGroups(byName)}
	for _, b := range j.assignments {
		a.tasksInZone[b.machine.zone]++
	}
	a.collectCandidates()
	for len(a.placements) < n {
		best := a.groups.Best()
		if best < 0 || !a.placeOn(best) {
			return nil
		}
	}
	return a
}

// offerMachine adds a machine to the candidates if a task may go there.
func (a *gangPlacement) offerMachine(m *machine) {
	if a.zone != "" && m.zone != a.zone || a.job.gang.lostMachines[m.name] || a.job.gang.hasEndedOn(m) || a.zoneFull(m.zone) {
		return
	}
	if c, ok := a.scheduler.evaluateMachine(a.job, m, a.preempting, a.views[m]); ok {
		a.groups.Add(c)
	}
}

// hasEndedOn tells whether a machine lists a task of the gang's present attempt as ended: its
// worker takes a start of it for a repetition.
func (g *gang) hasEndedOn(m *machine) bool {
	if g.state == gangWaiting {
		return false
	}
	for key := range m.endedTasks {
		if id, _, _ := protocol.ParseTaskName(key.task); key.attempt == g.attempt && id == g.job.id {
			return true
		}
	}
	return false
}

// zoneFull tells whether a gang that is spread over zones may have no more tasks in one.
func (a *gangPlacement) zoneFull(zone string) bool {
	return a.job.spec.SpreadZones && a.tasksInZone[zone] >= (a.job.spec.Tasks+1)/2
}

// placeOn takes a seat on the first machine of a shelf.
func (a *gangPlacement) placeOn(shelf int) bool {
	c := a.groups.First(shelf)
	victims, ok := a.scheduler.chooseVictims(a.job, &c, a.views[c.Target])
	if !ok {
		return false
	}
	a.groups.RemoveFirst(shelf)
	view := a.viewOf(c.Target)
	view.promised, view.tasks = view.promised.Plus(a.job.demand), view.tasks+1
	a.tasksInZone[c.Target.zone]++
	a.placements = append(a.placements, taskPlacement{c.Target, victims})
	for _, v := range victims {
		a.countVictim(v)
	}
	if len(victims) > 0 || a.zoneFull(c.Target.zone) {
		a.collectCandidates()
		return true
	}
	a.offerMachine(c.Target)
	return true
}

// countVictim counts the room that a victim leaves; of a gang, on all its machines.
func (a *gangPlacement) countVictim(b *assignment) {
	gone := []*assignment{b}
	if b.job.gang != nil {
		gone = b.job.sortedAssignments()
		a.cost += a.scheduler.gangPreemptionCost(b.job)
	} else {
		a.cost += a.scheduler.preemptionCost(b)
	}
	for _, x := range gone {
		view := a.viewOf(x.machine)
		if view.stopped == nil {
			view.stopped = map[*assignment]bool{}
		}
		if !view.stopped[x] && !x.stopping {
			view.stopped[x] = true
			view.freed = view.freed.Plus(x.job.demand)
		}
	}
}

func (a *gangPlacement) viewOf(m *machine) *plannedView {
	v := a.views[m]
	if v == nil {
		v = &plannedView{}
		a.views[m] = v
	}
	return v
}

// collectCandidates looks at all machines, at first and after room was freed on several or a zone
// was filled.
func (a *gangPlacement) collectCandidates() {
	a.groups.Clear()
	for _, m := range a.scheduler.placement.pass.eligibleMachines(a.preempting) {
		a.offerMachine(m)
	}
}

// applyGangPlacement binds the missing tasks of a gang to their seats and stops the victims.
func (s *Scheduler) applyGangPlacement(g *gang, found *gangPlacement) {
	j, p := g.job, &s.placement.pass
	for _, x := range found.placements {
		for _, v := range x.victims {
			s.stopTask(v, "preempted for "+j.id)
		}
	}
	if g.state == gangWaiting {
		g.state, g.attempt = gangPlaced, s.nextAttempt()
	}
	for _, x := range found.placements {
		x.machine.reservedFor = nil
		s.assign(j, j.nextWaitingTask(), x.machine, g.attempt, stateUnsent)
	}
	for m, v := range found.views {
		if len(v.stopped) > 0 {
			p.addFreedMachine(m)
		}
	}
	p.clearUnplaceable()
	if !g.awaitsCommit {
		g.awaitsCommit = true
		s.gangs.uncommitted = append(s.gangs.uncommitted, g)
	}
	s.gangs.capacityChanged = true
}

// addGangMachinesToPass notes that the machines of a gang that was stopped have got more free room.
func (s *Scheduler) addGangMachinesToPass(j *job) {
	for _, b := range j.sortedAssignments() {
		s.placement.pass.addFreedMachine(b.machine)
	}
}

// refillGangs replaces tasks that gangs lost before their start. A gang that can't be complete in
// time is stopped and waits again.
func (s *Scheduler) refillGangs() {
	refills := s.gangs.toRefill
	s.gangs.toRefill = nil
	for _, g := range refills {
		if g.isOver() || g.state != gangGathering || g.missing() == 0 {
			continue
		}
		fetch := limits.Seconds(g.job.class.fetchSeconds)
		late := g.completeBy != 0 && s.now+fetch > g.completeBy
		if late || s.now < g.job.retryAt || !s.placeGang(g.job) {
			s.stopGang(g, "no room for a lost task of the gang")
		}
	}
}

// reserveForWaitingGang keeps machines for a gang that waits for long and finds no room, all in one
// zone if it must be: those with the most free room, and those that were kept before first.
func (s *Scheduler) reserveForWaitingGang(j *job) {
	p := &s.placement.pass
	if j.waitingTasks() == 0 || p.reservationsLeft <= 0 || !j.withinTeamLimit() {
		return
	}
	byZone := map[string][]*machine{}
	for _, m := range p.machines {
		if m.reservedFor == nil && s.passesHardFilters(j, m) {
			zone := ""
			if j.spec.SameZone {
				zone = m.zone
			}
			byZone[zone] = append(byZone[zone], m)
		}
	}
	var best []*machine
	most := -1.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		kept, free := s.pickForGang(j, byZone[zone])
		if free > most {
			best, most = kept, free
		}
	}
	for _, m := range best[:min(len(best), p.reservationsLeft)] {
		m.reservedFor = j
		p.reservationsLeft--
	}
}

// pickForGang picks the machines that should first have room for all tasks of a gang, and how much
// room is free there. It returns none if they could never hold all.
func (s *Scheduler) pickForGang(j *job, machines []*machine) (kept []*machine, free float64) {
	slices.SortStableFunc(machines, byReservation)
	found := 0
	for _, m := range machines {
		if found >= j.waitingTasks() {
			break
		}
		found += m.size().TasksThatFit(j.demand)
		free += m.freeResources().CPUs
		kept = append(kept, m)
	}
	if found < j.waitingTasks() {
		return nil, -1
	}
	return kept, free
}

// gangPreemptionCost is what stopping a gang would waste: the losses of all its tasks.
func (s *Scheduler) gangPreemptionCost(j *job) float64 {
	sum := 0.0
	for _, b := range j.assignments {
		sum += s.preemptionCost(b)
	}
	return sum
}
