package controller

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// workerScenarios inject faults of machines and of the links to them.
var workerScenarios = []scenario{
	{
		name: "old heartbeats arrive after newer ones, also those of an earlier incarnation or attempt",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			heartbeats := 0
			c.cloud.SetDuplicateHeartbeats(func(string) (time.Duration, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				heartbeats++
				return time.Duration(2000+c.random.IntN(30000)) * time.Millisecond, c.random.Float64() < 0.4
			})
			c.generateLoad(70*time.Second, 5*time.Second, nil)
			for i := range 3 {
				unreachable := c.busyMachines(2)
				c.setWorkerLinks(unreachable, standin.Drop, standin.Drop)
				time.Sleep(limits.Seconds(workerLeaseS + 2))
				c.setWorkerLinks(unreachable, standin.Open, standin.Open)
				if i == 1 {
					c.restartController(c.waitForLeader(), time.Second)
				}
				time.Sleep(5 * time.Second)
			}
			c.cloud.SetDuplicateHeartbeats(nil)
			c.mu.Lock()
			c.expect(heartbeats > 50, "workers send more than 50 heartbeats: %d", heartbeats)
			c.mu.Unlock()
		},
	},
	{
		name: "jobs of several priorities exceed the capacity, over links with high latency",
		run: func(c *cluster) {
			c.network.SetLatency(150 * time.Millisecond)
			c.startJobs(4, nil)
			c.generateLoad(60*time.Second, 2*time.Second, func(spec *protocol.Spec) { spec.Tasks = 6 })
			time.Sleep(30 * time.Second)
			c.cancelConcurrently(c.waitForRunningJobs(2))
			c.restartController(c.waitForLeader(), 2*time.Second)
			time.Sleep(30 * time.Second)
			c.network.SetLatency(time.Millisecond)
		},
	},
	{
		name: "heartbeat replies take about as long as a worker waits for them, while leaders change",
		run: func(c *cluster) {
			c.startJobs(6, func(spec *protocol.Spec) { spec.EstimateS = 60 })
			firstTerm := c.currentTerm()
			for i := range 6 {
				// A heartbeat and its reply take 1.6 to 4.8 s together. A worker ignores a reply that arrives
				// later than 4 s after the heartbeat was sent, and a heartbeat waits at most 3 s for the leader's
				// reply (limits.HeartbeatReplyTimeout).
				for _, machine := range c.cloud.MachineNames() {
					c.network.SetExtraLatency(machine, time.Duration(800+c.random.IntN(1600))*time.Millisecond)
				}
				if i%2 == 1 {
					c.restartController(c.waitForLeader(), 300*time.Millisecond)
				}
				time.Sleep(time.Duration(6+c.random.IntN(8)) * time.Second)
				for _, machine := range c.cloud.MachineNames() {
					c.network.SetExtraLatency(machine, time.Duration(c.random.IntN(300))*time.Millisecond)
				}
				time.Sleep(time.Duration(1+c.random.IntN(6)) * time.Second)
			}
			for _, machine := range c.cloud.MachineNames() {
				c.network.SetExtraLatency(machine, 0)
			}
			c.expect(c.currentTerm() > firstTerm, "the leader changes: still term %d", firstTerm)
		},
	},
	{
		name: "some workers cannot connect to any controller, while direct commands still reach them",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			machines := c.machinesOf(nil)
			machines = machines[:len(machines)/2]
			for _, machine := range machines {
				for _, node := range c.nodeNames {
					c.network.SetLink(machine, node, standin.Refuse)
				}
			}
			jobs := c.waitForRunningJobs(3)
			c.cancelConcurrently(jobs)
			time.Sleep(3 * time.Second)
			oldTerm := c.currentTerm()
			c.restartController(c.waitForLeader(), time.Second)
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(limits.Seconds(workerLeaseS + 5))
			c.setWorkerLinks(machines, standin.Open, standin.Open)
			c.expect(c.confirmedCancellations(jobs) == 3,
				"all three cancellations are confirmed: %d confirmed", c.confirmedCancellations(jobs))
		},
	},
	{
		name: "array jobs that must run in one zone lose machines",
		run: func(c *cluster) {
			c.startJobs(4, func(spec *protocol.Spec) {
				spec.EstimateS, spec.SameZone, spec.Tasks = 20, c.submissions%2 == 0, 5
				if c.submissions%2 == 1 {
					spec.Zone = "b"
				}
			})
			for i := range 4 {
				for _, machine := range c.busyMachines(2) {
					if i%2 == 0 {
						c.cloud.KillMachine(machine)
					} else {
						c.cloud.HangMachine(machine, 25*time.Second)
					}
				}
				time.Sleep(12 * time.Second)
			}
		},
	},
}
