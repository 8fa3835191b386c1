package scheduler

import (
	"fmt"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// checkFinalRecord checks that a job is reported done only when all of its tasks are, and cancelled
// only if its user asked for that.
func (s *simulation) checkFinalRecord(id string, data protocol.Raw) {
	var final storage.FinalJob
	s.must(protocol.Decode(data, &final))
	job := s.jobs[id]
	switch {
	case job == nil:
		s.t.Fatalf("invented: %s", id)
	case final.State == protocol.JobDone && len(job.completedTasks) < job.spec.Tasks:
		s.t.Fatalf("not_done: %s with %d of %d", id, len(job.completedTasks), job.spec.Tasks)
	case final.State == protocol.JobAborted && job.cancelledAt == 0:
		s.t.Fatalf("went_back: %s cancelled by nobody", id)
	case final.State == protocol.JobDone && job.cancelledAt != 0:
		s.t.Fatalf("went_back: %s done after it was cancelled", id)
	}
}

// checkStart checks the rules for a task that has just started.
func (s *simulation) checkStartedTask(machine *simulatedMachine, task *simulatedTask) {
	job := s.jobOf(task)
	description := s.describeTask(machine, task)
	spec := &job.spec
	if !spec.Spot && machine.Spot {
		s.t.Fatalf("wrong_place: spot: %s", description)
	}
	if spec.Zone != "" && spec.Zone != machine.Zone {
		s.t.Fatalf("wrong_place: zone: %s", description)
	}
	if len(spec.MachineTypes) > 0 && spec.MachineTypes[0] != machine.MachineType {
		s.t.Fatalf("wrong_place: type: %s", description)
	}
	s.checkNoOtherAttempt(task, description)
	s.checkTeamLimits(description)
	tasksByZone := s.tasksByZone(job)
	if spec.SameZone && len(tasksByZone) > 1 {
		s.t.Fatalf("wrong_place: same zone: %s", description)
	}
	if spec.SpreadZones && tasksByZone[machine.Zone] > (spec.Tasks+1)/2 {
		s.t.Fatalf("wrong_place: spread over zones: %s", description)
	}
	s.checkCancelDeadline(job, description)
}

// placedTask is a task that is on its machine.
type executingTask struct {
	machine *simulatedMachine
	task    *simulatedTask
}

// placedTasks returns all tasks that are on their machines.
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

func (s *simulation) checkNoOtherAttempt(task *simulatedTask, description string) {
	for _, p := range s.executingTasks() {
		if p.task.name == task.name && p.task != task {
			s.t.Fatalf("ran_twice: %s, and on %s attempt %x", description, p.machine.Name, p.task.attempt)
		}
	}
}

func (s *simulation) checkTeamLimits(startedDescription string) {
	var running []string
	used := map[string]float64{}
	for _, p := range s.executingTasks() {
		spec := &s.jobOf(p.task).spec
		used[spec.Team] += spec.CPUs
		description := fmt.Sprintf("%s:%s#%x*%v", p.machine.Name, p.task.name, p.task.attempt, spec.CPUs)
		running = append(running, description)
	}
	for _, team := range s.teams {
		if used[team.Name] > team.CPUsMax+1e-9 {
			s.t.Fatalf("quota: %s uses %v: %s; running: %v", team.Name, used[team.Name], startedDescription, running)
		}
	}
}

// tasksInZone counts the tasks of a job that are on machines, by zone.
func (s *simulation) tasksByZone(job *simulatedJob) map[string]int {
	counts := map[string]int{}
	for _, p := range s.executingTasks() {
		if s.jobOf(p.task) == job {
			counts[p.machine.Zone]++
		}
	}
	return counts
}

// checkAllCancelled checks that no task of a cancelled job is on a machine for too long.
func (s *simulation) checkCancelledTasks(machine *simulatedMachine) {
	for _, task := range machine.tasks {
		if task.isExecuting() {
			s.checkCancelDeadline(s.jobOf(task), s.describeTask(machine, task))
		}
	}
}

func (s *simulation) checkCancelDeadline(job *simulatedJob, description string) {
	if job.cancelledAt != 0 && s.now > job.cancelledAt+limits.Seconds(s.workerTimes.CancelS) {
		s.t.Fatalf("ran_cancelled: %s", description)
	}
}
