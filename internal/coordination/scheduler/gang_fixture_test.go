package scheduler

import (
	"slices"
	"testing"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// gang submits a gang.
func (b *schedulerFixture) gang(id string, tasks int, cpus float64, change ...func(*protocol.Spec)) {
	b.version++
	spec := protocol.Spec{ID: id, Class: "g", Team: "red", Shape: protocol.ShapeGang, Priority: "standard", Tasks: tasks, CPUs: cpus, MemoryGB: 1,
		Image: "i", EstimateS: 10, CheckpointS: 20, SaveS: 3}
	for _, f := range change {
		f(&spec)
	}
	b.step(JobChanged{JobID: id, Version: 100 + b.version, Record: storage.OpenJob{Spec: spec}})
}

// gangFixture is a bed whose workers are played: each takes its commands and reports what it has.
type gangFixture struct {
	*schedulerFixture
	tasks       [][]protocol.TaskStatus // on each machine
	unreachable map[int]bool            // machines that take no direct commands
}

func newGangFixture(t *testing.T, machines int) *gangFixture {
	g := &gangFixture{schedulerFixture: newSchedulerFixture(t, machines), tasks: make([][]protocol.TaskStatus, machines), unreachable: map[int]bool{}}
	g.reportAll()
	g.reportAll()
	return g
}

// startedGang is a gang that fills some of the machines, a machine for each of its tasks, and whose
// starts have arrived.
func startedGang(t *testing.T, machines, tasks int) *gangFixture {
	g := newGangFixture(t, machines)
	g.gang("job-1", tasks, 8)
	g.deliver(g.effects)
	return g
}

// reportAll lets every machine report once and take the answer; direct commands are taken as well.
func (g *gangFixture) reportAll() {
	for i := range g.tasks {
		orders := g.report(i, g.tasks[i]...)
		out := g.effects
		g.take(i, orders)
		g.deliver(out)
	}
}

// deliver takes the direct commands among some effects.
func (g *gangFixture) deliver(out []Effect) {
	for _, e := range out {
		d, ok := e.(SendDirectCommands)
		if !ok {
			continue
		}
		i := 0
		for g.machine(i) != d.Machine {
			i++
		}
		if g.unreachable[i] {
			continue
		}
		g.take(i, d.Commands)
		g.sequence++
		more := g.step(DirectCommandsDone{ID: d.ID, Machine: d.Machine, Heartbeat: &protocol.Heartbeat{Machine: d.Machine, Address: "x:1", MachineType: "s8", Zone: "a",
			Incarnation: 1, Sequence: g.sequence, FencingToken: 3, Tasks: g.tasks[i]}})
		g.deliver(more)
	}
}

func (g *gangFixture) take(i int, orders []protocol.Command) {
	for _, o := range orders {
		k := slices.IndexFunc(g.tasks[i], func(t protocol.TaskStatus) bool { return t.Task == o.Task && t.Attempt == o.Attempt })
		switch {
		case o.Verb == protocol.CommandStart && k < 0:
			g.tasks[i] = append(g.tasks[i], protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskFetching})
		case o.Verb == protocol.CommandForget && k >= 0:
			g.tasks[i] = slices.Delete(g.tasks[i], k, k+1)
		}
	}
}

// all sets what every task of a job shows.
func (g *gangFixture) all(job string, state protocol.TaskState) {
	for i := range g.tasks {
		for k := range g.tasks[i] {
			if id, _, _ := protocol.ParseTaskName(g.tasks[i][k].Task); id == job && g.tasks[i][k].State != protocol.TaskEnded {
				g.tasks[i][k].State = state
			}
		}
	}
}

// end ends a task on a machine.
func (g *gangFixture) end(i int, task string, reason protocol.EndReason) {
	for k := range g.tasks[i] {
		if g.tasks[i][k].Task == task {
			g.tasks[i][k].State, g.tasks[i][k].Reason = protocol.TaskEnded, reason
		}
	}
}

// where returns the machine that has a live task, and its attempt.
func (g *gangFixture) where(task string) (machine int, attempt uint64) {
	for i := range g.tasks {
		for _, t := range g.tasks[i] {
			if t.Task == task && t.State != protocol.TaskEnded {
				return i, t.Attempt
			}
		}
	}
	return -1, 0
}

// commandsOf collects the commands of a verb that an event brings out, by direct commands and in
// the answer.
func commandsOf(out []Effect, verb protocol.CommandVerb) []protocol.Command {
	var found []protocol.Command
	for _, e := range out {
		var orders []protocol.Command
		switch e := e.(type) {
		case SendDirectCommands:
			orders = e.Commands
		case HeartbeatReply:
			orders = e.Commands
		}
		for _, o := range orders {
			if o.Verb == verb {
				found = append(found, o)
			}
		}
	}
	return found
}
