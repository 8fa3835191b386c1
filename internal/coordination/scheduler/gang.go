package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// gangTable holds the gangs about which something is to be decided, and what gangs asked for lately.
type gangTable struct {
	*environment
	changed         []*gang // to be looked at by reconcileGangs
	uncommitted     []*gang // with tasks whose starts wait for commitGangs
	toRefill        []*gang // that lost a task before their start
	capacityChanged bool    // since the last commitGangs
	demand          map[gangKind]*gangDemand
}

// hasRefills reports whether gangs wait for a task in place of a lost one.
func (t *gangTable) hasRefills() bool { return len(t.toRefill) > 0 }

// newGangTable returns a table without gangs.
func newGangTable(env *environment) *gangTable {
	return &gangTable{environment: env, demand: map[gangKind]*gangDemand{}}
}

// gangState is where a gang stands: a job whose tasks run at the same time or not at all.
type gangState uint8

const (
	gangWaiting   gangState = iota // none of its tasks is bound to a machine
	gangPlaced                     // room is promised to all its tasks, and no start has gone out
	gangGathering                  // starts have gone out, and none of its tasks was seen running
	gangRunning                    // it was seen running, so all its tasks had started
	gangStopping                   // all its tasks were told to stop; it starts again once the last is gone
)

func (g gangState) String() string {
	return [...]string{"waiting", "placed", "gathering", "running", "stopping"}[g]
}

// gang decides what becomes of the tasks of a gang together. Every change of one of its bindings
// leaves it on a list (see touchGang), and settleGangs looks at the gang as a whole before the next
// placement.
//
// Its tasks share one attempt number, also a task that takes the place of a lost one before the
// start. A binding is therefore known by machine, session and attempt, and the next attempt begins
// only when no task is bound any more.
type gang struct {
	job     *job
	state   gangState
	attempt uint64

	completeBy    time.Duration   // when the first task may give up waiting for the others; 0 while none waits
	lostMachines  map[string]bool // machines that lost a task of this attempt: their workers may know the attempt
	abortReason   string          // why this attempt must end, learned from the end of one task; "" if nothing is known
	stopStartedAt time.Duration   // when the tasks were first told to stop

	lacksCapacity bool // the last plan found no machines for all its tasks

	changed      bool // is on the list for settleGangs
	awaitsCommit bool // is on the list for commitGangs
}

// newGang returns the gang of a job, or nil if its tasks are independent.
func newGang(j *job) *gang {
	if !j.spec.Gang() {
		return nil
	}
	return &gang{job: j, lostMachines: map[string]bool{}}
}

// missing is how many tasks want a machine now: all of a gang that waits, and those that were lost
// before the start.
func (g *gang) missing() int {
	if g.isOver() {
		return 0
	}
	switch g.state {
	case gangWaiting, gangPlaced, gangGathering:
		return g.job.spec.Tasks - len(g.job.assignments)
	}
	return 0
}

// isOver tells whether nothing is left to decide: the job is over, or its tasks are being removed
// for good.
func (g *gang) isOver() bool {
	j := g.job
	return j.closed || j.cancelled || j.doneCount == j.spec.Tasks
}

// markGangChanged notes that a gang must be looked at again.
func (s *Scheduler) markGangChanged(g *gang) {
	if g != nil && !g.changed {
		g.changed = true
		s.gangs.changed = append(s.gangs.changed, g)
	}
}

// reconcileGangs looks at all gangs of which something has changed.
func (s *Scheduler) reconcileGangs() {
	for len(s.gangs.changed) > 0 {
		g := s.gangs.changed[0]
		s.gangs.changed = s.gangs.changed[1:]
		g.changed = false
		if !g.isOver() {
			s.reconcileGang(g)
		}
	}
}

