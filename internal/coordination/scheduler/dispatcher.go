package scheduler

import (
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// commandDispatcher sends commands to workers directly, without waiting for their heartbeats. At most
// limits.MaxDirectCommands are in flight: a worker answers in milliseconds, so more than that means
// that this controller is behind, and then the rest goes out in the answers to the next heartbeats.
type commandDispatcher struct {
	*environment
	lastID        uint64     // of direct commands
	inFlight      int        // direct commands that are not answered yet
	waiting       []*machine // with commands that did not go out yet
	deferredCount int        // of waiting, how many were held back by earlier calls
	urgent        []*machine // that have to be told of a gang's stop
}

// newCommandDispatcher returns a dispatcher without commands.
func newCommandDispatcher(env *environment) *commandDispatcher {
	return &commandDispatcher{environment: env}
}

// enqueue notes that a machine has commands that did not go out yet.
func (d *commandDispatcher) enqueue(m *machine) {
	if !m.dispatchQueued {
		m.dispatchQueued = true
		d.waiting = append(d.waiting, m)
	}
}

// enqueueUrgent notes that a machine has to be told of a gang's stop.
func (d *commandDispatcher) enqueueUrgent(m *machine) { d.urgent = append(d.urgent, m) }

// nextID returns the ID that the next direct command gets.
func (d *commandDispatcher) peekNextID() uint64 { return d.lastID + 1 }

// takeID returns an ID that no other direct command has.
func (d *commandDispatcher) allocateID() uint64 {
	d.lastID++
	return d.lastID
}

// canSend reports whether a machine takes a direct command now.
func (d *commandDispatcher) canSendTo(m *machine) bool {
	known := m.address != "" && m.hasReported && m.fenced && m.hasLiveIncarnation()
	fresh := d.now >= m.directBackoffUntil && !d.isStale(m)
	return known && fresh && m.pendingDirectID == 0 && !m.relayed && !m.deleting
}

// send sends commands to a machine that can take them.
func (d *commandDispatcher) send(m *machine, commands []protocol.Command) {
	m.pendingDirectID = d.allocateID()
	d.inFlight++
	d.emit(SendDirectCommands{
		ID:          m.pendingDirectID,
		Machine:     m.name,
		Address:     m.address,
		Incarnation: m.incarnation,
		Commands:    commands,
	})
}

// answered notes that a direct command is over. It reports whether the machine, nil if it is gone, still
// waited for that.
func (d *commandDispatcher) recordAnswer(m *machine, id uint64) bool {
	d.inFlight--
	if m == nil || m.pendingDirectID != id {
		return false
	}
	m.pendingDirectID = 0
	return true
}

// sendCorrections sends commands about tasks that should not be on a machine; if it is not possible
// now, its next heartbeat brings them up again.
func (d *commandDispatcher) sendCorrections(m *machine, commands []protocol.Command) {
	if len(commands) > 0 && d.canSendTo(m) {
		d.send(m, commands)
	}
}

// sendUrgent sends the stops of gangs ahead of all else, however many commands are in flight: a gang
// of which one task is told too late loses the work of all. A machine that takes no direct command
// now is told in the answer to its next heartbeat, or once the command in flight is answered.
func (d *commandDispatcher) sendUrgent(build func(*machine) []protocol.Command) {
	urgent := d.urgent
	d.urgent = nil
	for _, m := range urgent {
		if m.hasUnsentGangStop() && d.canSendTo(m) {
			d.send(m, build(m))
		}
	}
}

// sendWaiting sends what the machines that wait have to be told, those first that have waited for
// longest.
func (d *commandDispatcher) sendWaiting(build func(*machine) []protocol.Command) {
	if len(d.waiting) == 0 || d.inFlight >= limits.MaxDirectCommands {
		return
	}
	waiting := d.waiting
	slices.SortFunc(waiting[d.deferredCount:], compareNames)
	d.waiting, d.deferredCount = nil, 0
	for i, m := range waiting {
		if d.inFlight >= limits.MaxDirectCommands {
			d.waiting = waiting[i:]
			d.deferredCount = len(d.waiting)
			return
		}
		if !m.dispatchQueued {
			continue // the answer to a heartbeat has brought them
		}
		m.dispatchQueued = false
		if !d.canSendTo(m) {
			continue
		}
		if commands := build(m); len(commands) > 0 {
			d.send(m, commands)
		}
	}
}

// dispatch sends the starts and stops of the machines that have just been decided on.
func (s *Scheduler) dispatch() {
	s.dispatcher.sendUrgent(s.assignments.buildDirectCommands)
	s.dispatcher.sendWaiting(s.assignments.buildDirectCommands)
}

// directCommandsDone handles the answer to a direct command, or its absence.
func (s *Scheduler) directCommandsDone(e DirectCommandsDone) {
	m := s.inventory.find(e.Machine)
	if !s.dispatcher.recordAnswer(m, e.ID) {
		return
	}
	s.reconcileDirectCommands(m, e)
	if m.hasUnsentGangCommand() { // came up while this command was in flight
		s.dispatcher.enqueue(m)
		s.dispatcher.enqueueUrgent(m)
	}
}

// reconcileDirectCommands learns from the outcome of a direct command what became of its starts.
func (s *Scheduler) reconcileDirectCommands(m *machine, e DirectCommandsDone) {
	heartbeat := e.Heartbeat
	switch {
	case e.NotExecuted:
		// Nothing reached the worker, or it executed nothing: these starts cannot arrive any more.
		m.directBackoffUntil = s.now + limits.DirectCommandBackoff
		for _, a := range m.sortedAssignments() {
			if a.directID == e.ID && a.state == stateSent {
				s.assignments.release(a)
			}
		}
	case heartbeat == nil:
		// It may be carried out at any time while the incarnation and the term last. The next
		// answers to heartbeats repeat the starts, which is harmless, and the tasks stay assigned
		// until they show up or the incarnation ends.
		m.directBackoffUntil = s.now + limits.DirectCommandBackoff
		m.markStartsUnconfirmed(e.ID)
	case heartbeat.Machine != e.Machine || !heartbeat.Valid():
		// It proves nothing.
	case m.isOutdated(heartbeat, m.taskListSequence):
		// A later message was here first and has shown what became of the tasks, except of one that
		// it was too early for.
		m.markStartsUnconfirmed(e.ID)
	default:
		s.reachability.observeIncarnation(m, heartbeat)
		s.reachability.setVerified(m, true)
		s.dispatcher.sendCorrections(m, s.reconcileTasks(m, heartbeat, e.ID))
	}
}

// markStartsUnconfirmed notes that it is unknown whether the starts of a direct command have arrived.
func (m *machine) markStartsUnconfirmed(directID uint64) {
	for _, a := range m.assignments {
		if a.directID == directID {
			a.directID, a.startUnconfirmed = 0, true
		}
	}
}
