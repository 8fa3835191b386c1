package scheduler

import (
	"sort"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// orders are what a machine is told: stops and forgets first, then starts that fit into room that
// is surely free.
//
// tally is that of the report that is answered, or 0 for a direct command.
func (s *Scheduler) buildCommands(m *machine, answered uint64, commands []protocol.Command) []protocol.Command {
	noGrace := 0.0
	committed := m.committedResources()
	assignments := m.sortedAssignments()
	for _, a := range assignments {
		if a.state == stateUnsent {
			continue
		}
		if a.state == stateSent && a.startUnconfirmed && !a.job.cancelled && !a.job.closed && answered != 0 {
			// The same attempt again: without effect if the first start has arrived, or arrives
			// later. With a stop behind it, it only makes the worker know the attempt. A cancelled
			// job's task is not started even so; removeBroken sees to its machine.
			a.startRepeated = true
			commands = append(commands, protocol.Command{Verb: protocol.CommandStart, Task: a.taskName, Attempt: a.attempt})
		}
		if a.stopping && (answered != 0 || !a.stopSent) {
			a.stopSent = true
			stop := protocol.Command{Verb: protocol.CommandStop, Task: a.taskName, Attempt: a.attempt, GraceS: &noGrace}
			if a.job.spec.CheckpointS > 0 && !a.job.cancelled && !a.withoutSaving && a.stopReason != "done elsewhere" {
				grace := a.job.spec.SaveS + limits.SaveMargin.Seconds()
				stop.GraceS = &grace
			}
			commands = append(commands, stop)
		}
	}
	sort.SliceStable(assignments, func(a, b int) bool { return assignments[a].job.priority > assignments[b].job.priority })
	size := m.size()
	for _, a := range assignments {
		if a.state != stateUnsent {
			continue
		}
		if m.spotNotice || m.deleting || a.job.cancelled {
			s.release(a)
			continue
		}
		if m.registration != registered {
			continue // a successor would not know that tasks can be here
		}
		switch {
		case a.committed: // its room is kept, see commitGangs
		case a.job.gang != nil || !size.Fits(committed.Plus(a.job.demand)):
			continue // its room is not confirmed yet
		default:
			committed = committed.Plus(a.job.demand)
		}
		a.state, a.assignedAt = stateSent, s.now
		if answered == 0 {
			a.directID = s.dispatcher.sequence + 1 // see send
		}
		commands = append(commands, protocol.Command{Verb: protocol.CommandStart, Task: a.taskName, Attempt: a.attempt})
		if len(commands) >= limits.MaxCommands {
			break
		}
	}
	return commands
}

// again are the orders of the last answer, without the starts that are not wanted any more or have
// arrived since.
func (m *machine) repeatableCommands() []protocol.Command {
	var commands []protocol.Command
	for _, command := range m.lastCommands {
		if command.Verb == protocol.CommandStart {
			a := m.assignments[command.Task]
			if a == nil || a.attempt != command.Attempt || a.state != stateSent || a.stopping || a.job.cancelled || a.job.closed {
				continue
			}
		}
		commands = append(commands, command)
	}
	return commands
}
