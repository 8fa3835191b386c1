package scheduler

import (
	"time"

	"quillshunt/internal/limits"
)

// expire frees the tasks of sessions that are surely over.
func (s *Scheduler) expire() {
	for _, m := range s.fleet {
		if m.endedSession >= max(m.session, 1) || s.now < m.leaseBase+limits.WaitOut(s.lease) {
			if s.now > m.heard+s.stale() {
				s.withdraw(m)
			}
			continue
		}
		// The worker sent the last report that we answered before it arrived here, so by its own clock
		// and ours its lease is over and it has killed its tasks.
		if len(m.bindings) > 0 {
			s.note(true, "session lapsed", "machine", m.name, "tasks", len(m.bindings))
		}
		for _, b := range m.sortedBinds() {
			s.unbind(b)
		}
		m.exits = map[attemptKey]exit{}
		m.endedSession = max(m.session, 1)
		if !m.seen {
			m.endedSession = 0 // we do not know which session it was in; see endRecovery
		}
	}
}

// stale is how long a machine may be silent and still get tasks.
func (s *Scheduler) stale() time.Duration {
	return time.Duration(float64(s.report) * limits.FreshReports)
}

// withdraw takes back tasks that no order has left for.
func (s *Scheduler) withdraw(m *machine) {
	for _, b := range m.sortedBinds() {
		if b.phase == assigned {
			s.unbind(b)
		}
	}
}

// endRecovery ends the time after a take-over in which tasks may run that we have not heard of: each machine that
// may hold some has reported to us or is gone, or its lease from before is over. A machine that we have greeted has had its lease
// renewed by that: it has
// the whole of it again, although it has shown us no tasks yet. A leader that is too busy to take its next reports must not forget that.
func (s *Scheduler) endRecovery() {
	for _, m := range s.fleet {
		if !m.fenced && m.registration != unregistered && s.now < max(s.tookOver, m.leaseBase)+limits.WaitOut(s.lease) {
			return
		}
	}
	s.recovered, s.dirty = true, true
	for _, j := range s.queue {
		s.touchGang(j.gang)
	}
	s.note(false, "rebuilt", "after", s.now-s.tookOver, "machines", len(s.fleet), "jobs", len(s.jobs))
}
