package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

func (r *rental) request() protocol.RentalRequest {
	return protocol.RentalRequest{Name: r.name, MachineType: r.record.MachineType, Zone: r.record.Zone, Spot: r.record.Spot, Count: r.record.Count}
}

func (s *Scheduler) rentalLoaded(e RentalLoaded) {
	r := &rental{name: e.Name, record: e.Record, version: e.Version, requestedAt: s.now, state: rentalRequested, answerDurable: e.Record.Answered}
	s.rentals.byName[e.Name] = r
	if e.Record.Answered {
		r.state = rentalAnswered
	} else {
		s.emit(RentMachines{Request: r.request()}) // repeated: the same answer, or the machines for the first time
	}
	for _, name := range e.Record.Machines {
		s.getOrAddMachine(name, e.Record.MachineType, e.Record.Zone, e.Record.Spot).rental = r.name
	}
}

// rentMachines starts a rental: its name is durable before the request leaves, so that a successor
// can ask for the answer.
func (s *Scheduler) rentMachines(pool machinePool, count int) {
	s.rentals.sequence++
	r := &rental{name: fmt.Sprintf("h-%d-%d", s.cfg.Term, s.rentals.sequence), state: rentalWriting, requestedAt: s.now,
		record: storage.Rental{MachineType: pool.typeName, Zone: pool.zone, Spot: pool.spot, Count: min(count, s.rentals.maxMachines)}}
	s.rentals.byName[r.name] = r
	s.logInfo("renting", "request", r.name, "type", pool.typeName, "zone", pool.zone, "spot", pool.spot, "count", r.record.Count)
	s.writeRental(r)
}

// writeRental writes a rental's record; one write of a record is under way at a time.
func (s *Scheduler) writeRental(r *rental) {
	if r.writing {
		r.dirty = true
		return
	}
	r.writing, r.dirty = true, false
	key := storage.RentalKey(r.name)
	s.write(pendingWrite{kind: writeRental, rental: r.name, answered: r.record.Answered}, []protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Put: key, Value: protocol.Encode(r.record)}})
}

func (s *Scheduler) rentalWritten(write pendingWrite, ok bool, version uint64) {
	r := s.rentals.byName[write.rental]
	if r == nil {
		return
	}
	r.writing = false
	if !ok {
		// Only we write rentals, so this cannot be; without a record the machines get no tasks.
		s.logWarn("rental record refused", "request", r.name)
		return
	}
	r.version = version
	if write.answered && !r.answerDurable {
		r.answerDurable = true
		for _, name := range r.record.Machines {
			if m := s.inventory.byName[name]; m != nil && m.hasReported {
				s.registerMachine(m) // it was up before its rental's record was written
			}
		}
	}
	if r.state == rentalWriting {
		r.state = rentalRequested
		s.emit(RentMachines{Request: r.request()})
	}
	s.reconcileRental(r)
}

// reconcileRental brings a rental's record in line with what is known: it goes once all its
// machines are gone.
func (s *Scheduler) reconcileRental(r *rental) {
	switch {
	case r.writing || r.version == 0:
	case r.state == rentalAnswered && len(r.record.Machines) == 0:
		s.removeRental(r)
	case r.dirty && r.state != rentalRemoving:
		s.writeRental(r)
	}
}

func (s *Scheduler) removeRental(r *rental) {
	r.state = rentalRemoving
	key := storage.RentalKey(r.name)
	s.write(pendingWrite{kind: writeRentalRemove, rental: r.name}, []protocol.Condition{{Key: key, Version: r.version}},
		[]protocol.Operation{{Delete: key}})
}

// adoptMachine makes a record for a machine that no rental of ours accounts for.
func (s *Scheduler) adoptMachine(m *machine) {
	r := &rental{name: "found-" + m.name, state: rentalAnswered, requestedAt: s.now,
		record: storage.Rental{MachineType: m.typeName, Zone: m.zone, Spot: m.spot, Answered: true, Machines: []string{m.name}}}
	if s.rentals.byName[r.name] != nil {
		return // its last record is just being removed; the next report tries again
	}
	s.logWarn("unexpected machine", "machine", m.name, "type", m.typeName, "zone", m.zone, "spot", m.spot)
	m.rental = r.name
	s.rentals.byName[r.name] = r
	s.writeRental(r)
}

