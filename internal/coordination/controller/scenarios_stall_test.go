package controller

import (
	"errors"
	"time"

	"quillshunt/internal/coordination/election"
	"quillshunt/internal/limits"
)

// stallScenarios make the scheduler of the leader hang while its process and its other goroutines go on.
var stallScenarios = []scenario{
	{
		name: "the leader's scheduler never ends a step, and users cancel jobs",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			jobs := c.waitForRunningJobs(2)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			release := c.blockedEntry.block(leader, "stopping task") // written by the scheduler's goroutine
			stalledAt := time.Now()
			c.cancelConcurrently(jobs[:1])
			newLeader := c.waitForLeaderAfterTerm(oldTerm)
			c.expect(newLeader != leader, "another controller becomes the leader")
			c.expect(time.Since(stalledAt) < limits.Seconds(2*workerLeaseS), "it does soon: %v", time.Since(stalledAt))
			c.cancelConcurrently(jobs[1:2])
			err := c.awaitFailure(leader)
			c.expect(errors.Is(err, election.ErrTermDoesNotEnd), "the process of the old leader ends: %v", err)
			c.restartController(leader, time.Second)
			release()
			time.Sleep(10 * time.Second)
			c.expect(c.confirmedCancellations(jobs[:2]) == 2, "both cancellations are confirmed")
			c.expect(c.takeErrorEntry("scheduler does not go on"), "the stalled scheduler is reported")
			c.expect(c.takeErrorEntry("term does not end"), "the term that does not end is reported")
		},
	},
	{
		name: "the leader's scheduler takes several seconds for a step",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			jobs := c.waitForRunningJobs(1)
			leader, term := c.waitForLeader(), c.currentTerm()
			release := c.blockedEntry.block(leader, "stopping task")
			c.cancelConcurrently(jobs[:1])
			time.Sleep(limits.Seconds(workerLeaseS / 2))
			release()
			time.Sleep(20 * time.Second)
			c.expect(c.currentTerm() == term, "the leader stays: term %d is now %d", term, c.currentTerm())
			c.expect(c.confirmedCancellations(jobs[:1]) == 1, "the cancellation is confirmed")
		},
	},
}

// awaitFailure waits until a controller has to end its process, and returns the reason, or nil after a minute.
func (c *cluster) awaitFailure(name string) error {
	select {
	case err := <-c.processes[name].failed:
		return err
	case <-time.After(time.Minute):
		return nil
	}
}
