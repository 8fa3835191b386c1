package controller

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"quillshunt/internal/protocol"
)

// recordViolation records that a rule of the protocol was violated. If the rule has a name, the message
// begins with it; the scheduler's simulation test uses the same names. The caller holds mu.
func (c *cluster) recordViolation(format string, args ...any) {
	c.log.Error("protocol rule violated", "violation", fmt.Sprintf(format, args...))
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.elapsed())+fmt.Sprintf(format, args...))
}

// reportViolations fails the test with one error for each recorded violation. It also fails the test if
// no task ever ran, because the rules about tasks were then not tested.
func (c *cluster) reportViolations() {
	c.mu.Lock()
	violations := slices.Clone(c.violations)
	c.mu.Unlock()
	for _, v := range violations {
		c.t.Error(v)
	}
	c.errorMu.Lock()
	defer c.errorMu.Unlock()
	for _, entry := range c.errorEntries {
		c.t.Errorf("logged by a controller: %s", entry)
	}
	if c.taskStarts == 0 {
		c.t.Error("nothing_ran: no task started on any machine")
	}
}

// onTaskChange checks the rules for a task that starts to run on a machine, and records where tasks run.
// The stand-in workers call it when a task starts to run (running is true) and when it ends.
func (c *cluster) onTaskChange(machine, task string, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobIDOf(task)]
	if !running {
		if c.runningTasks[task] == machine {
			delete(c.runningTasks, task)
		}
		return
	}
	c.taskStarts++
	if other, ok := c.runningTasks[task]; ok && other != machine {
		c.recordViolation("ran_twice: task %s starts on %s while it runs on %s", task, machine, other)
	}
	if j == nil {
		c.recordViolation("invented: task %s starts on %s but its job was never submitted", task, machine)
		return
	}
	c.runningTasks[task] = machine
	if c.mustNotRun(j) {
		c.recordViolation("ran_cancelled: task %s starts on %s %v after the cancellation was confirmed",
			task, machine, time.Since(j.cancelConfirmedAt))
	}
	if j.spec.SameZone {
		c.checkSameZone(j, task, machine)
	}
	for _, team := range teams {
		if used := c.usedCPUs(team.Name); used > team.MaxCPUs {
			c.recordViolation("quota: team %s uses %v CPUs, limit %v", team.Name, used, team.MaxCPUs)
		}
	}
}

// checkSameZone checks that all running tasks of a job are in the zone of the task that starts. Tasks on
// machines that no longer exist are ignored, as the zone of such a machine is unknown. The caller holds
// mu.
func (c *cluster) checkSameZone(j *job, task, machine string) {
	zone := c.cloud.Zone(machine)
	for other, otherMachine := range c.runningTasks {
		otherZone := c.cloud.Zone(otherMachine)
		if jobIDOf(other) == j.spec.ID && otherZone != zone && otherZone != "" && zone != "" {
			c.recordViolation("wrong_place: same zone: task %s is in zone %s, task %s in zone %s",
				task, zone, other, otherZone)
		}
	}
}

