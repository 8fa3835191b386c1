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

// placer decides where tasks go: it filters and ranks machines and chooses victims, request by
// request, and reserves machines for jobs that wait long. It changes no assignments; placeTasks
// carries out what it decides.
type placer struct {
	*environment
	queue     *jobQueue
	inventory *machineInventory

	passRequested bool // something changed that placement looks at
	pass          placementPass
	// nextPreemptionSearch is when requests that found no tasks to preempt may look for them again:
	// the search goes through all tasks of all machines, and in an overload many jobs search at
	// every event. Until then they use free resources like others.
	nextPreemptionSearch map[placementRequest]time.Duration
}

// placementPass is what a scheduling pass keeps, so that its cost hardly grows with fleet and
// backlog. Each request is still decided as if it looked at every machine anew (see
// TestPassMatchesNaivePlacement).
type placementPass struct {
	jobs              []*job          // with tasks to place, in the order of the queue
	minDemand         resource.Vector // none of them needs less of any resource
	machines          []*machine      // that may get tasks, by name
	withFreeResources []*machine      // those of them with enough free resources for some job
	maxFreeResources  resource.Vector // no machine has more of any resource free
	reservationsLeft  int             // machines that may still be reserved; see reserveForJob

	unplaceable      map[placementRequest]bool // requests for which no machine was found
	unplaceableGangs map[gangRequest]bool

	groups                placement.ScoreGroups[*machine] // kept for its memory; see collectCandidates
	reservationCandidates []*machine                      // kept for its memory; see reserveForJob
}

// placementRequest is what decides where a task of a job may go, for jobs without particular
// requirements.
type placementRequest struct {
	demand          resource.Vector
	team            *team
	priority        protocol.Priority
	guaranteed      bool
	spot            bool
	preempting      bool
	gangReservation bool // may use machines that are reserved for gangs
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
			groups:           placement.NewScoreGroups(compareNames),
		},
		nextPreemptionSearch: map[placementRequest]time.Duration{},
	}
}

// requestPass lets the next step place tasks: something changed that placement looks at.
func (p *placer) requestPass() { p.passRequested = true }

// isPassRequested reports whether tasks may be placed that could not be placed before.
func (p *placer) isPassRequested() bool { return p.passRequested }

// eligibleMachines returns the machines of the pass that a task may go to.
func (p *placer) eligibleMachines(preempting bool) []*machine {
	return p.pass.eligibleMachines(preempting)
}

// collectJobs returns the jobs with tasks to place, in the order of the queue. The slice is the
// placer's own, and valid for this pass.
func (p *placer) collectJobs() []*job {
	p.passRequested = false
	pass := &p.pass
	pass.jobs = pass.jobs[:0]
	for _, j := range p.queue.order() {
		if j.waitingTasks() == 0 || j.cancelled || j.closed || p.now < j.retryAt || !j.withinTeamLimit() {
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

// beginPass collects the machines that may get tasks of the collected jobs. Reservations of the
// pass before end.
func (p *placer) beginPass() {
	pass := &p.pass
	pass.machines, pass.withFreeResources = pass.machines[:0], pass.withFreeResources[:0]
	pass.maxFreeResources = resource.Vector{}
	pass.clearUnplaceable()
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
	pass.reservationsLeft = (len(pass.machines) + limits.MachinesPerReservation - 1) / limits.MachinesPerReservation
}

// jobSearch is the search for machines for the tasks of one job in a pass.
type jobSearch struct {
	job       *job
	request   placementRequest
	isGeneric bool // the request alone decides where a task may go
}

// newSearch returns the search for a job's tasks. It reports false if it is known to find nothing.
func (p *placer) newSearch(j *job) (search jobSearch, ok bool) {
	search.job = j
	search.request = newPlacementRequest(j, p.mayPreemptNow(j))
	search.isGeneric = !j.hasZoneRule() && j.hasNoMachineRules()
	if search.request.preempting && p.hasJustSearched(&search) {
		search.request.preempting = false
	}
	ok = p.mayFit(j, search.request.preempting) && !(search.isGeneric && p.pass.unplaceable[search.request])
	return search, ok
}

// newPlacementRequest returns the request for a task of a job.
func newPlacementRequest(j *job, preempting bool) placementRequest {
	return placementRequest{
		demand: j.demand, team: j.team, priority: j.priority, guaranteed: j.guaranteed, spot: j.spec.Spot,
		preempting: preempting, gangReservation: j.mayUseGangReservation,
	}
}

// hasJustSearched reports whether the same search has found no tasks to preempt a short time ago.
func (p *placer) hasJustSearched(search *jobSearch) bool {
	if p.now < search.job.nextPreemptionSearch {
		return true
	}
	return search.isGeneric && p.now < p.nextPreemptionSearch[search.request]
}

// mayFit reports whether there may be a machine for a task of the job.
func (p *placer) mayFit(j *job, preempting bool) bool {
	return preempting || p.pass.maxFreeResources.Covers(j.demand)
}

// searchFailed notes that a search found no machine for a task.
func (p *placer) searchFailed(search *jobSearch) {
	if search.isGeneric {
		p.pass.unplaceable[search.request] = true
	}
	if !search.request.preempting {
		return
	}
	next := p.now + limits.PreemptionSearchInterval
	if search.isGeneric {
		p.nextPreemptionSearch[search.request] = next
	} else {
		search.job.nextPreemptionSearch = next
	}
}

// forgetPastSearches drops the requests that may look for tasks to preempt again.
func (p *placer) forgetPastSearches() {
	maps.DeleteFunc(p.nextPreemptionSearch, func(_ placementRequest, at time.Duration) bool { return at <= p.now })
}

// taskPlaced notes what a placement changes for the searches that follow in the pass. A reservation of
// the machine has served its purpose.
func (p *placer) taskPlaced(m *machine, victims []*assignment, borrowsMore bool) {
	m.reservedFor = nil
	if len(victims) > 0 {
		p.pass.addFreedMachine(m) // the victims may free more than was needed
	}
	if len(victims) > 0 || borrowsMore {
		p.pass.clearUnplaceable() // others may find free resources, or victims, that were not there before
	}
}

// gangStopped notes that the machines of a gang that was stopped have got more free resources.
func (p *placer) gangStopped(j *job) {
	for _, a := range j.sortedAssignments() {
		p.pass.addFreedMachine(a.machine)
	}
}

// clearUnplaceable lets requests be tried again for which no machine was found.
func (p *placementPass) clearUnplaceable() {
	clear(p.unplaceable)
	clear(p.unplaceableGangs)
}

// addFreedMachine notes that a machine has got more free resources during the pass.
func (p *placementPass) addFreedMachine(m *machine) {
	if _, usable := slices.BinarySearchFunc(p.machines, m, compareNames); !usable {
		return
	}
	p.maxFreeResources = p.maxFreeResources.Max(m.freeResources())
	if i, ok := slices.BinarySearchFunc(p.withFreeResources, m, compareNames); !ok {
		p.withFreeResources = slices.Insert(p.withFreeResources, i, m)
	}
}

// eligibleMachines are the machines to look at: a request that may preempt nothing needs free
// resources.
func (p *placementPass) eligibleMachines(preempting bool) []*machine {
	if preempting {
		return p.machines
	}
	return p.withFreeResources
}

func compareNames(a, b *machine) int { return strings.Compare(a.name, b.name) }