// reconcileGang brings a gang in line with what is known of its tasks.
func (s *Scheduler) reconcileGang(g *gang) {
	j := g.job
	if len(j.assignments) == 0 {
		*g = gang{job: j, lostMachines: map[string]bool{}, awaitsCommit: g.awaitsCommit}
		s.placement.requestPass()
		return
	}
	known := g.summarize()
	switch {
	case g.state == gangStopping:
		s.stopGang(g, "the gang is stopped")
		return
	case known.stopped:
		s.stopGang(g, "another task of the gang was told to stop")
		return
	}
	if known.started {
		g.state = gangRunning
	} else if known.sent > 0 {
		g.state = max(g.state, gangGathering)
	}
	if known.sent > 0 {
		g.attempt = known.attempt
	}
	if !s.recovery.hasEnded() {
		return // its other tasks may not have been heard of yet
	}
	missing := j.spec.Tasks - len(j.assignments)
	switch {
	case known.mixedAttempts:
		s.stopGang(g, "tasks of several attempts")
	case g.abortReason != "":
		s.stopGang(g, g.abortReason)
	case g.state == gangRunning && missing > 0:
		s.abortGang(g)
	case missing > 0 && known.sent == 0:
		s.releaseGang(g) // nobody knows of it yet, so it is placed anew as a whole
	case missing > 0:
		s.gangs.toRefill = append(s.gangs.toRefill, g)
		s.placement.requestPass()
	}
}

// gangSummary is what the bindings of a gang show together.
type gangSummary struct {
	sent          int    // tasks whose start has gone out
	attempt       uint64 // of those
	mixedAttempts bool   // they are not of one attempt
	started       bool   // one was seen running
	stopped       bool   // one was told to stop
}

func (g *gang) summarize() gangSummary {
	var v gangSummary
	for _, b := range g.job.assignments {
		if b.state == stateUnsent {
			continue
		}
		v.mixedAttempts = v.mixedAttempts || (v.sent > 0 && b.attempt != v.attempt)
		v.sent++
		v.attempt = max(v.attempt, b.attempt)
		v.started = v.started || b.state == stateRunning || b.state == stateSaving
		v.stopped = v.stopped || b.state == stateSaving || b.stopping
	}
	return v
}

// stopGang tells all tasks of a gang to stop, never a part of them: they save together or not at
// all. Tasks whose start has not gone out are released.
func (s *Scheduler) stopGang(g *gang, why string) {
	if g.state != gangStopping {
		g.state, g.stopStartedAt = gangStopping, s.now
	}
	for _, b := range g.job.sortedAssignments() {
		if b.state == stateUnsent {
			s.release(b)
			continue
		}
		s.stopAssignment(b, why)
	}
}

// abortGang ends what is left of a gang that has lost a task after its start. Its work since the
// last checkpoint is lost already; the rest would only wait until they notice, so that the next
// attempt would begin later.
func (s *Scheduler) abortGang(g *gang) {
	for _, b := range g.job.assignments {
		b.withoutSaving = true
	}
	s.logWarn("gang lost a task", "job", g.job.id, "attempt", g.attempt, "left", len(g.job.assignments))
	s.stopGang(g, "another task of the gang is gone")
}

// releaseGang gives up room that was promised to a gang of which no start has gone out.
func (s *Scheduler) releaseGang(g *gang) {
	for _, b := range g.job.sortedAssignments() {
		s.release(b)
	}
}

// stopTask stops a task, and with it the gang that it belongs to.
func (s *Scheduler) stopTask(b *assignment, why string) {
	if b.job.gang != nil {
		s.stopGang(b.job.gang, why)
		return
	}
	s.stopAssignment(b, why)
}

// gangTaskLost notes that a task of a gang is not on its machine any more.
func (s *Scheduler) gangTaskLost(b *assignment) {
	g := b.job.gang
	if g == nil {
		return
	}
	if b.state != stateUnsent {
		g.lostMachines[b.machine.name] = true
	}
	s.markGangChanged(g)
}

// gangTaskEnded takes the reason for which a task of a gang ended.
func (s *Scheduler) gangTaskEnded(b *assignment, t *protocol.TaskStatus) {
	g := b.job.gang
	if g == nil {
		return
	}
	switch {
	case t.Reason == protocol.ReasonIncomplete:
		g.abortReason = "the gang was not complete in time"
	case t.Reason == protocol.ReasonPeers && g.state < gangRunning:
		g.state = gangRunning // it had started, although no report showed that
	case t.Reason == protocol.ReasonStopped && !b.stopping:
		g.abortReason = "stopped by an earlier leader"
	}
}