func (s *Scheduler) rentalDone(e RentalDone) {
	r := s.rentals.byName[e.Name]
	if r == nil || r.state != rentalRequested {
		return
	}
	pool := machinePool{r.record.MachineType, r.record.Zone, r.record.Spot}
	switch {
	case e.NoCapacity:
		s.backOffPool(pool)
		s.planner.nextPlanAt = 0
		s.logInfo("no capacity", "request", r.name, "type", pool.typeName, "zone", pool.zone, "spot", pool.spot)
		s.removeRental(r)
		return
	case !e.OK:
		s.emit(RentMachines{Request: r.request()})
		return
	}
	if len(e.Machines) < r.record.Count {
		s.backOffPool(pool)
		s.planner.nextPlanAt = 0 // the rest is asked for elsewhere at once
	} else if state := s.rentals.pools[pool]; state != nil {
		state.backoff = 0
	}
	s.logInfo("rented", "request", r.name, "machines", len(e.Machines))
	r.state, r.dirty = rentalAnswered, true
	r.record.Answered = true
	for _, name := range e.Machines {
		if s.inventory.deleted[name] || slices.Contains(r.record.Machines, name) {
			continue
		}
		known := s.inventory.byName[name]
		m := s.getOrAddMachine(name, pool.typeName, pool.zone, pool.spot)
		if known == nil {
			m.createdAt = r.requestedAt
		}
		if m.rental == "" {
			m.rental = r.name
			r.record.Machines = append(r.record.Machines, name)
		}
	}
	s.placement.needed = true
	s.reconcileRental(r)
}

// backOffPool makes a pool wait before it is asked again.
func (s *Scheduler) backOffPool(pool machinePool) {
	state := s.poolState(pool)
	state.backoff = min(max(2*state.backoff, limits.CapacityBackoffMin), limits.CapacityBackoffMax)
	state.notBefore = s.now + state.backoff
}

func (s *Scheduler) poolState(pool machinePool) *poolState {
	state := s.rentals.pools[pool]
	if state == nil {
		state = &poolState{}
		s.rentals.pools[pool] = state
	}
	return state
}

func (s *Scheduler) machineTypesFetched(e MachineTypesFetched) {
	if !e.OK {
		s.catalog.nextFetchAt = s.now + limits.CloudRetryInterval
		return
	}
	s.catalog.nextFetchAt = s.now + limits.MachineTypesInterval
	clear(s.catalog.byName)
	s.catalog.names = s.catalog.names[:0]
	for i := range e.Types {
		t := e.Types[i]
		s.catalog.byName[t.Name] = &t
		s.catalog.names = append(s.catalog.names, t.Name)
	}
	sort.Strings(s.catalog.names)
	for _, m := range s.inventory.sorted {
		m.machineType = s.catalog.byName[m.typeName]
	}
	s.placement.needed = true
}

func (s *Scheduler) machinesListed(e MachinesListed) {
	s.cloudList.inFlight = false
	if !e.OK {
		s.cloudList.nextAt = s.now + limits.CloudRetryInterval
		return
	}
	s.cloudList.nextAt = s.now + limits.MachineListInterval
	listed := make(map[string]bool, len(e.Machines))
	for i := range e.Machines {
		entry := &e.Machines[i]
		listed[entry.Name] = true
		if s.inventory.deleted[entry.Name] {
			continue
		}
		m := s.inventory.byName[entry.Name]
		if m == nil {
			if entry.AgeS < (3 * s.cfg.ListLag).Seconds() {
				continue // perhaps the answer to a rental of ours is on its way
			}
			if s.now >= s.termStartedAt+limits.LeaseSurelyOver(s.workerLease) && entry.State != protocol.MachineRunning {
				continue
			}
			m = s.getOrAddMachine(entry.Name, entry.MachineType, entry.Zone, entry.Spot)
			m.createdAt = s.now - limits.Seconds(entry.AgeS)
			s.adoptMachine(m)
		}
		if !m.listed {
			m.createdAt = min(m.createdAt, s.now-limits.Seconds(entry.AgeS))
		}
		m.listed = true
		if m.address == "" {
			m.address = entry.Address
		}
		if entry.State == protocol.MachineFailed {
			s.returnMachine(m, "failed")
		}
	}
	for _, m := range s.inventory.sorted {
		if !s.recovery.ended && !m.hasReported && m.registration != unregistered && !listed[m.name] {
			// It reported to an earlier leader, so it was listed once or is very new. Its deletion
			// is the quickest evidence that nothing runs there.
			s.returnMachine(m, "not listed after the take-over")
			continue
		}
		if listed[m.name] || !m.listed {
			m.missingLists = 0
			continue
		}
		// It was listed and is no more: gone, unless this list is an old one. Deleting it makes sure.
		if m.missingLists++; m.missingLists >= limits.MissingListsBeforeDelete && s.now > m.lastHeartbeatAt+s.staleAfter() {
			s.returnMachine(m, "no longer listed")
		}
	}
}

