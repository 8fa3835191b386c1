package controller

import (
	"fmt"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// gangOfFour changes a spec into that of a gang of four tasks in one zone, which fill two machines.
func gangOfFour(spec *protocol.Spec) {
	spec.Shape, spec.SameZone = protocol.ShapeGang, true
	spec.Tasks, spec.CPUs = 4, 4
	spec.EstimateS, spec.CheckpointS, spec.SaveS = 30, 10, 2
}

// waitForTasks waits until exactly count tasks of a job run. It returns false if this takes longer than
// 40 s.
func (c *cluster) waitForTasks(j *job, count int) bool {
	for range 400 {
		if c.runningTaskCount(j) == count {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// storeLegacyJob writes the record of an accepted job to the state service directly, as an earlier version
// of the controller would have stored it. The record may be larger than the value size that the state
// service accepts now.
func (c *cluster) storeLegacyJob(modifySpec func(*protocol.Spec)) *job {
	c.mu.Lock()
	c.submissions++
	j := &job{acceptedAt: time.Now(), spec: protocol.Spec{
		ID:        fmt.Sprintf("job-%06d", c.submissions),
		Class:     "x",
		Team:      "red",
		Shape:     protocol.ShapeArray,
		Priority:  "standard",
		Tasks:     2,
		CPUs:      1,
		MemoryGB:  1,
		Spot:      true,
		Image:     "i",
		EstimateS: 15,
	}}
	modifySpec(&j.spec)
	c.jobs[j.spec.ID] = j
	c.mu.Unlock()
	record := protocol.Encode(storage.OpenJob{Spec: j.spec, SubmittedAtMs: time.Now().UnixMilli()})
	c.state.CompareAndSwap(protocol.Transaction{
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(j.spec.ID), Value: record}},
	})
	return j
}

// gangScenarios inject faults while gangs start, run or stop: a change of the leader in each state of a
// gang, lost and unreachable machines, and late commands.
var gangScenarios = []scenario{
	{
		name: "the leader cannot reach one machine, and is killed while gangs gather",
		run: func(c *cluster) {
			c.startJobs(4, longTasks)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			unreachable := c.cloud.MachineNames()[0]
			c.network.SetLink(leader, unreachable, standin.Delay)
			c.network.SetLink(unreachable, leader, standin.Delay)
			gangs := []*job{c.submit(gangOfFour), c.submit(gangOfFour), c.submit(gangOfFour)}
			time.Sleep(3 * time.Second)
			c.killController(leader)
			c.waitForLeaderAfterTerm(oldTerm)
			c.network.SetLink(leader, unreachable, standin.Open)
			c.network.SetLink(unreachable, leader, standin.Open)
			for _, g := range gangs {
				c.expect(c.waitForTasks(g, 4), "gang %s runs under the new leader", g.spec.ID)
			}
			c.startController(leader)
		},
	},
	{
		name: "the leader is killed while a gang is preempted for a job of higher priority",
		run: func(c *cluster) {
			c.startJobs(2, nil)
			gangs := []*job{}
			for range 4 {
				gangs = append(gangs, c.submit(func(spec *protocol.Spec) {
					gangOfFour(spec)
					spec.Team, spec.Priority, spec.EstimateS = "red", "low", 60
				}))
			}
			c.expect(c.waitForTasks(gangs[0], 4), "the first gang runs")
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			c.submit(func(spec *protocol.Spec) {
				spec.Team, spec.Priority = "red", "production"
				spec.Tasks, spec.CPUs, spec.EstimateS, spec.DeadlineS = 4, 8, 15, 17
			})
			time.Sleep(500 * time.Millisecond)
			c.killController(leader)
			c.waitForLeaderAfterTerm(oldTerm)
			c.startController(leader)
			time.Sleep(30 * time.Second)
		},
	},
	{
		name: "a gang's machine is unreachable for longer than its lease, and the leader restarts meanwhile",
		run: func(c *cluster) {
			c.startJobs(2, nil)
			g := c.submit(gangOfFour)
			c.expect(c.waitForTasks(g, 4), "the gang runs")
			unreachable := c.machinesOf(g)[:1]
			c.setWorkerLinks(unreachable, standin.Delay, standin.Delay)
			time.Sleep(2 * time.Second)
			oldTerm := c.currentTerm()
			c.restartController(c.waitForLeader(), 3*time.Second)
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(limits.Seconds(workerLeaseS + 4))
			c.setWorkerLinks(unreachable, standin.Open, standin.Open)
		},
	},
	{
		name: "gangs lose machines repeatedly: one is killed, the next hangs",
		run: func(c *cluster) {
			c.startJobs(2, nil)
			for i := range 6 {
				g := c.submit(gangOfFour)
				c.expect(c.waitForTasks(g, 4), "the gang runs")
				machines := c.machinesOf(g)
				if i%2 == 0 {
					c.cloud.KillMachine(machines[0])
				} else {
					c.cloud.HangMachine(machines[0], time.Duration(4+4*i)*time.Second)
				}
				time.Sleep(5 * time.Second)
			}
		},
	},
	{
		name: "start commands of a gang are delayed, and arrive after the gang was cancelled",
		run: func(c *cluster) {
			c.startJobs(4, longTasks)
			all := c.cloud.MachineNames()
			for _, machine := range all[:len(all)/2] {
				c.network.SetLink(c.waitForLeader(), machine, standin.Delay)
			}
			g := c.submit(gangOfFour)
			time.Sleep(2 * time.Second)
			c.expect(c.cancel(g), "the cancellation succeeds")
			time.Sleep(4 * time.Second)
			for _, machine := range all {
				c.network.SetLink(c.waitForLeader(), machine, standin.Open)
			}
			time.Sleep(limits.Seconds(cancelWithinS))
			c.expect(c.runningTaskCount(g) == 0, "no task of the cancelled gang runs")
		},
	},
	{
		name: "old heartbeats of machines with gangs arrive after newer ones, while leaders change",
		run: func(c *cluster) {
			c.startJobs(2, nil)
			c.cloud.SetDuplicateHeartbeats(func(string) (time.Duration, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				return time.Duration(2000+c.random.IntN(30000)) * time.Millisecond, c.random.Float64() < 0.4
			})
			for range 4 {
				g := c.submit(gangOfFour)
				c.expect(c.waitForTasks(g, 4), "the gang runs")
				c.cloud.KillMachine(c.machinesOf(g)[0])
				time.Sleep(4 * time.Second)
				c.restartController(c.waitForLeader(), 500*time.Millisecond)
			}
			c.cloud.SetDuplicateHeartbeats(nil)
		},
	},
	{
		name: "two gangs compete for the same machines, and the team's limit is enough for one of them",
		run: func(c *cluster) {
			c.startJobs(1, nil)
			large := func(spec *protocol.Spec) {
				gangOfFour(spec)
				spec.Team, spec.Tasks, spec.EstimateS = "red", 5, 10
			}
			a, b := c.submit(large), c.submit(large) // 20 CPUs each; the team's limit is 32
			c.expect(c.waitForTasks(a, 5) || c.waitForTasks(b, 5), "one of the two gangs runs")
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "the state service lowers its limits while leaders change; a job with a larger record is cancelled",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			large := c.storeLegacyJob(func(spec *protocol.Spec) {
				for range 100 {
					spec.MachineTypes = append(spec.MachineTypes, "another-type-with-a-long-name")
				}
				spec.MachineTypes[0], spec.EstimateS = "c8", 200
			})
			c.expect(c.waitForTasks(large, large.spec.Tasks), "the job with the large record runs")
			c.state.SetLimits(standin.StateLimits{ValueBytes: int(announcedValueKB * 1024), TxnOps: announcedTxnOps})
			c.generateLoad(40*time.Second, 3*time.Second, gangOfFour)
			for range 3 {
				c.restartController(c.waitForLeader(), time.Second)
				time.Sleep(8 * time.Second)
			}
			c.expect(c.cancel(large), "the cancellation of the job with the large record succeeds")
			time.Sleep(20 * time.Second)
			c.expect(c.state.OversizedTransactions() == 0,
				"no transaction exceeds the limits: %d did", c.state.OversizedTransactions())
		},
	},
	{
		name: "a gang loses a machine during an outage of the state service",
		run: func(c *cluster) {
			c.startJobs(2, nil)
			g := c.submit(gangOfFour)
			c.expect(c.waitForTasks(g, 4), "the gang runs")
			c.state.SetUnavailable(true)
			c.cloud.KillMachine(c.machinesOf(g)[0])
			time.Sleep(25 * time.Second)
			c.state.SetUnavailable(false)
		},
	},
}
