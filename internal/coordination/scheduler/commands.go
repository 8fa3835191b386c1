package scheduler

import (
	"cmp"
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// commandChannel is how commands are delivered to a worker.
type commandChannel uint8

const (
	inHeartbeatReply commandChannel = iota
	inDirectCommand
)

// buildDirectCommands returns the commands to send to a machine directly.
func (t *assignmentTable) buildDirectCommands(m *machine) []protocol.Command {
	return t.buildCommands(m, inDirectCommand, nil)
}

// buildCommands appends the commands of a machine's assignments to commands: first stops and repeated
// starts, then, by priority, new starts whose demand fits the resources that are known to be free.
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
			commands = append(commands, a.sendStop())
		}
	}
	slices.SortStableFunc(assignments, func(a, b *assignment) int {
		return cmp.Compare(b.job.priority, a.job.priority)
	})
	return t.appendStarts(m, assignments, channel, commands)
}

// appendStops appends the stops of all tasks of a machine that are being stopped, also of those to which a
// stop was sent before.
func (t *assignmentTable) appendStops(m *machine, commands []protocol.Command) []protocol.Command {
	for _, a := range m.sortedAssignments() {
		if a.state != stateUnsent && a.stopping {
			commands = append(commands, a.sendStop())
		}
	}
	return commands
}

// appendStarts appends the starts of unsent assignments that may be sent now. It releases unsent assignments
// of cancelled jobs, and all of them if the machine is to be deleted or has a spot notice.
func (t *assignmentTable) appendStarts(
	m *machine, assignments []*assignment, channel commandChannel, commands []protocol.Command,
) []protocol.Command {
	capacity, committed := m.capacity(), m.committedResources()
	for _, a := range assignments {
		if a.state != stateUnsent {
			continue
		}
		if m.spotNotice || m.deleting || a.job.cancelled {
			t.release(a)
			continue
		}
		if m.registration != registered {
			t.withhold(WithheldUnregistered, 1) // the next leader would not know that this machine may hold tasks
			continue
		}
		switch {
		case channel == inDirectCommand && !a.mayStartDirectly():
			t.withhold(WithheldGang, 1)
			continue
		case a.committed:
			// committedResources includes its demand already; see commitGangs.
		case a.job.gang != nil:
			t.withhold(WithheldGang, 1)
			continue
		case !capacity.Minus(committed).Covers(a.job.demand):
			t.withhold(WithheldResources, 1)
			continue
		default:
			committed = committed.Plus(a.job.demand)
		}
		a.state, a.assignedAt = stateSent, t.now
		if channel == inDirectCommand {
			a.directID, a.directToken = t.dispatcher.peekNextID(), t.fencingTokenOf(m)
		}
		commands = append(commands, a.startCommand())
		if len(commands) >= limits.MaxCommands {
			break
		}
	}
	return commands
}

// needsStartRepeated reports whether to repeat a start that may have been lost. The repeated start has the
// same attempt number, so it has no effect if the first one has arrived or arrives later. If the reply also
// contains a stop, the task does not run, but the worker lists the attempt as ended. The start of a
// cancelled job's task is never repeated; if the task does not stop in time, returnUnusableMachines returns
// its machine.
func (a *assignment) needsStartRepeated() bool {
	return a.state == stateSent && a.startUnconfirmed && !a.job.cancelled && !a.job.closed
}

func (a *assignment) startCommand() protocol.Command {
	return protocol.Command{Verb: protocol.CommandStart, Task: a.taskName, Attempt: a.attempt}
}

// sendStop returns the command to stop a task, and records that it is sent.
func (a *assignment) sendStop() protocol.Command {
	a.stopSent = true
	return a.stopCommand()
}

// stopCommand returns the command to stop a task, with the time that the task has to save a checkpoint.
func (a *assignment) stopCommand() protocol.Command {
	grace := 0.0
	if a.savesOnStop() {
		grace = (a.job.saveTime() + limits.SaveMargin).Seconds()
	}
	return protocol.Command{Verb: protocol.CommandStop, Task: a.taskName, Attempt: a.attempt, GraceS: &grace}
}

// savesOnStop reports whether a stopped task should save a checkpoint before it ends.
func (a *assignment) savesOnStop() bool {
	return a.job.maySaveOnStop() && !a.job.cancelled && !a.skipSaving && a.stopReason != stopReasonSuperseded
}

// maySaveOnStop reports whether the tasks of a job can save a checkpoint when they are stopped, within MaxSaveTime.
func (j *job) maySaveOnStop() bool {
	return j.spec.CheckpointS > 0 && limits.Seconds(j.spec.SaveS) <= limits.MaxSaveTime
}

// saveTime returns the time that a stopped task of the job needs to save a checkpoint; 0 if it saves none.
func (j *job) saveTime() time.Duration {
	if !j.maySaveOnStop() {
		return 0
	}
	return limits.Seconds(j.spec.SaveS)
}

// commandsToRepeat returns the commands of the last heartbeat reply, without starts that have arrived since
// or are no longer needed.
func (m *machine) commandsToRepeat() []protocol.Command {
	var commands []protocol.Command
	for _, command := range m.lastCommands {
		if command.Verb == protocol.CommandStart && !m.awaitsStart(command) {
			continue
		}
		commands = append(commands, command)
	}
	return commands
}

// awaitsStart reports whether a start that was sent earlier is still needed and has not been confirmed.
func (m *machine) awaitsStart(start protocol.Command) bool {
	a := m.assignments[start.Task]
	return a != nil && a.attempt == start.Attempt && a.state == stateSent && !a.stopping &&
		!a.job.cancelled && !a.job.closed
}
