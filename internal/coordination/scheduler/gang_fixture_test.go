package scheduler

import (
	"slices"
	"testing"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// gang submits a gang.
func (f *schedulerFixture) gang(id string, tasks int, cpus float64, change ...func(*protocol.Spec)) {
	f.version++
	spec := protocol.Spec{
		ID: id, Class: "g", Team: "red", Shape: protocol.ShapeGang, Priority: "standard", Tasks: tasks,
		CPUs: cpus, MemoryGB: 1, Image: "i", EstimateS: 10, CheckpointS: 20, SaveS: 3,
	}
	for _, apply := range change {
		apply(&spec)
	}
	f.step(JobChanged{JobID: id, Version: 100 + f.version, Record: storage.OpenJob{Spec: spec}})
}

// gangFixture is a schedulerFixture whose workers are played: each carries out its commands and
// reports the tasks that it has.
type gangFixture struct {
	*schedulerFixture
	tasks [][]protocol.TaskStatus // on each machine
}

func newGangFixture(t *testing.T, machines int) *gangFixture {
	f := &gangFixture{
		schedulerFixture: newSchedulerFixture(t, machines),
		tasks:            make([][]protocol.TaskStatus, machines),
	}
	f.reportAll()
	f.reportAll()
	return f
}

// newStartedGang is a gang, job-1, that fills some of the machines, a machine for each of its tasks,
// and whose starts have arrived.
func newStartedGang(t *testing.T, machines, tasks int) *gangFixture {
	f := newGangFixture(t, machines)
	f.gang("job-1", tasks, 8)
	f.deliver(f.effects)
	return f
}

// reportAll lets every machine send a heartbeat and carry out the commands of the answer, and the
// direct commands that come of it.
func (f *gangFixture) reportAll() {
	f.t.Helper()
	for i := range f.tasks {
		commands := f.sendHeartbeat(i, f.tasks[i]...)
		effects := f.effects
		f.carryOut(i, commands)
		f.deliver(effects)
	}
}

// deliver lets machines carry out and answer the direct commands among some effects, and those that
// come of the answers.
func (f *gangFixture) deliver(effects []Effect) {
	for _, effect := range effects {
		sent, ok := effect.(SendDirectCommands)
		if !ok {
			continue
		}
		i := 0
		for f.machine(i) != sent.Machine {
			i++
		}
		f.carryOut(i, sent.Commands)
		heartbeat := f.heartbeat(sent.Machine, f.tasks[i]...)
		f.deliver(f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: heartbeat}))
	}
}

// carryOut carries out starts and forgets on a machine. Stops are left to the test.
func (f *gangFixture) carryOut(i int, commands []protocol.Command) {
	for _, command := range commands {
		index := slices.IndexFunc(f.tasks[i], func(task protocol.TaskStatus) bool {
			return task.Task == command.Task && task.Attempt == command.Attempt
		})
		switch {
		case command.Verb == protocol.CommandStart && index < 0:
			task := protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskFetching}
			f.tasks[i] = append(f.tasks[i], task)
		case command.Verb == protocol.CommandForget && index >= 0:
			f.tasks[i] = slices.Delete(f.tasks[i], index, index+1)
		}
	}
}

// setState sets the state of every task of a job that has not ended.
func (f *gangFixture) setState(job string, state protocol.TaskState) {
	for _, tasks := range f.tasks {
		for i := range tasks {
			if id, _, _ := protocol.ParseTaskName(tasks[i].Task); id == job && tasks[i].State != protocol.TaskEnded {
				tasks[i].State = state
			}
		}
	}
}

// endTask ends a task on a machine.
func (f *gangFixture) endTask(machine int, task string, reason protocol.EndReason) {
	for i := range f.tasks[machine] {
		if f.tasks[machine][i].Task == task {
			f.tasks[machine][i].State, f.tasks[machine][i].Reason = protocol.TaskEnded, reason
		}
	}
}

// findTask returns the machine that has a task that has not ended, and its attempt; -1 if there is
// none.
func (f *gangFixture) findTask(name string) (machine int, attempt uint64) {
	for i := range f.tasks {
		for _, task := range f.tasks[i] {
			if task.Task == name && task.State != protocol.TaskEnded {
				return i, task.Attempt
			}
		}
	}
	return -1, 0
}

// commandsOf collects the commands of a verb among some effects, direct ones and those of answers.
func commandsOf(effects []Effect, verb protocol.CommandVerb) []protocol.Command {
	var found []protocol.Command
	for _, effect := range effects {
		var commands []protocol.Command
		switch effect := effect.(type) {
		case SendDirectCommands:
			commands = effect.Commands
		case HeartbeatReply:
			commands = effect.Commands
		}
		for _, command := range commands {
			if command.Verb == verb {
				found = append(found, command)
			}
		}
	}
	return found
}

// checkNoFailure checks that no failure counts against a machine and a job.
func (f *gangFixture) checkNoFailure(machine int, job string) {
	f.t.Helper()
	if failures := f.scheduler.inventory.find(f.machine(machine)).consecutiveFailures; failures != 0 {
		f.t.Errorf("counted as %d failures of the machine", failures)
	}
	if failed := f.scheduler.jobs.find(job).failedMachines; len(failed) != 0 {
		f.t.Errorf("counted as a failure of the job: %v", failed)
	}
}
