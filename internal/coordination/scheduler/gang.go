package scheduler

import (
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

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

// gang decides what becomes of the tasks of a gang together. Every change of one of its bindings leaves it on a list (see touchGang), and
// settleGangs looks at the gang as a whole before the next placement.
//
// Its tasks share one attempt number, also a task that takes the place of a lost one before the start. A binding is therefore known by
// machine, session and attempt, and the next attempt begins only when no task is bound any more.
type gang struct {
	job     *job
	state   gangState
	attempt uint64

	gatherBy time.Duration   // when the first task may give up waiting for the others; 0 while none waits
	avoided  map[string]bool // machines that lost a task of this attempt: their workers may know the attempt
	endWith  string          // why this attempt must end, learned from the end of one task; "" if nothing is known
	stopAt   time.Duration   // when the tasks were first told to stop

	unplannable bool // the last plan found no machines for all its tasks

	touched bool // is on the list for settleGangs
	placed  bool // is on the list for commitGangs
}

// newGang returns the gang of a job, or nil if its tasks are independent.
func newGang(j *job) *gang {
	if !j.spec.Gang() {
		return nil
	}
	return &gang{job: j, avoided: map[string]bool{}}
}

// missing is how many tasks want a machine now: all of a gang that waits, and those that were lost before the start.
func (g *gang) missing() int {
	if g.settled() {
		return 0
	}
	switch g.state {
	case gangWaiting, gangPlaced, gangGathering:
		return g.job.spec.Tasks - len(g.job.bound)
	}
	return 0
}

// settled tells whether nothing is left to decide: the job is over, or its tasks are being removed for good.
func (g *gang) settled() bool {
	j := g.job
	return j.over || j.cancelled || j.doneCount == j.spec.Tasks
}

// touchGang notes that a gang must be looked at again.
func (s *Scheduler) touchGang(g *gang) {
	if g != nil && !g.touched {
		g.touched = true
		s.touchedGangs = append(s.touchedGangs, g)
	}
}

// settleGangs looks at all gangs of which something has changed.
func (s *Scheduler) settleGangs() {
	for len(s.touchedGangs) > 0 {
		g := s.touchedGangs[0]
		s.touchedGangs = s.touchedGangs[1:]
		g.touched = false
		if !g.settled() {
			s.settleGang(g)
		}
	}
}

// settleGang brings a gang in line with what is known of its tasks.
func (s *Scheduler) settleGang(g *gang) {
	j := g.job
	if len(j.bound) == 0 {
		*g = gang{job: j, avoided: map[string]bool{}, placed: g.placed}
		s.dirty = true
		return
	}
	known := g.survey()
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
	if !s.recovered {
		return // its other tasks may not have been heard of yet
	}
	missing := j.spec.Tasks - len(j.bound)
	switch {
	case known.mixed:
		s.stopGang(g, "tasks of several attempts")
	case g.endWith != "":
		s.stopGang(g, g.endWith)
	case g.state == gangRunning && missing > 0:
		s.abandonGang(g)
	case missing > 0 && known.sent == 0:
		s.releaseGang(g) // nobody knows of it yet, so it is placed anew as a whole
	case missing > 0:
		s.refills = append(s.refills, g)
		s.dirty = true
	}
}

// gangSurvey is what the bindings of a gang show together.
type gangSurvey struct {
	sent    int    // tasks whose start has gone out
	attempt uint64 // of those
	mixed   bool   // they are not of one attempt
	started bool   // one was seen running
	stopped bool   // one was told to stop
}

func (g *gang) survey() gangSurvey {
	var v gangSurvey
	for _, b := range g.job.bound {
		if b.phase == assigned {
			continue
		}
		v.mixed = v.mixed || (v.sent > 0 && b.attempt != v.attempt)
		v.sent++
		v.attempt = max(v.attempt, b.attempt)
		v.started = v.started || b.phase == running || b.phase == saving
		v.stopped = v.stopped || b.phase == saving || b.stop
	}
	return v
}

// stopGang tells all tasks of a gang to stop, never a part of them: they save together or not at all. Tasks whose start has not gone out
// are released.
func (s *Scheduler) stopGang(g *gang, why string) {
	if g.state != gangStopping {
		g.state, g.stopAt = gangStopping, s.now
	}
	for _, b := range g.job.sortedBound() {
		if b.phase == assigned {
			s.unbind(b)
			continue
		}
		s.stopBinding(b, why)
	}
}

// abandonGang ends what is left of a gang that has lost a task after its start. Its work since the last checkpoint is lost already;
// the rest would only wait until they notice, so that the next attempt would begin later.
func (s *Scheduler) abandonGang(g *gang) {
	for _, b := range g.job.bound {
		b.abrupt = true
	}
	s.note(true, "gang lost a task", "job", g.job.id, "attempt", g.attempt, "left", len(g.job.bound))
	s.stopGang(g, "another task of the gang is gone")
}

// releaseGang gives up room that was promised to a gang of which no start has gone out.
func (s *Scheduler) releaseGang(g *gang) {
	for _, b := range g.job.sortedBound() {
		s.unbind(b)
	}
}

// stopTask stops a task, and with it the gang that it belongs to.
func (s *Scheduler) stopTask(b *binding, why string) {
	if b.job.gang != nil {
		s.stopGang(b.job.gang, why)
		return
	}
	s.stopBinding(b, why)
}

// lostGangTask notes that a task of a gang is not on its machine any more.
func (s *Scheduler) lostGangTask(b *binding) {
	g := b.job.gang
	if g == nil {
		return
	}
	if b.phase != assigned {
		g.avoided[b.machine.name] = true
	}
	s.touchGang(g)
}

// gangTaskEnded takes the reason for which a task of a gang ended.
func (s *Scheduler) gangTaskEnded(b *binding, t *protocol.TaskReport) {
	g := b.job.gang
	if g == nil {
		return
	}
	switch {
	case t.Reason == protocol.ReasonIncomplete:
		g.endWith = "the gang was not complete in time"
	case t.Reason == protocol.ReasonPeers && g.state < gangRunning:
		g.state = gangRunning // it had started, although no report showed that
	case t.Reason == protocol.ReasonHalted && !b.stop:
		g.endWith = "stopped by an earlier leader"
	}
}

// gangGathers notes that a task of a gang waits for the others, since a report ago at most.
func (s *Scheduler) gangGathers(g *gang) {
	if g != nil && g.gatherBy == 0 {
		g.gatherBy = s.now + s.gangWait() - s.stale()
	}
}

func (s *Scheduler) gangWait() time.Duration { return optionalSeconds(s.cfg.Workers.GangWaitS) }

func (s *Scheduler) gangPeer() time.Duration { return optionalSeconds(s.cfg.Workers.GangPeerS) }

func optionalSeconds(v *float64) time.Duration {
	if v == nil {
		return 0
	}
	return limits.Seconds(*v)
}

// commitGangs lets the starts of a gang go out once room for all its tasks is confirmed, so that two gangs can't each hold what the other
// lacks. The room of a committed task is kept for it even before its start is sent.
func (s *Scheduler) commitGangs() {
	if !s.roomChanged {
		return
	}
	s.roomChanged = false
	s.placedGangs = slices.DeleteFunc(s.placedGangs, func(g *gang) bool {
		waiting := g.uncommitted()
		if len(waiting) > 0 && !s.roomConfirmed(waiting) {
			return false
		}
		for _, b := range waiting {
			b.committed = true
			s.queueCommands(b.machine)
		}
		if len(waiting) > 0 && g.state == gangPlaced {
			g.state = gangGathering
		}
		g.placed = false
		return true
	})
}

// uncommitted are the tasks of a gang that have room promised and may not start yet.
func (g *gang) uncommitted() []*binding {
	var out []*binding
	for _, b := range g.job.bound {
		if b.phase == assigned && !b.committed {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b *binding) int { return a.index - b.index })
	return out
}

// roomConfirmed tells whether every machine of the tasks surely has room for them now.
func (s *Scheduler) roomConfirmed(tasks []*binding) bool {
	need := map[*machine]room{}
	for _, b := range tasks {
		need[b.machine] = need[b.machine].plus(b.job.need)
	}
	for m, r := range need {
		if m.registration != registered || !s.usable(m) || !m.size().holds(m.held().plus(r)) {
			return false
		}
	}
	return true
}

// held is the room of tasks that are on the machine or on their way, and of those that were committed to it.
func (m *machine) held() room {
	var held room
	for _, b := range m.bindings {
		if b.phase != assigned || b.committed {
			held = held.plus(b.job.need)
		}
	}
	return held
}

// gangsSave tells whether gangs on a machine that is to be returned still need it to save their work. It tells them to stop first.
func (s *Scheduler) gangsSave(m *machine) bool {
	wait := false
	for _, b := range m.sortedBinds() {
		g := b.job.gang
		if g == nil || g.settled() || (b.phase != running && b.phase != saving) {
			continue
		}
		s.stopGang(g, "its machine is returned")
		saved := g.stopAt + limits.Seconds(b.job.spec.SaveS) + limits.StashMargin + s.gangPeer()
		wait = wait || s.now < saved
	}
	return wait
}

// hasGangStop tells whether the machine has to be told of a gang's stop. That can't wait: tasks of a gang that are told too late lose the
// work of all.
func (m *machine) hasGangStop() bool {
	for _, b := range m.bindings {
		if b.job.gang != nil && b.stop && !b.stopSent {
			return true
		}
	}
	return false
}

// hasGangCommand tells whether the machine has a start or stop of a gang's task that has not gone out.
func (m *machine) hasGangCommand() bool {
	for _, b := range m.bindings {
		if b.job.gang != nil && ((b.stop && !b.stopSent) || (b.phase == assigned && b.committed)) {
			return true
		}
	}
	return false
}