// checkRulesPeriodically checks, until the context ends, the rules that can be violated while no task
// starts and no user gets a response: at most one controller is entitled to act as the leader, and the
// tasks of a cancelled job stop in time.
func (c *cluster) checkRulesPeriodically() {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		c.checkAtMostOneEntitled()
		overdue := map[string]string{} // machine by task
		for task, machine := range c.runningTasks {
			if c.mustNotRun(c.jobs[jobIDOf(task)]) {
				overdue[task] = machine
			}
		}
		c.mu.Unlock()
		for task, machine := range overdue {
			if c.cloud.IsLeaseExpired(machine) {
				continue
			}
			c.mu.Lock()
			c.recordViolation("ran_cancelled: task %s runs on %s more than %v s after the cancellation was confirmed",
				task, machine, c.times.CancelWithinS)
			delete(c.runningTasks, task)
			c.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkAtMostOneEntitled checks that at most one controller is entitled to act as the leader. The caller
// holds mu.
func (c *cluster) checkAtMostOneEntitled() {
	entitled := ""
	for name, p := range c.processes {
		if !p.controller.dispatcher.IsEntitled() {
			continue
		}
		if entitled != "" {
			c.recordViolation("%s and %s are both entitled to act as the leader", entitled, name)
		}
		entitled = name
	}
}

// checkResponse checks a response about a job against the earlier ones, and updates the job by it. An
// accepted job is never reported as unknown or invalid, and a final state never changes. A job is
// reported as cancelled only if a user has cancelled it, and as done only if all its tasks have
// completed. sentAt is when the request was sent. A request that was sent before the job was accepted or
// its cancellation confirmed may still get a response with the earlier state.
func (c *cluster) checkResponse(j *job, status int, state protocol.JobState, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := j.spec.ID
	refused := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	switch {
	case status == http.StatusNotFound && !j.acceptedAt.IsZero() && sentAt.After(j.acceptedAt):
		c.recordViolation("forgotten: job %s: response with status %d after the job was accepted", id, status)
		return
	case refused && !j.acceptedAt.IsZero():
		c.recordViolation("forgotten: job %s: request rejected with status %d after the job was accepted", id, status)
		return
	case status != http.StatusOK && status != http.StatusCreated:
		return
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
	if j.finalState != "" && state != j.finalState && sentAt.After(j.cancelConfirmedAt) {
		c.recordViolation("went_back: job %s changed from final state %q to %q", id, j.finalState, state)
	}
	switch state {
	case protocol.JobCancelled:
		if j.cancelRequestedAt.IsZero() {
			c.recordViolation("went_back: job %s is reported as cancelled, but no user cancelled it", id)
		}
		if j.finalState == "" {
			j.finalState, j.cancelConfirmedAt = state, time.Now()
		}
	case protocol.JobDone:
		if j.finalState == "" {
			j.finalState = state
			c.checkTasksDone(j)
		}
	}
}

// checkTasksDone checks that all tasks of a job that is reported as done have completed on a machine.
// The caller holds mu.
func (c *cluster) checkTasksDone(j *job) {
	for i := range j.spec.Tasks {
		if !c.cloud.IsTaskDone(fmt.Sprintf("%s/%d", j.spec.ID, i)) {
			c.recordViolation("not_done: job %s is done, but its task %d has not completed", j.spec.ID, i)
		}
	}
}

// jobIDOf returns the ID of the job that a task name belongs to.
func jobIDOf(task string) string {
	id, _, _ := protocol.ParseTaskName(task)
	return id
}

// usedCPUs returns how many CPUs the running tasks of a team use. The caller holds mu.
func (c *cluster) usedCPUs(team string) (cpus float64) {
	for task := range c.runningTasks {
		if spec := c.jobs[jobIDOf(task)].spec; spec.Team == team {
			cpus += spec.CPUs
		}
	}
	return cpus
}

// machinesOf returns the names of the machines that run tasks of a job, sorted. If j is nil, it returns
// all machines that run tasks.
func (c *cluster) machinesOf(j *job) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []string
	for task, machine := range c.runningTasks {
		if (j == nil || jobIDOf(task) == j.spec.ID) && !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

// busyMachines returns the names of at most n machines that run tasks, the first in sorted order.
func (c *cluster) busyMachines(n int) []string {
	all := c.machinesOf(nil)
	n = min(n, len(all))
	return all[:n:n]
}

// runningTaskCount returns how many tasks of the given jobs are running in total.
func (c *cluster) runningTaskCount(jobs ...*job) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := 0
	for task := range c.runningTasks {
		if slices.ContainsFunc(jobs, func(j *job) bool { return j.spec.ID == jobIDOf(task) }) {
			running++
		}
	}
	return running
}