// gangTaskGathering notes that a task of a gang waits for the others, since a report ago at most.
func (s *Scheduler) gangTaskGathering(g *gang) {
	if g != nil && g.completeBy == 0 {
		g.completeBy = s.now + s.gangWaitTimeout() - s.staleAfter()
	}
}

func (s *Scheduler) gangWaitTimeout() time.Duration { return optionalSeconds(s.cfg.Workers.GangWaitS) }

func (s *Scheduler) gangPeerTimeout() time.Duration { return optionalSeconds(s.cfg.Workers.GangPeerS) }

func optionalSeconds(v *float64) time.Duration {
	if v == nil {
		return 0
	}
	return limits.Seconds(*v)
}

// commitGangs lets the starts of a gang go out once room for all its tasks is confirmed, so that
// two gangs can't each hold what the other lacks. The room of a committed task is kept for it even
// before its start is sent.
func (s *Scheduler) commitGangs() {
	if !s.gangs.capacityChanged {
		return
	}
	s.gangs.capacityChanged = false
	s.gangs.uncommitted = slices.DeleteFunc(s.gangs.uncommitted, func(g *gang) bool {
		waiting := g.uncommittedTasks()
		if len(waiting) > 0 && !s.capacityConfirmed(waiting) {
			return false
		}
		for _, b := range waiting {
			b.committed = true
			s.dispatcher.enqueue(b.machine)
		}
		if len(waiting) > 0 && g.state == gangPlaced {
			g.state = gangGathering
		}
		g.awaitsCommit = false
		return true
	})
}

// uncommittedTasks are the tasks of a gang that have room promised and may not start yet.
func (g *gang) uncommittedTasks() []*assignment {
	var out []*assignment
	for _, b := range g.job.assignments {
		if b.state == stateUnsent && !b.committed {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b *assignment) int { return a.index - b.index })
	return out
}

// capacityConfirmed tells whether every machine of the tasks surely has room for them now.
func (s *Scheduler) capacityConfirmed(tasks []*assignment) bool {
	need := map[*machine]resource.Vector{}
	for _, b := range tasks {
		need[b.machine] = need[b.machine].Plus(b.job.demand)
	}
	for m, r := range need {
		if m.registration != registered || !s.isSchedulable(m) || !m.size().Fits(m.committedResources().Plus(r)) {
			return false
		}
	}
	return true
}

// committedResources is the room of tasks that are on the machine or on their way, and of those that
// were committed to it.
func (m *machine) committedResources() resource.Vector {
	var held resource.Vector
	for _, b := range m.assignments {
		if b.state != stateUnsent || b.committed {
			held = held.Plus(b.job.demand)
		}
	}
	return held
}

// gangsStillSaving tells whether gangs on a machine that is to be returned still need it to save
// their work. It tells them to stop first.
func (s *Scheduler) gangsStillSaving(m *machine) bool {
	wait := false
	for _, b := range m.sortedAssignments() {
		g := b.job.gang
		if g == nil || g.isOver() || (b.state != stateRunning && b.state != stateSaving) {
			continue
		}
		s.stopGang(g, "its machine is returned")
		saved := g.stopStartedAt + limits.Seconds(b.job.spec.SaveS) + limits.SaveMargin + s.gangPeerTimeout()
		wait = wait || s.now < saved
	}
	return wait
}

// hasUnsentGangStop tells whether the machine has to be told of a gang's stop. That can't wait:
// tasks of a gang that are told too late lose the work of all.
func (m *machine) hasUnsentGangStop() bool {
	for _, b := range m.assignments {
		if b.job.gang != nil && b.stopping && !b.stopSent {
			return true
		}
	}
	return false
}

// hasUnsentGangCommand tells whether the machine has a start or stop of a gang's task that has not
// gone out.
func (m *machine) hasUnsentGangCommand() bool {
	for _, b := range m.assignments {
		if b.job.gang != nil && ((b.stopping && !b.stopSent) || (b.state == stateUnsent && b.committed)) {
			return true
		}
	}
	return false
}
