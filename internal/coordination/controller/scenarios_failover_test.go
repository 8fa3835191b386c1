package controller

import (
	"slices"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// failoverScenarios inject faults around a change of the leader.
var failoverScenarios = []scenario{
	{
		name: "heartbeats are delayed until a new leader has acted, and then reach the new leader",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			delayed := c.busyMachines(2)
			c.setWorkerLinks(delayed, standin.Delay, standin.Delay)
			c.cloud.SetDuplicateHeartbeats(func(machine string) (time.Duration, bool) {
				return 20 * time.Second, slices.Contains(delayed, machine)
			})
			time.Sleep(3 * time.Second)
			c.killController(leader)
			newLeader := c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(10 * time.Second)
			c.setWorkerLinks(delayed, standin.Open, standin.Open)
			time.Sleep(20 * time.Second)
			c.expect(newLeader != leader, "another controller becomes the leader")
			c.startController(leader)
		},
	},
	{
		name: "transactions get no reply and are applied late while jobs end or are cancelled and leaders change",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			lateTransactions := 0
			c.state.SetDelayedTransactions(func() (time.Duration, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.random.Float64() > 0.25 {
					return 0, false
				}
				lateTransactions++
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
			c.expect(lateTransactions > 5, "more than 5 transactions are delayed: %d", lateTransactions)
			c.mu.Unlock()
			time.Sleep(15 * time.Second)
		},
	},
	{
		name: "all controllers are down for longer than lease_s",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			jobs := c.waitForRunningJobs(2)
			c.cancelConcurrently(jobs)
			time.Sleep(200 * time.Millisecond)
			c.expect(c.runningTaskCount(c.runningJobs()...) > 0, "tasks run when the controllers are killed")
			for _, node := range c.nodeNames {
				c.killController(node)
			}
			time.Sleep(limits.Seconds(workerLeaseS + 4))
			for _, node := range c.nodeNames {
				c.startController(node)
			}
			time.Sleep(20 * time.Second)
		},
	},
	{
		name: "a new leader renews worker leases late, then gets no heartbeats; the cloud deletes no machines",
		run: func(c *cluster) {
			c.startJobs(6, func(spec *protocol.Spec) { spec.EstimateS = 60 })
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			all := c.cloud.MachineNames()
			for _, machine := range all {
				c.network.StopListening(machine + ":9000") // so that controllers cannot probe them
			}
			c.killController(leader)
			c.setWorkerLinks(all, standin.Delay, standin.Delay)
			c.setDeletionsFail(true)
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(4 * time.Second)
			c.setWorkerLinks(all, standin.Open, standin.Open)
			time.Sleep(1900 * time.Millisecond) // one heartbeat of each machine reaches the new leader
			c.setWorkerLinks(all, standin.Delay, standin.Delay)
			time.Sleep(limits.Seconds(workerLeaseS - 3))
			c.setWorkerLinks(all, standin.Open, standin.Open)
			c.setDeletionsFail(false)
			c.startController(leader)
		},
	},
	{
		name: "the leader is restarted about ten times in two minutes, also in an outage of the state service",
		run: func(c *cluster) {
			c.startJobs(4, longTasks)
			firstTerm := c.currentTerm()
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
					if c.isEntitled(node) {
						leader = node
					}
				}
				if leader != "" {
					c.restartController(leader, time.Duration(i%3)*400*time.Millisecond)
				}
				time.Sleep(10 * time.Second)
			}
			c.expect(c.currentTerm() >= firstTerm+7,
				"at least 7 new terms begin: %d", c.currentTerm()-firstTerm)
		},
	},
	{
		name: "a team is at its limit when the leader changes; a machine is unreachable and a job is cancelled",
		run: func(c *cluster) {
			c.startJobs(2, func(spec *protocol.Spec) { spec.Team, spec.Tasks, spec.EstimateS = "red", 8, 150 })
			deadline := time.Now().Add(time.Minute)
			for c.runningTaskCount(c.runningJobs()...) < 16 && time.Now().Before(deadline) {
				time.Sleep(500 * time.Millisecond)
			}
			c.expect(c.runningTaskCount(c.runningJobs()...) == 16,
				"16 tasks run, which is the team's limit: %d", c.runningTaskCount(c.runningJobs()...))
			c.submit(func(spec *protocol.Spec) { spec.Team, spec.Tasks, spec.Priority = "red", 8, "production" })
			j := c.waitForRunningJobs(1)[0]
			unreachable := c.machinesOf(j)[:1]
			c.setWorkerLinks(unreachable, standin.Delay, standin.Delay)
			oldTerm := c.currentTerm()
			c.restartController(c.waitForLeader(), 200*time.Millisecond)
			c.cancelConcurrently([]*job{j})
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(5 * time.Second)
			c.setWorkerLinks(unreachable, standin.Open, standin.Open)
			time.Sleep(40 * time.Second)
			c.expect(c.confirmedCancellations([]*job{j}) == 1, "the cancellation is confirmed")
		},
	},
	{
		name: "jobs of two or three tasks, which end far apart, lose machines while the leader changes",
		run: func(c *cluster) {
			c.startJobs(5, func(spec *protocol.Spec) { spec.Tasks = 2 + c.submissions%2 })
			// Machines are lost one after the other while jobs run their last tasks. Tasks that have
			// completed must stay completed.
			for i := range 5 {
				time.Sleep(5 * time.Second)
				if machines := c.machinesOf(nil); len(machines) > 0 {
					c.cloud.KillMachine(machines[0])
				}
				if i%2 == 1 {
					c.restartController(c.waitForLeader(), time.Second)
				}
			}
			c.expect(c.currentTerm() >= 3, "the leader changes at least twice: term %d", c.currentTerm())
		},
	},
	{
		name: "the leader's zone, with its workers, is cut off for longer than lease_s",
		run: func(c *cluster) {
			c.startJobs(8, longTasks)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			zone := c.zones[slices.Index(c.nodeNames, leader)]
			var inside, outside []string
			for _, machine := range c.cloud.MachineNames() {
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
			c.expect(len(outside) > 0, "there are machines outside the zone")
			c.cancelConcurrently(jobs)
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(limits.Seconds(workerLeaseS + 10))
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
		name: "the leader is killed while one machine is unreachable and another receives nothing from controllers",
		run: func(c *cluster) {
			c.startJobs(8, longTasks)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			machines := c.machinesOf(nil)
			c.setWorkerLinks(machines[:1], standin.Delay, standin.Delay) // unreachable
			c.setWorkerLinks(machines[1:2], standin.Drop, standin.Open)  // receives nothing from controllers
			jobs := c.waitForRunningJobs(3)
			c.killController(leader)
			c.cancelConcurrently(jobs)
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(12 * time.Second)
			c.setWorkerLinks(machines[:2], standin.Open, standin.Open)
			time.Sleep(20 * time.Second)
			c.startController(leader)
			c.expect(c.confirmedCancellations(jobs) == 3,
				"all three cancellations are confirmed: %d confirmed", c.confirmedCancellations(jobs))
		},
	},
	{
		name: "leadership is handed over and back; all controllers are killed and one restarts within a second",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			firstTerm := c.currentTerm()
			for range 2 {
				leader, oldTerm := c.waitForLeader(), c.currentTerm()
				c.state.SetRejectedCaller(leader, true)
				c.waitForLeaderAfterTerm(oldTerm)
				c.state.SetRejectedCaller(leader, false)
			}
			c.expect(c.currentTerm() >= firstTerm+2,
				"leadership is handed over at least twice: %d new terms", c.currentTerm()-firstTerm)
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
