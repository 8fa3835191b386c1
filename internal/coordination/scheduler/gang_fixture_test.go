package scheduler

import (
	"slices"
	"testing"

	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// submitGang submits a gang of team red with standard priority; change may modify its spec.
func (f *schedulerFixture) submitGang(id string, tasks int, cpus float64, change ...func(*protocol.Spec)) {
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

// gangFixture is a schedulerFixture with simulated workers: each executes the start and forget commands
// that it receives, and lists its tasks in its heartbeats.
type gangFixture struct {
	*schedulerFixture
	tasks [][]protocol.TaskStatus // the tasks on each machine
}

// newGangFixture returns a fixture whose machines have sent two heartbeats.
func newGangFixture(t *testing.T, machines int) *gangFixture {
	f := &gangFixture{
		schedulerFixture: newSchedulerFixture(t, machines),
		tasks:            make([][]protocol.TaskStatus, machines),
	}
	f.reportAll()
	f.reportAll()
	return f
}

// newFixtureWithStartedGang returns a fixture with a gang, job-1, each task of which fills a machine.
// The workers have received its start commands.
func newFixtureWithStartedGang(t *testing.T, machines, tasks int) *gangFixture {
	f := newGangFixture(t, machines)
	f.submitGang("job-1", tasks, 8)
	f.deliverDirectCommands(f.effects)
	return f
}

// reportAll sends a heartbeat from every machine, executes the commands in its reply, and delivers the
// direct commands that result from the heartbeat.
func (f *gangFixture) reportAll() {
	f.t.Helper()
	for i := range f.tasks {
		commands := f.sendHeartbeat(i, f.tasks[i]...)
		effects := f.effects
		f.executeCommands(i, commands)
		f.deliverDirectCommands(effects)
	}
}

// deliverDirectCommands executes the direct commands among some effects on their machines and passes
// the replies to the scheduler. It does the same with the direct commands that result from these.
func (f *gangFixture) deliverDirectCommands(effects []Effect) {
	for _, effect := range effects {
		sent, ok := effect.(SendDirectCommands)
		if !ok {
			continue
		}
		i := 0
		for f.machine(i) != sent.Machine {
			i++
		}
		f.executeCommands(i, sent.Commands)
		heartbeat := f.heartbeat(sent.Machine, f.tasks[i]...)
		f.deliverDirectCommands(f.step(DirectCommandsDone{ID: sent.ID, Machine: sent.Machine, Heartbeat: heartbeat}))
	}
}

// executeCommands executes start and forget commands on a machine. The test handles stop commands.
func (f *gangFixture) executeCommands(i int, commands []protocol.Command) {
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

// setTaskStates sets the state of all tasks of a job that have not ended.
func (f *gangFixture) setTaskStates(job string, state protocol.TaskState) {
	for _, tasks := range f.tasks {
		for i := range tasks {
			if id, _, _ := protocol.ParseTaskName(tasks[i].Task); id == job && tasks[i].State != protocol.TaskEnded {
				tasks[i].State = state
			}
		}
	}
}

// endTask marks a task on a machine as ended for a reason.
func (f *gangFixture) endTask(machine int, task string, reason protocol.EndReason) {
	for i := range f.tasks[machine] {
		if f.tasks[machine][i].Task == task {
			f.tasks[machine][i].State, f.tasks[machine][i].Reason = protocol.TaskEnded, reason
		}
	}
}

// findTask returns the machine on which a task has not ended, and the task's attempt number. The
// machine is -1 if there is none.
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

// commandsWithVerb returns the commands with a verb among some effects, from both direct commands and
// heartbeat replies.
func commandsWithVerb(effects []Effect, verb protocol.CommandVerb) []protocol.Command {
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

// checkNoFailureCounted checks that no failure has been recorded for a machine or a job.
func (f *gangFixture) checkNoFailureCounted(machine int, job string) {
	f.t.Helper()
	if failures := f.scheduler.inventory.find(f.machine(machine)).consecutiveFailures; failures != 0 {
		f.t.Errorf("machine %d has %d consecutive failures, want none", machine, failures)
	}
	if failed := f.scheduler.jobs.find(job).failedMachines; len(failed) != 0 {
		f.t.Errorf("%s has failed on machines %v, want none", job, failed)
	}
}
