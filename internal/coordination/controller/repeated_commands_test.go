package controller

import (
	"fmt"
	"testing"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// repeatedStartCase is a way in which a task that was started directly leaves its machine.
type repeatedStartCase struct {
	name  string
	leave func(c *cluster, j *job, task, machine string)
}

var repeatedStartCases = []repeatedStartCase{
	{"moved", func(c *cluster, _ *job, task, machine string) {
		c.expect(c.cloud.FailTask(machine, task), "task %s fails on %s", task, machine)
		c.expect(c.waitForMachine(task, machine) != "", "task %s is started on another machine", task)
	}},
	{"cancelled", func(c *cluster, j *job, _, _ string) {
		c.expect(c.cancel(j), "the cancellation is confirmed")
	}},
}

// quickReturns are what is back within a second while the copies arrive.
var quickReturns = []struct {
	name string
	run  func(c *cluster, machine string)
}{
	{"nothing", func(*cluster, string) {}},
	{"controller", func(c *cluster, _ string) {
		c.restartController(c.waitForLeader(), 300*time.Millisecond)
	}},
	{"machine", func(c *cluster, machine string) { c.cloud.HangMachine(machine, 800*time.Millisecond) }},
	{"network of a machine", func(c *cluster, machine string) {
		c.setWorkerLinks([]string{machine}, standin.Drop, standin.Drop)
		time.Sleep(600 * time.Millisecond)
		c.setWorkerLinks([]string{machine}, standin.Open, standin.Open)
	}},
}

// TestLateCopyOfAnsweredStartRunsNoTask guards against a task on two machines, or one that runs after its cancellation.
func TestLateCopyOfAnsweredStartRunsNoTask(t *testing.T) {
	for _, start := range repeatedStartCases {
		for _, back := range quickReturns {
			t.Run(fmt.Sprintf("%s, back: %s", start.name, back.name), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 1, defaultWorkerTimes, func(c *cluster) {
					c.startJobs(4, longTasks) // so that machines are up and stay
					c.repeatStartAfter(start, back.run)
				})
			})
		}
	}
}

// repeatStartAfter starts a task directly, makes it leave its machine, and lets copies of all direct commands arrive
// there again and again, also while something is back within a second.
func (c *cluster) repeatStartAfter(start repeatedStartCase, quickReturn func(c *cluster, machine string)) {
	task, machine, j := c.startTaskDirectly()
	if machine == "" {
		return
	}
	start.leave(c, j, task, machine)
	copies := 0
	repeat := func() { copies = max(copies, c.cloud.RepeatDirectCommands(machine)) }
	repeat()
	quickReturn(c, machine)
	for range 30 {
		repeat()
		time.Sleep(300 * time.Millisecond)
	}
	c.expect(copies > 0, "a machine has executed direct commands")
}

// startTaskDirectly submits jobs of one long task until a direct command has started one. It returns the task, its
// machine and its job.
func (c *cluster) startTaskDirectly() (task, machine string, j *job) {
	for range 10 {
		before := map[string]int{}
		for _, name := range c.cloud.MachineNames() {
			before[name] = c.cloud.ExecutedDirectCommands(name)
		}
		j = c.submit(func(spec *protocol.Spec) { longTasks(spec); spec.Tasks, spec.CPUs = 1, 1 })
		task = j.spec.ID + "/0"
		machine = c.waitForMachine(task, "")
		if machine != "" && c.cloud.ExecutedDirectCommands(machine) > before[machine] {
			return task, machine, j
		}
	}
	c.expect(false, "one of ten tasks is started by a direct command")
	return "", "", nil
}

// waitForMachine waits up to 30 s until a task runs on a machine other than the excluded one, and returns that
// machine, or "".
func (c *cluster) waitForMachine(task, excluded string) string {
	for range 300 {
		c.mu.Lock()
		machine := c.runningTasks[task]
		c.mu.Unlock()
		if machine != "" && machine != excluded {
			return machine
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// onRepeatedStart records that a copy of an executed direct command has started a forgotten attempt, or could do so.
// The stand-in workers call it.
func (c *cluster) onRepeatedStart(machine, task string, attempt uint64, problem string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%s: task %s attempt %x on %s", problem, task, attempt, machine)
}