// returnMachine returns a machine to the cloud. Once asked, there is no way back, as the request
// may be carried out at any time.
func (s *Scheduler) returnMachine(m *machine, reason string) {
	if m.deleting {
		return
	}
	m.deleting, m.deleteReason, m.deleteRequestedAt = true, reason, -never/2
	s.logInfo("returning", "machine", m.name, "reason", reason, "tasks", len(m.assignments))
	s.releaseUnsent(m)
}

func (s *Scheduler) deletionDone(e DeletionDone) {
	for _, name := range e.Machines {
		m := s.inventory.byName[name]
		if m == nil {
			continue
		}
		if !e.OK {
			m.deleteRequestedAt = s.now
			continue
		}
		// The machine and everything on it are gone.
		s.inventory.deleted[name] = true
		for _, a := range m.sortedAssignments() {
			s.release(a)
		}
		s.forgetMachine(m)
	}
	s.placement.needed = true
	for _, r := range s.sortedRentals() {
		s.reconcileRental(r)
	}
}

func (s *Scheduler) sortedRentals() []*rental {
	rentals := make([]*rental, 0, len(s.rentals.byName))
	for _, r := range s.rentals.byName {
		rentals = append(rentals, r)
	}
	sort.Slice(rentals, func(a, b int) bool { return rentals[a].name < rentals[b].name })
	return rentals
}

