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

// placer chooses the machine for each task. For each placement request it filters and ranks the
// machines and chooses the tasks to preempt. It also reserves machines for starved jobs. It does not
// change assignments: placeTasks applies its decisions.
type placer struct {
	*environment
	queue     *jobQueue
	inventory *machineInventory

	passRequested bool // something that affects placement has changed since the last pass
	pass          placementPass
	// nextPreemptionSearchAt is the time from which a request that found no tasks to preempt may search
	// for them again. A search visits all tasks of all machines, and during an overload many jobs would
	// search on every event. Before that time the request may still use free resources.
	nextPreemptionSearchAt map[placementRequest]time.Duration
}

// placementPass is the data that the requests of one scheduling pass share, so that the cost of a pass
// grows little with the number of machines and waiting jobs. The decisions are the same as if each
// request examined every machine (see TestPassMatchesNaivePlacement).
type placementPass struct {
	jobs              []*job          // jobs with tasks to place, in queue order
	minDemand         resource.Vector // minimum of their demands, per resource
	machines          []*machine      // machines that may get tasks, sorted by name
	withFreeResources []*machine      // those with free resources for at least minDemand
	maxFreeResources  resource.Vector // upper bound of their free resources, per resource
	reservationsLeft  int             // number of machines that may still be reserved; see reserveForJob
	placementsLeft    int             // number of tasks that may still be placed; see mayPlaceMore

	unplaceable      map[placementRequest]bool // requests for which no machine was found in this pass
	unplaceableGangs map[gangRequest]bool
	gangCosts        map[*job]float64 // cost of preempting a gang, as far as it was needed; see preemptionCost

	groups     placement.ScoreGroups[*machine] // reused between calls of collectCandidates
	unreserved reservationOrder                // machines that reserveForJob may reserve
}

// placementRequest holds the properties of a job that determine which machines its tasks may use, if the
// job has no rules of its own for zones, machine types or machines (see placementSearch.cacheable). Once the
// search for one such job has failed, jobs with equal requests skip theirs; see handleSearchFailed.
type placementRequest struct {
	demand                resource.Vector
	team                  *team
	priority              protocol.Priority
	guaranteed            bool
	spot                  bool
	preempting            bool
	mayUseGangReservation bool // may use machines that are reserved for gangs
}

// newPlacer returns a placer for the jobs of a queue and the machines of an inventory.
func newPlacer(env *environment, queue *jobQueue, inventory *machineInventory) *placer {
	return &placer{
		environment: env,
		queue:       queue,
		inventory:   inventory,
		pass: placementPass{
			unplaceable:      map[placementRequest]bool{},
			unplaceableGangs: map[gangRequest]bool{},
			gangCosts:        map[*job]float64{},
			groups:           placement.NewScoreGroups(compareNames),
		},
		nextPreemptionSearchAt: map[placementRequest]time.Duration{},
	}
}

// requestPass requests a scheduling pass in the next step. It is called when something that affects
// placement has changed.
func (p *placer) requestPass() { p.passRequested = true }

// isPassRequested reports whether a scheduling pass was requested since the last one.
func (p *placer) isPassRequested() bool { return p.passRequested }

// eligibleMachines returns the machines of the pass that a request has to examine; see
// placementPass.eligibleMachines.
func (p *placer) eligibleMachines(preempting bool) []*machine {
	return p.pass.eligibleMachines(preempting)
}

// collectJobs returns the jobs with tasks to place, in queue order. The caller must not modify the slice,
// which is valid for this pass.
func (p *placer) collectJobs() []*job {
	p.passRequested = false
	pass := &p.pass
	pass.jobs = pass.jobs[:0]
	for _, j := range p.queue.jobsInOrder() {
		if j.waitingTasks() == 0 || j.cancelled || j.closed || p.now < j.retryAt || !j.isWithinTeamLimit() {
			continue
		}
		if len(pass.jobs) == 0 {
			pass.minDemand = j.demand
		}
		pass.minDemand = pass.minDemand.Min(j.demand)
		pass.jobs = append(pass.jobs, j)
	}
	return pass.jobs
}

// beginPass collects the machines that may get tasks of the collected jobs, and ends the reservations of
// the previous pass.
func (p *placer) beginPass() {
	pass := &p.pass
	pass.machines, pass.withFreeResources = pass.machines[:0], pass.withFreeResources[:0]
	pass.maxFreeResources = resource.Vector{}
	pass.clearUnplaceable()
	clear(pass.gangCosts)
	for _, m := range p.inventory.all() {
		m.wasReserved, m.reservedFor = m.reservedFor != nil, nil
		if m.draining || !p.isSchedulable(m) || m.isAtTaskLimit() {
			continue
		}
		pass.machines = append(pass.machines, m)
		if free := m.freeResources(); free.Covers(pass.minDemand) {
			pass.withFreeResources = append(pass.withFreeResources, m)
			pass.maxFreeResources = pass.maxFreeResources.Max(free)
		}
	}
	pass.placementsLeft = limits.MaxPlacementsPerPass
	pass.reservationsLeft = (len(pass.machines) + limits.MachinesPerReservation - 1) / limits.MachinesPerReservation
}

