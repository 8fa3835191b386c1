package scheduler

import (
	"cmp"
	"slices"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// commandChannel is the way on which commands go to a worker.
type commandChannel uint8

const (
	inHeartbeatReply commandChannel = iota
	inDirectCommand
)

// buildDirectCommands returns what a machine is told in a direct command.
func (t *assignmentTable) buildDirectCommands(m *machine) []protocol.Command {
	return t.buildCommands(m, inDirectCommand, nil)
}

// buildCommands appends to commands what else a machine is told: first stops and the starts that are
// repeated, then starts that fit into room that is surely free.
func (t *assignmentTable) buildCommands(
	m *machine, channel commandChannel, commands []protocol.Command,
) []protocol.Command {
	assignments := m.sortedAssignments()
	for _, a := range assignments {
		if a.state == stateUnsent {
			continue
		}
		if channel == inHeartbeatReply && a.needsStartRepeated() {
			a.startRepeated = true
			commands = append(commands, a.startCommand())
		}
		if a.stopping && (channel == inHeartbeatReply || !a.stopSent) {
			a.stopSent = true
			commands = append(commands, a.stopCommand())
		}
	}
	slices.SortStableFunc(assignments, func(a, b *assignment) int {
		return cmp.Compare(b.job.priority, a.job.priority)
	})
	return t.appendStarts(m, assignments, channel, commands)
}

// appendStarts appends the starts of the assignments that may go out now, and releases those that the
// machine should not get any more.
func (t *assignmentTable) appendStarts(
	m *machine, assignments []*assignment, channel commandChannel, commands []protocol.Command,
) []protocol.Command {
	size, committed := m.size(), m.committedResources()
	for _, a := range assignments {
		if a.state != stateUnsent {
			continue
		}
		if m.spotNotice || m.deleting || a.job.cancelled {
			t.release(a)
			continue
		}
		if m.registration != registered {
			continue // a successor would not know that tasks can be here
		}
		switch {
		case a.committed:
			// Its room is kept; see commitGangs.
		case a.job.gang != nil || !size.Covers(committed.Plus(a.job.demand)):
			continue // its room is not confirmed yet
		default:
			committed = committed.Plus(a.job.demand)
		}
		a.state, a.assignedAt = stateSent, t.now
		if channel == inDirectCommand {
			a.directID = t.dispatcher.nextID()
		}
		commands = append(commands, a.startCommand())
		if len(commands) >= limits.MaxCommands {
			break
		}
	}
	return commands
}

// needsStartRepeated reports whether a start that may have got lost is sent once more. The attempt
// stays the same, so it has no effect if the first start has arrived, or arrives later. With a stop
// behind it, it only makes the worker know the attempt. A cancelled job's task is not started even
// so; removeFaultyMachines sees to its machine.
func (a *assignment) needsStartRepeated() bool {
	return a.state == stateSent && a.startUnconfirmed && !a.job.cancelled && !a.job.closed
}

func (a *assignment) startCommand() protocol.Command {
	return protocol.Command{Verb: protocol.CommandStart, Task: a.taskName, Attempt: a.attempt}
}

// stopCommand returns the stop of a task, with the time that it has to save its work.
func (a *assignment) stopCommand() protocol.Command {
	grace := 0.0
	if a.savesOnStop() {
		grace = a.job.spec.SaveS + limits.SaveMargin.Seconds()
	}
	return protocol.Command{Verb: protocol.CommandStop, Task: a.taskName, Attempt: a.attempt, GraceS: &grace}
}

// savesOnStop reports whether a task that is stopped should save its work before it ends.
func (a *assignment) savesOnStop() bool {
	return a.job.spec.CheckpointS > 0 && !a.job.cancelled && !a.withoutSaving && a.stopReason != stopReasonDoneElsewhere
}

// repeatableCommands returns the commands of the last answer, without the starts that are not needed
// any more or have arrived since.
func (m *machine) repeatableCommands() []protocol.Command {
	var commands []protocol.Command
	for _, command := range m.lastCommands {
		if command.Verb == protocol.CommandStart && !m.awaitsStart(command) {
			continue
		}
		commands = append(commands, command)
	}
	return commands
}

// awaitsStart reports whether a start that was sent earlier should still arrive.
func (m *machine) awaitsStart(start protocol.Command) bool {
	a := m.assignments[start.Task]
	return a != nil && a.attempt == start.Attempt && a.state == stateSent && !a.stopping &&
		!a.job.cancelled && !a.job.closed
}
