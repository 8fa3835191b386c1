package controller

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"quillshunt/internal/protocol"
)

// violation notes that a rule was broken; the caller has the lock.
func (c *cluster) violation(format string, args ...any) {
	c.log.Error("RULE BROKEN: " + fmt.Sprintf(format, args...))
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now())+fmt.Sprintf(format, args...))
}

// reportViolations fails the test for each rule that was broken, and if no task ever ran.
func (c *cluster) reportViolations() {
	c.mu.Lock()
	violations := slices.Clone(c.violations)
	c.mu.Unlock()
	for _, v := range violations {
		c.t.Error(v)
	}
	if c.taskStarts == 0 {
		c.t.Error("nothing_ran")
	}
}

// observeTask is called by the workers when a task starts to run on a machine, or ends.
func (c *cluster) observeTask(machine, task string, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobOf(task)]
	if !running {
		if c.runningTasks[task] == machine {
			delete(c.runningTasks, task)
		}
		return
	}
	c.taskStarts++
	if other, ok := c.runningTasks[task]; ok && other != machine {
		c.violation("ran_twice: %s starts on %s while on %s", task, machine, other)
	}
	if j == nil {
		c.violation("invented: %s", task)
		return
	}
	c.runningTasks[task] = machine
	if j.mustBeGone() {
		c.violation("ran_cancelled: %s starts on %s %v after the user was told",
			task, machine, time.Since(j.cancelConfirmedAt))
	}
	if j.spec.SameZone {
		c.checkSameZone(j, task, machine)
	}
	for _, team := range teams {
		if used := c.usedCPUs(team.Name); used > team.CPUsMax {
			c.violation("quota: %s uses %v", team.Name, used)
		}
	}
}

// checkSameZone checks that all tasks of a job run in the zone of a task that starts; the caller has
// the lock. The zone of a machine that is gone is not known.
func (c *cluster) checkSameZone(j *job, task, machine string) {
	zone := c.cloud.Zone(machine)
	for other, otherMachine := range c.runningTasks {
		otherZone := c.cloud.Zone(otherMachine)
		if jobOf(other) == j.spec.ID && otherZone != zone && otherZone != "" && zone != "" {
			c.violation("wrong_place: %s in %s, %s in %s", task, zone, other, otherZone)
		}
	}
}

// checkContinuously checks the rules that time alone can break, until the context ends.
func (c *cluster) checkContinuously() {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		c.checkOneEntitled()
		overdue := map[string]string{} // machine by task
		for task, machine := range c.runningTasks {
			if c.jobs[jobOf(task)].mustBeGone() {
				overdue[task] = machine
			}
		}
		c.mu.Unlock()
		for task, machine := range overdue {
			if c.cloud.LeaseExpired(machine) {
				continue
			}
			c.mu.Lock()
			c.violation("ran_cancelled: %s is on %s longer than cancel_s after the user was told", task, machine)
			delete(c.runningTasks, task)
			c.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkOneEntitled checks that at most one controller is entitled; the caller has the lock.
func (c *cluster) checkOneEntitled() {
	entitled := ""
	for name, p := range c.processes {
		if !p.controller.dispatcher.Entitled() {
			continue
		}
		if entitled != "" {
			c.violation("%s and %s are entitled at once", entitled, name)
		}
		entitled = name
	}
}

// checkAnswer checks what a user was told about a job against what was told before. The request was
// sent at the given time.
func (c *cluster) checkAnswer(j *job, status int, state protocol.JobState, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := j.spec.ID
	refused := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	switch {
	case status == http.StatusNotFound && !j.acceptedAt.IsZero() && sentAt.After(j.acceptedAt):
		c.violation("forgotten: %s", id)
		return
	case refused && !j.acceptedAt.IsZero():
		c.violation("forgotten: %s: submission answered %d", id, status)
		return
	case status != http.StatusOK && status != http.StatusCreated:
		return
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
	if j.finalState != "" && state != j.finalState && sentAt.After(j.cancelConfirmedAt) {
		c.violation("went_back: %s was %s, is %s", id, j.finalState, state)
	}
	switch state {
	case protocol.JobCancelled:
		if j.cancelRequestedAt.IsZero() {
			c.violation("went_back: %s is cancelled, which nobody asked for", id)
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

// checkTasksDone checks that all tasks of a job were completed; the caller has the lock.
func (c *cluster) checkTasksDone(j *job) {
	for i := range j.spec.Tasks {
		if !c.cloud.TaskDone(fmt.Sprintf("%s/%d", j.spec.ID, i)) {
			c.violation("not_done: %s/%d", j.spec.ID, i)
		}
	}
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _, _ := protocol.ParseTaskName(task)
	return id
}

// usedCPUs returns what a team's running tasks use; the caller has the lock.
func (c *cluster) usedCPUs(team string) (cpus float64) {
	for task := range c.runningTasks {
		if spec := c.jobs[jobOf(task)].spec; spec.Team == team {
			cpus += spec.CPUs
		}
	}
	return cpus
}

// machinesOf returns the machines that run tasks of a job, or of any job if it is nil, sorted.
func (c *cluster) machinesOf(j *job) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []string
	for task, machine := range c.runningTasks {
		if (j == nil || jobOf(task) == j.spec.ID) && !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

// busyMachines returns at most n machines that run tasks.
func (c *cluster) busyMachines(n int) []string {
	all := c.machinesOf(nil)
	n = min(n, len(all))
	return all[:n:n]
}

// tasksOnMachines returns how many tasks of the jobs run.
func (c *cluster) tasksOnMachines(jobs ...*job) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := 0
	for task := range c.runningTasks {
		if slices.ContainsFunc(jobs, func(j *job) bool { return j.spec.ID == jobOf(task) }) {
			running++
		}
	}
	return running
}