// mayPlaceMore reports whether the pass may place more tasks. If it has placed limits.MaxPlacementsPerPass, the rest
// is left to another pass, which it requests, so that the heartbeats that wait meanwhile are processed first.
func (p *placer) mayPlaceMore() bool {
	if p.pass.placementsLeft <= 0 {
		p.requestPass()
		return false
	}
	return true
}

// endPass ends a pass: later changes of machines do not concern it.
func (p *placer) endPass() {
	p.pass.unreserved.reset()
	clear(p.pass.gangCosts) // keeps no closed jobs alive
}

// placementSearch is the search for machines for the tasks of one job in a pass.
type placementSearch struct {
	job       *job
	request   placementRequest
	cacheable bool // the result depends on the request alone, so it holds for other jobs too
}

// newSearch returns the search for machines for a job's tasks. ok is false if it is already known that no
// machine can be found.
func (p *placer) newSearch(j *job) (search placementSearch, ok bool) {
	search.job = j
	search.request = newPlacementRequest(j, p.mayPreemptNow(j))
	search.cacheable = !j.hasZoneRule() && j.hasNoMachineRules()
	if search.request.preempting && p.isPreemptionSearchThrottled(&search) {
		search.request.preempting = false
	}
	ok = p.mayFit(j, search.request.preempting) && !(search.cacheable && p.pass.unplaceable[search.request])
	return search, ok
}

// newPlacementRequest returns the placement request for a task of a job.
func newPlacementRequest(j *job, preempting bool) placementRequest {
	return placementRequest{
		demand: j.demand, team: j.team, priority: j.priority, guaranteed: j.guaranteed, spot: j.spec.Spot,
		preempting: preempting, mayUseGangReservation: j.mayUseGangReservation,
	}
}

// isPreemptionSearchThrottled reports whether the same search, or one with an equal request, found no tasks
// to preempt less than PreemptionSearchInterval ago.
func (p *placer) isPreemptionSearchThrottled(search *placementSearch) bool {
	if p.now < search.job.nextPreemptionSearchAt {
		return true
	}
	return search.cacheable && p.now < p.nextPreemptionSearchAt[search.request]
}

// mayFit reports whether a search for a machine for a task of the job can succeed. It is always true for a
// request that may preempt. Otherwise it compares the demand with an upper bound of the free resources, so
// the search may still find no machine.
func (p *placer) mayFit(j *job, preempting bool) bool {
	return preempting || p.pass.maxFreeResources.Covers(j.demand)
}

// handleSearchFailed records that a search found no machine for a task, so that equal searches are skipped in
// this pass, and equal preemption searches for PreemptionSearchInterval.
func (p *placer) handleSearchFailed(search *placementSearch) {
	if search.cacheable {
		p.pass.unplaceable[search.request] = true
	}
	if !search.request.preempting {
		return
	}
	next := p.now + limits.PreemptionSearchInterval
	if search.cacheable {
		p.nextPreemptionSearchAt[search.request] = next
	} else {
		search.job.nextPreemptionSearchAt = next
	}
}

// pruneExpiredSearchIntervals deletes the entries of nextPreemptionSearchAt whose time has passed.
func (p *placer) pruneExpiredSearchIntervals() {
	maps.DeleteFunc(p.nextPreemptionSearchAt, func(_ placementRequest, at time.Duration) bool { return at <= p.now })
}

// handleTaskPlaced updates the data of the pass after a task was placed on a machine, and ends the machine's
// reservation. startsBorrowing reports that the team now uses more than its guarantee, so that its tasks may
// now be preempted by other teams.
func (p *placer) handleTaskPlaced(m *machine, victims []*assignment, startsBorrowing bool) {
	p.pass.placementsLeft--
	m.reservedFor = nil
	if len(victims) > 0 {
		p.pass.addFreedMachine(m) // the victims may free more resources than the task needs
	}
	if len(victims) > 0 || startsBorrowing {
		p.pass.clearUnplaceable() // other requests may now find free resources or victims
	}
}

// handleResourcesChanged records that a machine has more or less free resources.
func (p *placer) handleResourcesChanged(m *machine) { p.pass.unreserved.markChanged(m) }

// handleGangStopped records that the machines of a stopped gang have more free resources.
func (p *placer) handleGangStopped(j *job) {
	for _, a := range j.sortedAssignments() {
		p.pass.addFreedMachine(a.machine)
	}
}

// clearUnplaceable discards the recorded failed searches, so that equal requests search again in this pass.
func (p *placementPass) clearUnplaceable() {
	clear(p.unplaceable)
	clear(p.unplaceableGangs)
}

// addFreedMachine records that a machine's free resources have increased during the pass.
func (p *placementPass) addFreedMachine(m *machine) {
	if _, usable := slices.BinarySearchFunc(p.machines, m, compareNames); !usable {
		return
	}
	p.maxFreeResources = p.maxFreeResources.Max(m.freeResources())
	if i, ok := slices.BinarySearchFunc(p.withFreeResources, m, compareNames); !ok {
		p.withFreeResources = slices.Insert(p.withFreeResources, i, m)
	}
}

// eligibleMachines returns the machines that a request has to examine: all machines of the pass if it may
// preempt tasks, otherwise those with free resources.
func (p *placementPass) eligibleMachines(preempting bool) []*machine {
	if preempting {
		return p.machines
	}
	return p.withFreeResources
}

// compareNames orders machines by name.
func compareNames(a, b *machine) int { return strings.Compare(a.name, b.name) }
