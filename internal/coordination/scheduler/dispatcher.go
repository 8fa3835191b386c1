package scheduler

import (
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// commandDispatcher sends commands to workers directly, without waiting for their heartbeats. Only urgent
// stops and corrections are sent while limits.MaxDirectCommands are in flight. Workers reply within
// milliseconds, so many commands without a reply mean that the controller is overloaded. All other
// commands are then sent in the replies to the next heartbeats.
type commandDispatcher struct {
	*environment
	lastID        uint64     // last allocated ID of a direct command
	inFlight      int        // direct commands without an outcome yet
	waiting       []*machine // machines that may have unsent commands
	deferredCount int        // number of machines, at the head of waiting, that earlier sendWaiting calls did not reach
	urgent        []*machine // machines that may have an unsent stop of a gang's task
}

// newCommandDispatcher returns a dispatcher with no machines waiting.
func newCommandDispatcher(env *environment) *commandDispatcher {
	return &commandDispatcher{environment: env}
}

// enqueue queues a machine that has unsent commands.
func (d *commandDispatcher) enqueue(m *machine) {
	if !m.dispatchQueued {
		m.dispatchQueued = true
		d.waiting = append(d.waiting, m)
	}
}

// enqueueUrgent queues a machine that has an unsent stop of a gang's task.
func (d *commandDispatcher) enqueueUrgent(m *machine) { d.urgent = append(d.urgent, m) }

// peekNextID returns the ID of the next direct command without allocating it.
func (d *commandDispatcher) peekNextID() uint64 { return d.lastID + 1 }

// allocateID returns a new ID, which no other direct command has.
func (d *commandDispatcher) allocateID() uint64 {
	d.lastID++
	return d.lastID
}

// canSendTo reports whether a direct command may be sent to a machine now, and counts why not. A machine that
// is to be deleted gets stops and corrections too: the cloud may confirm its deletion late, or not at all.
func (d *commandDispatcher) canSendTo(m *machine) bool {
	switch {
	case m.pendingDirectID != 0:
		d.withhold(WithheldCommandInFlight, 1)
	case !d.canAddress(m) || d.isStale(m) || m.relayed:
		d.withhold(WithheldUnreachable, 1)
	case d.now < m.directBackoffUntil:
		d.withhold(WithheldBackoff, 1)
	default:
		return true
	}
	return false
}

// canAddress reports whether what is known of a machine's worker is enough for a direct command, and no
// other one is in flight to it.
func (d *commandDispatcher) canAddress(m *machine) bool {
	known := m.address != "" && m.hasReported && m.fenced && m.hasLiveIncarnation()
	return known && m.pendingDirectID == 0
}

// send sends commands to a machine for which canSendTo holds.
func (d *commandDispatcher) send(m *machine, commands []protocol.Command) {
	m.pendingDirectID = d.allocateID()
	d.inFlight++
	if slices.ContainsFunc(commands, isStart) {
		m.directStartToken = d.fencingTokenOf(m)
	}
	d.emit(SendDirectCommands{
		ID:           m.pendingDirectID,
		Machine:      m.name,
		Address:      m.address,
		Incarnation:  m.incarnation,
		FencingToken: d.fencingTokenOf(m),
		Commands:     commands,
	})
}

// recordOutcome records that the outcome of a direct command has arrived. It reports whether the command was
// still pending on the machine; m is nil if the machine was deleted.
func (d *commandDispatcher) recordOutcome(m *machine, id uint64) bool {
	d.inFlight--
	if m == nil || m.pendingDirectID != id {
		return false
	}
	m.pendingDirectID = 0
	return true
}

// sendCorrections sends the stops of unexpected tasks among the commands that reconcileTasks returned. If a direct
// command cannot be sent now, they are dropped. The next heartbeat of the machine produces the dropped commands again,
// and the commands to forget ended tasks, see fenceForgets.
func (d *commandDispatcher) sendCorrections(m *machine, commands []protocol.Command) {
	commands = withoutForgets(commands)
	if len(commands) > 0 && d.canSendTo(m) {
		d.send(m, commands)
	}
}

// sendOverdueStops sends commands that include stops of cancelled tasks to a machine whose heartbeat was
// rejected because of these tasks. It does so even if direct commands have failed before or the heartbeat
// was relayed: no reply carries stops to this machine any more.
func (d *commandDispatcher) sendOverdueStops(m *machine, commands []protocol.Command) {
	if len(commands) > 0 && d.canAddress(m) {
		d.send(m, commands)
	}
}

// sendUrgent sends the stops of gang tasks before all other commands and regardless of the limit on
// commands in flight: if one task of a gang is stopped too late, the work of all its tasks is lost. A
// machine to which no direct command can be sent now gets its stops in the reply to its next heartbeat, or
// once the outcome of its pending direct command has arrived.
func (d *commandDispatcher) sendUrgent(build func(*machine) []protocol.Command) {
	urgent := d.urgent
	d.urgent = nil
	for _, m := range urgent {
		if m.hasUnsentGangStop() && d.canSendTo(m) {
			d.send(m, build(m))
		}
	}
}

// sendWaiting sends the commands of the queued machines. Machines that earlier calls did not reach come
// first, the others follow by name.
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
			d.withhold(WithheldTooManyInFlight, d.deferredCount)
			return
		}
		if !m.dispatchQueued {
			continue // its commands were sent in the reply to a heartbeat
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

// dispatchCommands sends the unsent starts and stops directly, as far as possible.
func (s *Scheduler) dispatchCommands() {
	s.dispatcher.sendUrgent(s.assignments.buildDirectCommands)
	s.dispatcher.sendWaiting(s.assignments.buildDirectCommands)
}

// handleDirectCommandsDone handles the outcome of a direct command: its reply, or that there was none.
func (s *Scheduler) handleDirectCommandsDone(e DirectCommandsDone) {
	m := s.inventory.find(e.Machine)
	if !s.dispatcher.recordOutcome(m, e.ID) {
		return
	}
	s.reconcileDirectCommands(m, e)
	if m.hasUnsentGangCommand() { // added while this command was in flight
		s.dispatcher.enqueue(m)
		s.dispatcher.enqueueUrgent(m)
	}
}

// reconcileDirectCommands updates a machine's assignments from the outcome of a direct command.
func (s *Scheduler) reconcileDirectCommands(m *machine, e DirectCommandsDone) {
	heartbeat := e.Heartbeat
	switch {
	case e.NotExecuted:
		// The commands were not sent, or the worker rejected them, so their starts can no longer arrive.
		m.directBackoffUntil = s.now + limits.DirectCommandBackoff
		for _, a := range m.sortedAssignments() {
			if a.directID == e.ID && a.state == stateSent {
				s.assignments.release(a)
			}
		}
	case heartbeat == nil || heartbeat.Machine != e.Machine || !heartbeat.IsValid():
		// There is no reply, or none that shows anything about the machine's tasks. The worker may still
		// execute the commands, at any time until its incarnation or the term ends, so the tasks stay
		// assigned. Until the worker lists them, the replies to its heartbeats repeat the starts, which has
		// no effect on a started task.
		m.directBackoffUntil = s.now + limits.DirectCommandBackoff
		m.markStartsUnconfirmed(e.ID)
	case m.isOutdated(heartbeat, m.taskListSequence):
		// A newer message was processed first. Its task list shows whether the starts have arrived,
		// unless the worker sent it before it received them.
		m.markStartsUnconfirmed(e.ID)
	default:
		s.reachability.observeIncarnation(m, heartbeat)
		s.reachability.setVerified(m, true)
		s.dispatcher.sendCorrections(m, s.reconcileTasks(m, heartbeat, e.ID))
	}
}

// markStartsUnconfirmed marks the starts of a direct command as sent without confirmation: they may or may
// not have arrived.
func (m *machine) markStartsUnconfirmed(directID uint64) {
	for _, a := range m.assignments {
		if a.directID == directID {
			a.directID, a.startUnconfirmed = 0, true
		}
	}
}
