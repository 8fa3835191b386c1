package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"quillshunt/internal/coordination/placement"
	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
)

// Gang placement follows the extension in section 5.1 of the paper (see package placement) for jobs that
// are placed and stopped as a whole. The tasks of a gang are placed one after the other, with the same
// filtering, ranking and choice of victims as independent tasks. Each step takes into account what the
// gang's earlier tasks are planned to use. The placement takes effect only if it has a machine for every
// task.

// gangRequest identifies the properties that decide whether a gang can be placed, if its job has no
// other placement constraints. It is the key under which failed searches of a pass are cached.
type gangRequest struct {
	placementRequest
	tasks       int
	sameZone    bool
	spreadZones bool
}

// gangSearch is the search for machines for a gang's missing tasks in a placement pass.
type gangSearch struct {
	job       *job
	request   gangRequest
	cacheable bool // gangs with an equal request would get the same result
}

// newGangSearch returns the search for a gang's missing tasks. It returns false if the search cannot
// succeed.
func (p *placer) newGangSearch(j *job, missing int) (search gangSearch, ok bool) {
	request := gangRequest{
		placementRequest: newPlacementRequest(j, p.mayPreemptNow(j)),
		tasks:            missing,
		sameZone:         j.spec.SameZone, spreadZones: j.spec.SpreadZones,
	}
	request.mayUseGangReservation = true
	if p.now < j.nextPreemptionSearchAt {
		request.preempting = false
	}
	cacheable := j.hasNoMachineRules() && len(j.assignments) == 0
	search = gangSearch{job: j, request: request, cacheable: cacheable}
	if (cacheable && p.pass.unplaceableGangs[request]) || !p.mayFit(j, request.preempting) {
		return search, false
	}
	return search, true
}

// handleGangSearchFailed records that a search did not find machines for all missing tasks of a gang.
func (p *placer) handleGangSearchFailed(search *gangSearch) {
	if search.cacheable {
		p.pass.unplaceableGangs[search.request] = true
	}
	if search.request.preempting {
		search.job.nextPreemptionSearchAt = p.now + limits.PreemptionSearchInterval
	}
}

// findGangPlacement returns a placement for all missing tasks of a gang, or nil. For a gang that must
// be in one zone it returns the cheapest placement among all zones.
func (p *placer) findGangPlacement(search *gangSearch) *gangPlacement {
	if !search.job.spec.SameZone {
		return p.findGangPlacementIn("", search)
	}
	var best *gangPlacement
	for _, zone := range p.gangZones(search) {
		found := p.findGangPlacementIn(zone, search)
		if found != nil && (best == nil || found.isCheaperThan(best)) {
			best = found
		}
	}
	return best
}

// findGangPlacementIn returns a placement for all missing tasks of a gang in one zone, or across all
// zones if zone is "". It returns nil if there is none.
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