// manageFleet keeps the fleet in step with the work.
func (s *Scheduler) manageFleet() {
	if s.now >= s.catalog.nextFetchAt {
		s.catalog.nextFetchAt = s.now + limits.CloudTimeout
		s.emit(FetchMachineTypes{})
	}
	if s.now >= s.cloudList.nextAt && !s.cloudList.inFlight {
		s.cloudList.inFlight = true
		s.emit(ListMachines{})
	}
	if s.now >= s.nextSummaryAt {
		s.nextSummaryAt = s.now + limits.SummaryInterval
		s.logSummary()
	}
	s.writeRegistryPages()
	s.removeFaultyMachines()
	s.prober.budget.refill(s.now)
	s.probeMachines()
	if s.now >= s.planner.nextPlanAt && (s.recovery.ended || s.now > s.termStartedAt+s.staleAfter()) && len(s.catalog.byName) > 0 {
		s.planner.nextPlanAt = s.now + limits.PlanInterval
		s.planCapacity()
	}
	var names []string
	for _, m := range s.inventory.sorted {
		if m.deleting && s.now >= m.deleteRequestedAt+limits.CloudRetryInterval && len(names) < limits.MaxDeleteSize {
			m.deleteRequestedAt = never / 2
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		s.emit(DeleteMachines{Machines: names})
	}
}

// MsgSummary marks the line that shows how the term stands.
const SummaryMessage = "summary"

// logSummary writes that line.
func (s *Scheduler) logSummary() {
	up, booting, doubted, total, used, waiting, bound := 0, 0, 0, 0.0, 0.0, 0, 0
	for _, m := range s.inventory.sorted {
		if !m.hasReported {
			booting++
			continue
		}
		up++
		if !m.verified {
			doubted++
		}
		total += m.size().CPUs
		used += m.allocated.CPUs
	}
	for _, j := range s.jobs.oldestFirst() {
		if !j.cancelled {
			waiting += j.waitingTasks()
		}
		bound += len(j.assignments)
	}
	s.logInfo(SummaryMessage, "up", up, "booting", booting, "doubted", doubted, "cpus", total, "used", used, "jobs", s.jobs.count(), "waiting", waiting, "bound", bound, "settled", s.recovery.ended)
}

// isCorrelated tells whether so many of all machines at once must have a common cause.
func isCorrelated(n, all int) bool {
	return n > limits.CorrelatedMin && float64(n) > limits.CorrelatedSilenceShare*float64(all)
}

// removeFaultyMachines returns machines that do not serve: never up, silent, sick.
func (s *Scheduler) removeFaultyMachines() {
	silent, up, unheard, doubted := 0, 0, 0, 0
	limit := time.Duration(float64(s.workerLease) * limits.SilentLeaseShare)
	since := func(m *machine) time.Duration { // when it last showed that it hears us
		if !m.verified {
			return max(min(m.lastHeartbeatAt, m.unverifiedSince), s.termStartedAt)
		}
		return max(m.lastHeartbeatAt, s.termStartedAt)
	}
	quiet := func(m *machine) bool { return m.hasReported && s.now > since(m)+limit }
	for _, m := range s.inventory.sorted {
		switch {
		case m.deleting:
		case m.hasReported:
			up++
			if s.now > since(m)+s.staleAfter() {
				silent++
			}
			if !m.verified {
				doubted++
			}
		case m.registration != unregistered:
			unheard++
		}
	}
	s.prober.manyUnverified = doubted > limits.CorrelatedMin && float64(doubted) > limits.CorrelatedUnverifiedShare*float64(up)
	lost := isCorrelated(unheard, unheard+up)
	s.recovery.fewUnreported = !s.recovery.ended && float64(unheard) <= max(limits.CorrelatedMin, limits.FewUnreportedShare*float64(unheard+up))
	// Many machines falling silent together is a cut, not a series of deaths: they may come back,
	// sooner than others would boot. Counted are those that have only just begun to be silent, as
	// otherwise the first of a crowd would go one by one.
	crowd := isCorrelated(silent, up)
	for _, m := range s.inventory.sorted {
		if m.deleting {
			continue
		}
		if m.spotNotice {
			s.expediteResults(m)
		}
		switch {
		case !m.hasReported && m.registration != unregistered:
			// It had reported to an earlier leader, and neither reports to us nor answers.
			patience := max(limits.RecoveryPatience, time.Duration(limits.RecoveryPatienceReports*float64(s.heartbeatInterval)))
			if lost {
				patience = max(patience, limit) // so many at once may be a cut that ends soon
			}
			// While it may hold tasks nothing is placed anywhere. One of a few that does not answer
			// either costs less than the wait.
			if s.now > s.termStartedAt+patience || (s.recovery.fewUnreported && m.missedProbes >= limits.UnreportedProbeMisses) {
				s.returnMachine(m, "not heard of since the take-over")
			}
		case !m.hasReported:
			patience := limits.MinBootPatience
			if m.machineType != nil {
				patience = max(patience, time.Duration(limits.BootPatience*float64(limits.Seconds(m.machineType.BootS))))
			}
			if s.now > max(m.createdAt, s.termStartedAt)+patience {
				s.returnMachine(m, "never came up")
			}
		case quiet(m) && (!crowd || s.now > since(m)+limits.CorrelatedSilenceLeases*limits.LeaseSurelyOver(s.workerLease)):
			s.returnMachine(m, "silent")
		case m.isFaulty():
			if !s.gangsStillSaving(m) {
				s.returnMachine(m, "fails its tasks")
			}
		case m.isSlow():
			if !s.gangsStillSaving(m) {
				s.returnMachine(m, "slow")
			}
		case m.spotNotice && len(m.assignments) == 0 && s.resultsDurable(m):
			s.returnMachine(m, "spot notice")
		default:
			if s.holdsCancelledTask(m, s.cancelDeleteAt) {
				s.returnMachine(m, "cancelled task does not stop")
			}
		}
	}
}

// holdsCancelledTask tells whether a machine may have a task of a cancelled job although that job's
// time is over.
func (s *Scheduler) holdsCancelledTask(m *machine, over func(*job) time.Duration) bool {
	for _, b := range m.assignments {
		if b.job.cancelled && b.state != stateUnsent && s.now > over(b.job) {
			return true
		}
	}
	return false
}

// cancelDeleteAt is when a machine that still has a task of a cancelled job is deleted: early
// enough that the cloud has answered by lastAnswer. A leader that has only just learned of it lets
// the stops arrive first, while there is time.
func (s *Scheduler) cancelDeleteAt(j *job) time.Duration {
	within := limits.Seconds(s.cfg.Workers.CancelS)
	early := time.Duration(limits.CancelDeleteShare * float64(limits.CancelAnswerUntil(within, s.workerLease)))
	late := time.Duration(limits.CancelDeleteLatestShare * float64(within))
	return max(j.cancelledAt+early, min(j.cancelSeenAt+limits.CancelStopGrace, j.cancelledAt+late))
}

// cancelAnswerUntil is until when the reports of such a machine are answered. If its deletion is
// not confirmed by then, nothing but the end of its lease takes the task off it in time, also if it
// hangs and goes on. Its other tasks are lost with that, as they would be by the deletion.
func (s *Scheduler) cancelAnswerUntil(j *job) time.Duration {
	return j.cancelledAt + limits.CancelAnswerUntil(limits.Seconds(s.cfg.Workers.CancelS), s.workerLease)
}

// expediteResults asks for the results that a machine lists to be written down next: it is to go.
func (s *Scheduler) expediteResults(m *machine) {
	for _, x := range m.endedTasks {
		if !x.isDurable() {
			x.job.chunks[x.chunk].expedite = true
		}
	}
}

// resultsDurable tells whether all results that a machine lists are written down.
func (s *Scheduler) resultsDurable(m *machine) bool {
	for _, x := range m.endedTasks {
		if !x.isDurable() {
			return false
		}
	}
	return true
}
