package scheduler

import (
	"fmt"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// checkFinalRecord checks the final record of a job. A job may be recorded as done only if all its tasks
// have completed and it was not cancelled, and as cancelled only if a user cancelled it.
func (s *simulation) checkFinalRecord(id string, data protocol.Raw) {
	var final storage.FinalJob
	s.must(protocol.Decode(data, &final))
	job := s.jobs[id]
	switch {
	case job == nil:
		s.t.Fatalf("invented: final record of job %s, which was never submitted", id)
	case final.State == protocol.JobDone && len(job.completedTasks) < job.spec.Tasks:
		s.t.Fatalf("not_done: job %s is recorded as done, but only %d of %d tasks have completed",
			id, len(job.completedTasks), job.spec.Tasks)
	case final.State == protocol.JobCancelled && job.cancelledAt == 0:
		s.t.Fatalf("went_back: job %s is recorded as cancelled, but no user cancelled it", id)
	case final.State == protocol.JobDone && job.cancelledAt != 0:
		s.t.Fatalf("went_back: job %s is recorded as done after its cancellation was confirmed", id)
	}
}

// checkStartedTask checks the rules for a task that has just started on a machine.
func (s *simulation) checkStartedTask(machine *simulatedMachine, task *simulatedTask) {
	job := s.jobOf(task)
	description := s.describeTask(machine, task)
	spec := &job.spec
	if !spec.Spot && machine.Spot {
		s.t.Fatalf("wrong_place: job does not allow spot machines: %s", description)
	}
	if spec.Zone != "" && spec.Zone != machine.Zone {
		s.t.Fatalf("wrong_place: job requires another zone: %s", description)
	}
	if len(spec.MachineTypes) > 0 && spec.MachineTypes[0] != machine.MachineType {
		s.t.Fatalf("wrong_place: job requires another machine type: %s", description)
	}
	s.checkNoOtherAttempt(task, description)
	s.checkTeamLimits(description)
	tasksByZone := s.tasksByZone(job)
	if spec.SameZone && len(tasksByZone) > 1 {
		s.t.Fatalf("wrong_place: tasks of the job must execute in one zone: %s", description)
	}
	if spec.SpreadZones && tasksByZone[machine.Zone] > (spec.Tasks+1)/2 {
		s.t.Fatalf("wrong_place: more than half of the job's tasks execute in one zone: %s", description)
	}
	s.checkCancelDeadline(job, description)
}

// executingTask is an executing task and its machine; see simulatedTask.isExecuting.
type executingTask struct {
	machine *simulatedMachine
	task    *simulatedTask
}

// executingTasks returns all executing tasks, in the order of the machine names.
func (s *simulation) executingTasks() []executingTask {
	var executing []executingTask
	for _, name := range s.machineNames() {
		machine := s.machines[name]
		if machine.removed {
			continue
		}
		for _, task := range machine.tasks {
			if task.isExecuting() {
				executing = append(executing, executingTask{machine, task})
			}
		}
	}
	return executing
}

// checkNoOtherAttempt checks that no other attempt of a started task executes at the same time.
func (s *simulation) checkNoOtherAttempt(task *simulatedTask, description string) {
	for _, p := range s.executingTasks() {
		if p.task.name == task.name && p.task != task {
			s.t.Fatalf("ran_twice: %s; machine %s already executes attempt %x",
				description, p.machine.Name, p.task.attempt)
		}
	}
}

// checkTeamLimits checks that the executing tasks of each team are within the limit of the team.
func (s *simulation) checkTeamLimits(startedDescription string) {
	var running []string
	used := map[string]float64{}
	for _, p := range s.executingTasks() {
		spec := &s.jobOf(p.task).spec
		used[spec.Team] += spec.CPUs
		description := fmt.Sprintf("%s: task %s attempt %x with %v CPUs",
			p.machine.Name, p.task.name, p.task.attempt, spec.CPUs)
		running = append(running, description)
	}
	for _, team := range s.teams {
		if used[team.Name] > team.MaxCPUs+1e-9 {
			s.t.Fatalf("quota: team %s uses %v CPUs, limit %v: %s; executing tasks: %v",
				team.Name, used[team.Name], team.MaxCPUs, startedDescription, running)
		}
	}
}

// tasksByZone returns the number of executing tasks of a job in each zone.
func (s *simulation) tasksByZone(job *simulatedJob) map[string]int {
	counts := map[string]int{}
	for _, p := range s.executingTasks() {
		if s.jobOf(p.task) == job {
			counts[p.machine.Zone]++
		}
	}
	return counts
}

// checkCancelledTasks checks that a machine does not execute a task for too long after the task's job was
// cancelled.
func (s *simulation) checkCancelledTasks(machine *simulatedMachine) {
	for _, task := range machine.tasks {
		if task.isExecuting() {
			s.checkCancelDeadline(s.jobOf(task), s.describeTask(machine, task))
		}
	}
}

// checkCancelDeadline fails the test if a job was cancelled so long ago that its tasks must have ended. It is
// called while a task of the job executes.
func (s *simulation) checkCancelDeadline(job *simulatedJob, description string) {
	if job.cancelledAt != 0 && s.now > job.cancelledAt+limits.Seconds(s.workerTimes.CancelWithinS) {
		s.t.Fatalf("ran_cancelled: task still executes after the time limit for cancelled tasks: %s", description)
	}
}
