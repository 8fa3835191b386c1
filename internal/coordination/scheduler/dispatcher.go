package scheduler

import (
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// commandDispatcher sends commands to workers without waiting for their heartbeats.
type commandDispatcher struct {
	*environment
	sequence  uint64     // of direct commands
	inFlight  int        // direct commands that are not answered yet
	queue     []*machine // with commands that did not go out yet
	deferred  int        // of queue, how many were held back by earlier calls
	gangQueue []*machine // that have to be told of a gang's stop
}

// newCommandDispatcher returns a dispatcher without commands.
func newCommandDispatcher(env *environment) *commandDispatcher {
	return &commandDispatcher{environment: env}
}

// directCommandsDone takes the answer to a direct command.
func (s *Scheduler) directCommandsDone(e DirectCommandsDone) {
	s.dispatcher.inFlight--
	m := s.inventory.find(e.Machine)
	if m == nil || m.directID != e.ID {
		return
	}
	m.directID = 0
	defer s.queueGangDispatch(m)
	heartbeat := e.Heartbeat
	switch {
	case e.NotExecuted:
		// Nothing reached the worker, or it executed nothing: these starts cannot arrive any more.
		m.noDirectUntil = s.now + limits.DirectCommandBackoff
		for _, a := range m.sortedAssignments() {
			if a.directID == e.ID && a.state == stateSent {
				s.release(a)
			}
		}
	case heartbeat == nil:
		// It may be carried out at any time while the session and the term last. The next answers
		// to reports repeat the starts, which is harmless, and the tasks stay bound until they show
		// up or the session ends.
		m.noDirectUntil = s.now + limits.DirectCommandBackoff
		m.markStartsUnconfirmed(e.ID)
	case heartbeat.Machine != e.Machine || !heartbeat.Valid():
	case m.isOutdated(heartbeat, m.sequence):
		// A later message was here first and has told what became of the tasks, but for one that it
		// was too early for.
		m.markStartsUnconfirmed(e.ID)
	default:
		s.observeIncarnation(m, heartbeat)
		s.setVerified(m, true)
		s.sendCorrections(m, s.reconcileTasks(m, heartbeat, e.ID))
	}
}

// queueGangDispatch sends the commands of gangs that came up while another direct command was on
// its way.
func (s *Scheduler) queueGangDispatch(m *machine) {
	if !m.hasUnsentGangCommand() {
		return
	}
	s.queueDispatch(m)
	s.dispatcher.gangQueue = append(s.dispatcher.gangQueue, m)
}

// markStartsUnconfirmed notes that we cannot tell whether the starts of a direct command have arrived.
func (m *machine) markStartsUnconfirmed(id uint64) {
	for _, a := range m.assignments {
		if a.directID == id {
			a.directID, a.startUnconfirmed = 0, true
		}
	}
}

// sendCorrections sends orders about tasks that should not be on a machine; if it is not possible
// now, its next report brings them up again.
func (s *Scheduler) sendCorrections(m *machine, commands []protocol.Command) {
	if len(commands) > 0 && s.canSendDirectly(m) {
		s.sendDirectly(m, commands)
	}
}

func (s *Scheduler) canSendDirectly(m *machine) bool {
	reachable := m.address != "" && m.hasReported && m.fenced && m.incarnation > m.endedIncarnation
	fresh := s.now >= m.noDirectUntil && !s.isStale(m)
	return reachable && fresh && m.directID == 0 && !m.relayed && !m.deleting
}

func (s *Scheduler) sendDirectly(m *machine, commands []protocol.Command) {
	s.dispatcher.sequence++
	m.directID = s.dispatcher.sequence
	s.dispatcher.inFlight++
	s.emit(SendDirectCommands{ID: m.directID, Machine: m.name, Address: m.address, Incarnation: m.incarnation, Commands: commands})
}

// queueDispatch notes that a machine has orders that did not go out yet.
func (s *Scheduler) queueDispatch(m *machine) {
	if !m.dispatchQueued {
		m.dispatchQueued = true
		s.dispatcher.queue = append(s.dispatcher.queue, m)
	}
}

// dispatch sends starts and stops directly to machines that have just been decided on. Only so many
// commands are on their way at once: a worker answers in milliseconds, so more than that means that
// this controller is behind, and then what is left over goes out in the answers to the next
// reports.
func (s *Scheduler) dispatch() {
	s.dispatchGangStops()
	if len(s.dispatcher.queue) == 0 || s.dispatcher.inFlight >= limits.MaxDirectCommands {
		return
	}
	queued := s.dispatcher.queue
	slices.SortFunc(queued[s.dispatcher.deferred:], byName)
	s.dispatcher.queue, s.dispatcher.deferred = nil, 0
	for i, m := range queued {
		if s.dispatcher.inFlight >= limits.MaxDirectCommands {
			s.dispatcher.queue = queued[i:]
			s.dispatcher.deferred = len(s.dispatcher.queue)
			return
		}
		if !m.dispatchQueued {
			continue
		}
		m.dispatchQueued = false
		if !s.canSendDirectly(m) {
			continue
		}
		if commands := s.buildCommands(m, 0, nil); len(commands) > 0 {
			s.sendDirectly(m, commands)
		}
	}
}

// dispatchGangStops sends the stops of gangs ahead of all else, however many commands are on their
// way: a gang of which one task is told too late loses the work of all. A machine that takes no
// direct command now is told in the answer to its next report, or once the command that is on its
// way is answered.
func (s *Scheduler) dispatchGangStops() {
	queued := s.dispatcher.gangQueue
	s.dispatcher.gangQueue = nil
	for _, m := range queued {
		if m.hasUnsentGangStop() && s.canSendDirectly(m) {
			s.sendDirectly(m, s.buildCommands(m, 0, nil))
		}
	}
}
