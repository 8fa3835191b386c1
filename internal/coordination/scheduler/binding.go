package scheduler

import (
	"time"

	"quillshunt/internal/protocol"
)

type phase uint8

const (
	assigned phase = iota // ours alone: no order has left yet
	sent                  // a start is on its way, or was lost
	fetching
	gathering // of a gang: has its image and waits for the others
	running
	saving
)

// binding ties a task to a session of a machine.
type binding struct {
	job      *job
	index    int
	task     string // the task's name
	attempt  uint64
	machine  *machine
	phase    phase
	direct   uint64        // the direct command that carried the start and is not answered yet
	unclear  bool          // a direct start went out and no answer came: it may arrive as long as this session and term last
	resent   bool          // the start was repeated in an answer to a report
	stopSent bool          // the stop went out at least once
	at       time.Duration // when it was bound
	runAt    time.Duration // when it was first seen running
	stop     bool
	stopWhy  string

	committed bool // of a gang: room for all its tasks is confirmed, so the start may go out
	abrupt    bool // to be ended without saving
}

// exit is an ended task that its machine still lists.
type exit struct {
	keep     bool // an unclear start of this attempt may still arrive; forgotten, it would run again
	job      *job // nil if there is nothing to write down
	chunk    int
	sequence uint64
}

// durable tells whether the result, if there is one, is written down.
func (x exit) durable() bool {
	return x.job == nil || x.job.over || x.job.chunks[x.chunk].durable >= x.sequence
}

// bind ties a task to a machine's present session.
func (s *Scheduler) bind(j *job, idx int, m *machine, try uint64, ph phase) *binding {
	b := &binding{job: j, index: idx, task: protocol.TaskName(j.id, idx), attempt: try, machine: m, phase: ph, at: s.now}
	j.bound[idx] = b
	j.startedAt = s.now
	s.touchGang(j.gang)
	s.queueCommands(m)
	setBit(j.busy, idx)
	m.bindings[b.task] = b
	m.used = m.used.plus(j.need)
	j.team.used = j.team.used.plus(j.need)
	return b
}

// unbind takes a task off its machine. The caller has the evidence that it is not there and cannot come there:
// no start of this attempt is on its way, or the session is over, or the machine is gone.
func (s *Scheduler) unbind(b *binding) {
	j, m := b.job, b.machine
	if m.bindings[b.task] != b {
		return // with its gang, by an earlier step of the same loop
	}
	s.lostGangTask(b)
	delete(j.bound, b.index)
	clearBit(j.busy, b.index)
	j.cursor = min(j.cursor, b.index)
	delete(m.bindings, b.task)
	m.used = m.used.minus(j.need)
	j.team.used = j.team.used.minus(j.need)
	if b.stop {
		m.leaving = m.leaving.minus(j.need)
	}
	if len(m.bindings) == 0 {
		m.used, m.leaving = room{}, room{} // no rounding is carried on
		m.idleSince = s.now
	}
	s.dirty, s.roomChanged = true, true
}
