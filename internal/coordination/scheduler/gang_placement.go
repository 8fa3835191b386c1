package scheduler

import (
	"cmp"
	"slices"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// The paper's extension to runs that are placed and stopped as a whole (section 5.1): the request
// for a gang looks for one machine after the other by the plain filter, ranking and choice of
// victims, on views that count what the tasks before it were planned to use, and takes effect only
// if all of them found a machine.

// gangRequest is what decides whether a gang can be placed, for gangs without particular
// requirements.
type gangRequest struct {
	placementRequest
	tasks       int
	sameZone    bool
	spreadZones bool
}

// gangSearch is the search for machines for the missing tasks of a gang in a pass.
type gangSearch struct {
	job       *job
	request   gangRequest
	isGeneric bool // the request alone decides where the tasks may go
}

// newGangSearch returns the search for a gang's missing tasks. It reports false if it is known to
// find nothing.
func (p *placer) newGangSearch(j *job, missing int) (search gangSearch, ok bool) {
	request := gangRequest{
		placementRequest: newPlacementRequest(j, p.mayPreemptNow(j)),
		tasks:            missing,
		sameZone:         j.spec.SameZone, spreadZones: j.spec.SpreadZones,
	}
	request.gangReservation = true
	if p.now < j.nextPreemptionSearchAt {
		request.preempting = false
	}
	isGeneric := j.hasNoMachineRules() && len(j.assignments) == 0
	search = gangSearch{job: j, request: request, isGeneric: isGeneric}
	if (isGeneric && p.pass.unplaceableGangs[request]) || !p.mayFit(j, request.preempting) {
		return search, false
	}
	return search, true
}

// gangSearchFailed notes that a search found no machines for all tasks of a gang.
func (p *placer) gangSearchFailed(search *gangSearch) {
	if search.isGeneric {
		p.pass.unplaceableGangs[search.request] = true
	}
	if search.request.preempting {
		search.job.nextPreemptionSearchAt = p.now + limits.PreemptionSearchInterval
	}
}

// findGangPlacement returns a placement for all missing tasks of a gang, or nil: of the zones that
// can run all of them, in the one where it is cheapest.
func (p *placer) findGangPlacement(search *gangSearch) *gangPlacement {
	if !search.job.spec.SameZone {
		return p.findGangPlacementIn("", search)
	}
	var best *gangPlacement
	for _, zone := range p.gangZones(search) {
		found := p.findGangPlacementIn(zone, search)
		if found != nil && (best == nil || found.cheaperThan(best)) {
			best = found
		}
	}
	return best
}

// findGangPlacementIn returns a placement for all missing tasks of a gang in a zone, or in any zone
// if it is "". It returns nil if there is none.
func (p *placer) findGangPlacementIn(zone string, search *gangSearch) *gangPlacement {
	found := p.newGangPlacement(search.job, zone, search.request.preempting)
	found.collectCandidates()
	for len(found.tasks) < search.request.tasks {
		if !found.placeNext() {
			return nil
		}
	}
	return found
}

// gangZones returns the zones that may be able to run all missing tasks of a gang, by name.
func (p *placer) gangZones(search *gangSearch) []string {
	j := search.job
	fitting := map[string]int{} // tasks in each zone
	for _, m := range p.pass.eligibleMachines(search.request.preempting) {
		if !j.mayUse(m) || (m.reservedFor != nil && m.reservedFor != j) {
			continue
		}
		usable := m.freeResources()
		if search.request.preempting {
			usable = m.size()
		}
		fitting[m.zone] += usable.TasksThatFit(j.demand)
	}
	var zones []string
	for zone, tasks := range fitting {
		if tasks >= search.request.tasks {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// gangPlaced notes what the placement of a gang changes for the searches that follow in the pass.
func (p *placer) gangPlaced(found *gangPlacement) {
	for _, task := range found.tasks {
		task.machine.reservedFor = nil
	}
	for m, view := range found.views {
		if len(view.stopped) > 0 {
			p.pass.addFreedMachine(m)
		}
	}
	p.pass.clearUnplaceable()
}

// plannedView is what the placement of a gang has planned for a machine so far. A nil view has
// nothing planned.
type plannedView struct {
	promised resource.Vector // to tasks of the gang
	freed    resource.Vector // by victims
	tasks    int             // of the gang
	stopped  map[*assignment]bool
}

// freeResources is what may still be promised on the machine.
func (v *plannedView) freeResources(m *machine) resource.Vector {
	if v == nil {
		return m.freeResources()
	}
	return m.freeResources().Minus(v.promised).Plus(v.freed)
}

// tasksOn is how many tasks the machine would have.
func (v *plannedView) tasksOn(m *machine) int {
	if v == nil {
		return m.taskCount()
	}
	return m.taskCount() + v.tasks
}

// isStopped reports whether a task is planned to be stopped.
func (v *plannedView) isStopped(a *assignment) bool { return v != nil && v.stopped[a] }

// addTask plans a task of a demand on the machine.
func (v *plannedView) addTask(demand resource.Vector) {
	v.promised = v.promised.Plus(demand)
	v.tasks++
}

// addVictim plans the stop of a task on the machine.
func (v *plannedView) addVictim(a *assignment) {
	if v.stopped == nil {
		v.stopped = map[*assignment]bool{}
	}
	if !v.stopped[a] && !a.stopping {
		v.stopped[a] = true
		v.freed = v.freed.Plus(a.job.demand)
	}
}

// gangPlacement is a placement of the missing tasks of a gang, while it is made and once it is
// complete. Nothing of it takes effect by itself.
type gangPlacement struct {
	placer     *placer
	job        *job
	preempting bool
	zone       string // the only one, or ""

	candidates  placement.Groups[*machine]
	views       map[*machine]*plannedView
	tasksInZone map[string]int // of the gang, planned or assigned

	tasks []taskPlacement
	cost  float64 // of preempting the victims
}

// taskPlacement is where a task of a gang goes, and what is preempted for it.
type taskPlacement struct {
	machine *machine
	victims []*assignment
}

// newGangPlacement returns a placement without planned tasks.
func (p *placer) newGangPlacement(j *job, zone string, preempting bool) *gangPlacement {
	g := &gangPlacement{
		placer: p, job: j, preempting: preempting, zone: zone,
		candidates:  placement.NewGroups(compareNames),
		views:       map[*machine]*plannedView{},
		tasksInZone: map[string]int{},
	}
	for _, a := range j.assignments {
		g.tasksInZone[a.machine.zone]++
	}
	return g
}

// cheaperThan compares two placements by the cost of preemption, then by how many machines have to
// fetch the image, then by the number of machines.
func (g *gangPlacement) cheaperThan(other *gangPlacement) bool {
	return cmp.Or(
		cmp.Compare(g.cost, other.cost),
		cmp.Compare(g.imageFetches(), other.imageFetches()),
		cmp.Compare(len(g.views), len(other.views)),
	) < 0
}

// imageFetches is on how many machines the gang would wait for its image.
func (g *gangPlacement) imageFetches() int {
	fetches := 0
	for m := range g.views {
		if _, cached := m.cachedImages[g.job.spec.Image]; !cached {
			fetches++
		}
	}
	return fetches
}

// collectCandidates looks at all machines.
func (g *gangPlacement) collectCandidates() {
	g.candidates.Clear()
	for _, m := range g.placer.eligibleMachines(g.preempting) {
		g.addCandidate(m)
	}
}

// addCandidate adds a machine to the candidates if a task may go there.
func (g *gangPlacement) addCandidate(m *machine) {
	if (g.zone != "" && m.zone != g.zone) || g.zoneFull(m.zone) {
		return
	}
	if g.job.gang.mayKnowAttempt(m) {
		return
	}
	if c, ok := g.placer.filterAndScore(g.job, m, g.preempting, g.views[m]); ok {
		g.candidates.Add(c)
	}
}

// zoneFull reports whether a gang that is spread over zones may have no more tasks in one.
func (g *gangPlacement) zoneFull(zone string) bool {
	return g.job.spec.SpreadZones && g.tasksInZone[zone] >= g.job.maxTasksPerZone()
}

// placeNext plans the next task on the best candidate. It reports false if there is none.
func (g *gangPlacement) placeNext() bool {
	group := g.candidates.Best()
	if group < 0 {
		return false
	}
	best := g.candidates.First(group)
	m := best.Target
	victims, ok := g.placer.chooseVictims(g.job, &best, g.views[m])
	if !ok {
		return false
	}
	g.candidates.RemoveFirst(group)
	g.viewOf(m).addTask(g.job.demand)
	g.tasksInZone[m.zone]++
	g.tasks = append(g.tasks, taskPlacement{m, victims})
	for _, victim := range victims {
		g.addVictim(victim)
	}
	if len(victims) > 0 || g.zoneFull(m.zone) {
		g.collectCandidates() // other machines have changed, or may be used no more
	} else {
		g.addCandidate(m)
	}
	return true
}

// addVictim counts the resources that a victim frees; of a gang, on all its machines.
func (g *gangPlacement) addVictim(victim *assignment) {
	g.cost += g.placer.preemptionCost(victim)
	if victim.job.gang == nil {
		g.viewOf(victim.machine).addVictim(victim)
		return
	}
	for _, member := range victim.job.sortedAssignments() {
		g.viewOf(member.machine).addVictim(member)
	}
}

// viewOf returns the view of a machine, which is made if there is none.
func (g *gangPlacement) viewOf(m *machine) *plannedView {
	view := g.views[m]
	if view == nil {
		view = &plannedView{}
		g.views[m] = view
	}
	return view
}
