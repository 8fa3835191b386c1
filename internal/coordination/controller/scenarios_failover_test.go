package controller

import (
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// failoverScenarios are faults during a change of leaders.
var failoverScenarios = []scenario{
	{
		name: "a heartbeat is delayed until a new leader has acted, and then arrives there",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			leader, before := c.waitForLeader(), c.currentTerm()
			delayed := c.busyMachines(2)
			c.setWorkerLinks(delayed, standin.Delay, standin.Delay)
			c.cloud.SetDuplicateHeartbeats(func(machine string) (time.Duration, bool) {
				return 20 * time.Second, slices.Contains(delayed, machine)
			})
			time.Sleep(3 * time.Second)
			c.killController(leader)
			next := c.waitForTermAfter(before)
			time.Sleep(10 * time.Second)
			c.setWorkerLinks(delayed, standin.Open, standin.Open)
			time.Sleep(20 * time.Second)
			c.expect(next != leader, "another leader")
			c.startController(leader)
		},
	},
	{
		name: "transactions get no answer and are applied late, while jobs end or are cancelled and leaders change",
		run: func(c *cluster) {
			c.warmUp(4, nil)
			late := 0
			c.state.SetDelayedTransactions(func() (time.Duration, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.random.Float64() > 0.25 {
					return 0, false
				}
				late++
				return time.Duration(2000+c.random.IntN(10000)) * time.Millisecond, true
			})
			c.generateLoad(60*time.Second, 4*time.Second, nil)
			for range 6 {
				time.Sleep(8 * time.Second)
				if jobs := c.runningJobs(); len(jobs) > 0 {
					c.cancelConcurrently(jobs[:1])
				}
				c.restartController(c.waitForLeader(), 500*time.Millisecond)
			}
			c.state.SetDelayedTransactions(nil)
			c.mu.Lock()
			c.expect(late > 5, "late transactions: %d", late)
			c.mu.Unlock()
			time.Sleep(15 * time.Second)
		},
	},
	{
		name: "all controllers are down for longer than lease_s",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			jobs := c.waitForRunningJobs(2)
			c.cancelConcurrently(jobs)
			time.Sleep(200 * time.Millisecond)
			c.expect(c.tasksOnMachines(c.runningJobs()...) > 0, "tasks on machines")
			for _, node := range c.nodeNames {
				c.killController(node)
			}
			time.Sleep(limits.Seconds(leaseS + 4))
			for _, node := range c.nodeNames {
				c.startController(node)
			}
			time.Sleep(20 * time.Second)
		},
	},
	{
		name: "a new leader answers machines late in their lease, then gets no heartbeats; the cloud deletes nothing",
		run: func(c *cluster) {
			c.warmUp(6, func(spec *protocol.Spec) { spec.EstimateS = 60 })
			leader, before := c.waitForLeader(), c.currentTerm()
			all := c.cloud.Machines()
			for _, machine := range all {
				c.network.StopListening(machine + ":9000") // so that they can't be probed
			}
			c.killController(leader)
			c.setWorkerLinks(all, standin.Delay, standin.Delay)
			c.failDeletions(true)
			c.waitForTermAfter(before)
			time.Sleep(4 * time.Second)
			c.setWorkerLinks(all, standin.Open, standin.Open)
			time.Sleep(1900 * time.Millisecond) // they find the leader, but their next heartbeats are delayed
			c.setWorkerLinks(all, standin.Delay, standin.Delay)
			time.Sleep(limits.Seconds(leaseS - 3))
			c.setWorkerLinks(all, standin.Open, standin.Open)
			c.failDeletions(false)
			c.startController(leader)
		},
	},
	{
		name: "leaders change ten times in two minutes, also inside an outage",
		run: func(c *cluster) {
			c.warmUp(4, longTasks)
			first := c.currentTerm()
			c.generateLoad(100*time.Second, 10*time.Second, nil)
			for i := range 10 {
				if i == 5 {
					c.state.SetUnavailable(true)
				}
				if i == 7 {
					c.state.SetUnavailable(false)
				}
				if jobs := c.runningJobs(); len(jobs) > 0 {
					c.cancelConcurrently(jobs[:1])
				}
				var leader string
				for _, node := range c.nodeNames {
					if c.entitled(node) {
						leader = node
					}
				}
				if leader != "" {
					c.restartController(leader, time.Duration(i%3)*400*time.Millisecond)
				}
				time.Sleep(10 * time.Second)
			}
			c.expect(c.currentTerm() >= first+7, "changes of the leader: %d", c.currentTerm()-first)
		},
	},
	{
		name: "a team is at its limit when the leader changes; machines can't be probed, and a job is cancelled",
		run: func(c *cluster) {
			c.warmUp(2, func(spec *protocol.Spec) { spec.Team, spec.Tasks, spec.EstimateS = "red", 8, 150 })
			end := time.Now().Add(time.Minute)
			for c.tasksOnMachines(c.runningJobs()...) < 16 && time.Now().Before(end) {
				time.Sleep(500 * time.Millisecond)
			}
			c.expect(c.tasksOnMachines(c.runningJobs()...) == 16,
				"the team at its limit: %d", c.tasksOnMachines(c.runningJobs()...))
			c.submit(func(spec *protocol.Spec) { spec.Team, spec.Tasks, spec.Priority = "red", 8, "production" })
			j := c.waitForRunningJobs(1)[0]
			unreachable := c.machinesOf(j)[:1]
			c.setWorkerLinks(unreachable, standin.Delay, standin.Delay)
			before := c.currentTerm()
			c.restartController(c.waitForLeader(), 200*time.Millisecond)
			c.cancelConcurrently([]*job{j})
			c.waitForTermAfter(before)
			time.Sleep(5 * time.Second)
			c.setWorkerLinks(unreachable, standin.Open, standin.Open)
			time.Sleep(40 * time.Second)
			c.expect(c.confirmedCancellations([]*job{j}) == 1, "a cancellation")
		},
	},
	{
		name: "jobs of two or three tasks end far apart across a change of leader",
		run: func(c *cluster) {
			c.warmUp(5, func(spec *protocol.Spec) { spec.Tasks = 2 + c.submissions%2 })
			// Machines are lost one after the other while the last tasks of jobs run: what was done must
			// stay done.
			for i := range 5 {
				time.Sleep(5 * time.Second)
				if machines := c.machinesOf(nil); len(machines) > 0 {
					c.cloud.Kill(machines[0])
				}
				if i%2 == 1 {
					c.restartController(c.waitForLeader(), time.Second)
				}
			}
			c.expect(c.currentTerm() >= 3, "changes of the leader")
		},
	},
	{
		name: "a zone with workers and a controller is cut off for longer than lease_s",
		run: func(c *cluster) {
			c.warmUp(8, longTasks)
			leader, before := c.waitForLeader(), c.currentTerm()
			zone := c.zones[slices.Index(c.nodeNames, leader)]
			var inside, outside []string
			for _, machine := range c.cloud.Machines() {
				if c.cloud.Zone(machine) == zone {
					inside = append(inside, machine)
				} else {
					outside = append(outside, machine)
				}
			}
			jobs := c.waitForRunningJobs(4)
			c.setPeerLinks(leader, standin.Delay)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Delay)
			for _, machine := range outside {
				c.network.SetLinkBothWays(leader, machine, standin.Delay)
			}
			for _, machine := range inside {
				for _, node := range c.nodeNames {
					if node != leader {
						c.network.SetLinkBothWays(node, machine, standin.Delay)
					}
				}
			}
			c.expect(len(outside) > 0, "machines outside the zone")
			c.cancelConcurrently(jobs)
			c.waitForTermAfter(before)
			time.Sleep(limits.Seconds(leaseS + 10))
			c.setPeerLinks(leader, standin.Open)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Open)
			for _, machine := range append(inside, outside...) {
				for _, node := range c.nodeNames {
					c.network.SetLinkBothWays(node, machine, standin.Open)
				}
			}
		},
	},
	{
		name: "a leader ends while machines with long tasks are unreachable or don't get the new leader's answers",
		run: func(c *cluster) {
			c.warmUp(8, longTasks)
			leader, before := c.waitForLeader(), c.currentTerm()
			machines := c.machinesOf(nil)
			c.setWorkerLinks(machines[:1], standin.Delay, standin.Delay) // unreachable
			c.setWorkerLinks(machines[1:2], standin.Drop, standin.Open)  // gets no answers
			jobs := c.waitForRunningJobs(3)
			c.killController(leader)
			c.cancelConcurrently(jobs)
			c.waitForTermAfter(before)
			time.Sleep(12 * time.Second)
			c.setWorkerLinks(machines[:2], standin.Open, standin.Open)
			time.Sleep(20 * time.Second)
			c.startController(leader)
			c.expect(c.confirmedCancellations(jobs) == 3, "cancellations")
		},
	},
	{
		name: "controllers hand over and back, all end, and one returns, also within a second",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			first := c.currentTerm()
			for range 2 {
				leader, before := c.waitForLeader(), c.currentTerm()
				c.state.SetRejectedCaller(leader, true)
				c.waitForTermAfter(before)
				c.state.SetRejectedCaller(leader, false)
			}
			c.expect(c.currentTerm() >= first+2, "handed over and back")
			jobs := c.waitForRunningJobs(2)
			c.cancelConcurrently(jobs)
			time.Sleep(100 * time.Millisecond)
			for _, node := range c.nodeNames {
				c.killController(node)
			}
			time.Sleep(300 * time.Millisecond)
			c.startController(c.nodeNames[0])
			time.Sleep(20 * time.Second)
			c.startController(c.nodeNames[1])
			c.startController(c.nodeNames[2])
		},
	},
}