// gangZones returns the sorted names of the zones that may have resources for all missing tasks of a
// gang. A search with preemption assumes that all other tasks can be preempted.
func (p *placer) gangZones(search *gangSearch) []string {
	j := search.job
	fitting := map[string]int{} // number of tasks that fit, by zone
	for _, m := range p.pass.eligibleMachines(search.request.preempting) {
		if !j.mayUse(m) || (m.reservedFor != nil && m.reservedFor != j) {
			continue
		}
		usable := m.freeResources()
		if search.request.preempting {
			usable = m.capacity()
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

// handleGangPlaced updates the state of the pass after a gang was placed: the machines it uses are no longer
// reserved, its victims have freed resources, and requests that failed may succeed now.
func (p *placer) handleGangPlaced(found *gangPlacement) {
	p.pass.placementsLeft -= len(found.tasks)
	for _, task := range found.tasks {
		task.machine.reservedFor = nil
	}
	for m, view := range found.views {
		if len(view.victims) > 0 {
			p.pass.addFreedMachine(m)
		}
	}
	delete(p.pass.gangCosts, found.job) // it has more tasks now
	p.pass.clearUnplaceable()
}

// plannedView describes what an incomplete gang placement plans to change on one machine. In a nil
// view nothing is planned.
type plannedView struct {
	plannedDemand  resource.Vector      // demand of the gang's tasks planned here
	freedByVictims resource.Vector      // demand of the tasks planned to be preempted
	tasks          int                  // number of the gang's tasks planned here
	victims        map[*assignment]bool // tasks planned to be preempted
}

// freeResources returns the machine's free resources after the planned changes.
func (v *plannedView) freeResources(m *machine) resource.Vector {
	if v == nil {
		return m.freeResources()
	}
	return m.freeResources().Minus(v.plannedDemand).Plus(v.freedByVictims)
}

// taskCount returns how many tasks the machine would have with the planned tasks, victims included.
func (v *plannedView) taskCount(m *machine) int {
	if v == nil {
		return m.taskCount()
	}
	return m.taskCount() + v.tasks
}

// isVictim reports whether a task is planned to be preempted.
func (v *plannedView) isVictim(a *assignment) bool { return v != nil && v.victims[a] }

// addTask adds a planned task with the given demand.
func (v *plannedView) addTask(demand resource.Vector) {
	v.plannedDemand = v.plannedDemand.Plus(demand)
	v.tasks++
}

// addVictim adds a task that is planned to be preempted. Tasks that are stopping already are ignored, as
// their resources count as free.
func (v *plannedView) addVictim(a *assignment) {
	if v.victims == nil {
		v.victims = map[*assignment]bool{}
	}
	if !v.victims[a] && !a.stopping {
		v.victims[a] = true
		v.freedByVictims = v.freedByVictims.Plus(a.job.demand)
	}
}

// gangPlacement is a plan, complete or not, of the machines for the missing tasks of a gang. It has no
// effect until applyGangPlacement is called.
type gangPlacement struct {
	placer     *placer
	job        *job
	preempting bool
	onlyZone   string // the zone in which all tasks must be; "" if any zone is allowed

	candidates  placement.ScoreGroups[*machine]
	views       map[*machine]*plannedView
	tasksInZone map[string]int // planned or assigned tasks of the gang, by zone

	tasks          []taskPlacement
	preemptionCost float64 // of all victims
}

// taskPlacement is the machine for a task of a gang, and the tasks to preempt for it.
type taskPlacement struct {
	machine *machine
	victims []*assignment
}

// newGangPlacement returns a placement without planned tasks. Its tasksInZone counts the tasks of the gang
// that are assigned already.
func (p *placer) newGangPlacement(j *job, zone string, preempting bool) *gangPlacement {
	return &gangPlacement{
		placer: p, job: j, preempting: preempting, onlyZone: zone,
		candidates:  placement.NewScoreGroups(compareNames),
		views:       map[*machine]*plannedView{},
		tasksInZone: maps.Clone(j.assignedInZone),
	}
}

// isCheaperThan reports whether a placement is cheaper than another. It compares the cost of preemption, then
// the number of machines that have to fetch the image, then the number of machines used.
func (g *gangPlacement) isCheaperThan(other *gangPlacement) bool {
	return cmp.Or(
		cmp.Compare(g.preemptionCost, other.preemptionCost),
		cmp.Compare(g.imageFetches(), other.imageFetches()),
		cmp.Compare(len(g.views), len(other.views)),
	) < 0
}

// imageFetches returns the number of machines that would have to fetch the gang's image.
func (g *gangPlacement) imageFetches() int {
	fetches := 0
	for m := range g.views {
		if _, cached := m.cachedImages[g.job.spec.Image]; !cached {
			fetches++
		}
	}
	return fetches
}

// collectCandidates rebuilds the candidates from all eligible machines.
func (g *gangPlacement) collectCandidates() {
	g.candidates.Clear()
	for _, m := range g.placer.eligibleMachines(g.preempting) {
		g.addCandidate(m)
	}
}

// addCandidate adds a machine to the candidates if a task of the gang may be placed there.
func (g *gangPlacement) addCandidate(m *machine) {
	if (g.onlyZone != "" && m.zone != g.onlyZone) || g.isZoneFull(m.zone) {
		return
	}
	if g.job.gang.mayKnowAttempt(m) {
		return
	}
	if c, ok := g.placer.filterAndScore(g.job, m, g.preempting, g.views[m]); ok {
		g.candidates.Add(c)
	}
}

// isZoneFull reports whether a zone has the maximum number of tasks of a gang that must be spread over
// zones.
func (g *gangPlacement) isZoneFull(zone string) bool {
	return g.job.spec.SpreadZones && g.tasksInZone[zone] >= g.job.maxTasksPerZone()
}

// placeNext plans the next task on the best candidate. It returns false if there is no candidate, or if
// no set of victims there frees enough resources.
func (g *gangPlacement) placeNext() bool {
	group := g.candidates.BestGroup()
	if group < 0 {
		return false
	}
	best := g.candidates.FirstInGroup(group)
	m := best.Target
	victims, ok := g.placer.chooseVictims(g.job, &best, g.views[m])
	if !ok {
		return false
	}
	g.candidates.RemoveFirstInGroup(group)
	g.viewOf(m).addTask(g.job.demand)
	g.tasksInZone[m.zone]++
	g.tasks = append(g.tasks, taskPlacement{m, victims})
	stopsGang := false
	for _, victim := range victims {
		g.addVictim(victim)
		stopsGang = stopsGang || victim.job.gang != nil
	}
	if stopsGang || g.isZoneFull(m.zone) {
		g.collectCandidates() // a gang frees resources on other machines, and a full zone is excluded
	} else {
		g.addCandidate(m)
	}
	return true
}

// addVictim adds the cost and the freed resources of a victim. If the victim belongs to a gang, the
// resources of all tasks of that gang are freed.
func (g *gangPlacement) addVictim(victim *assignment) {
	g.preemptionCost += g.placer.preemptionCost(victim)
	if victim.job.gang == nil {
		g.viewOf(victim.machine).addVictim(victim)
		return
	}
	for _, member := range victim.job.sortedAssignments() {
		g.viewOf(member.machine).addVictim(member)
	}
}

// viewOf returns the view of a machine, and creates it if there is none.
func (g *gangPlacement) viewOf(m *machine) *plannedView {
	view := g.views[m]
	if view == nil {
		view = &plannedView{}
		g.views[m] = view
	}
	return view
}
