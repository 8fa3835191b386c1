package controller

import (
	"fmt"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// gangOfFour makes a job a gang of four tasks in one zone, which fill two machines.
func gangOfFour(spec *protocol.Spec) {
	spec.Shape, spec.SameZone = protocol.ShapeGang, true
	spec.Tasks, spec.CPUs = 4, 4
	spec.EstimateS, spec.CheckpointS, spec.SaveS = 30, 10, 2
}

// waitForTasks waits until a number of a job's tasks run, and reports whether they do.
func (c *cluster) waitForTasks(j *job, tasks int) bool {
	for range 400 {
		if c.tasksOnMachines(j) == tasks {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// storeLegacyJob writes a job's record as an earlier version has stored it, perhaps larger than a
// value may be now.
func (c *cluster) storeLegacyJob(change func(*protocol.Spec)) *job {
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
	change(&j.spec)
	c.jobs[j.spec.ID] = j
	c.mu.Unlock()
	record := protocol.Encode(storage.OpenJob{Spec: j.spec, SubmittedAtMs: time.Now().UnixMilli()})
	c.state.CompareAndSwap(protocol.Transaction{
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(j.spec.ID), Value: record}},
	})
	return j
}

// gangScenarios are faults while gangs start, run or stop: a change of leaders in each state of a
// gang, lost and unreachable machines, late commands.
var gangScenarios = []scenario{
	{
		name: "a leader ends while a gang gathers, as one machine is unreachable",
		run: func(c *cluster) {
			c.warmUp(4, longTasks)
			leader, before := c.waitForLeader(), c.currentTerm()
			unreachable := c.cloud.Machines()[0]
			c.network.SetLink(leader, unreachable, standin.Delay)
			c.network.SetLink(unreachable, leader, standin.Delay)
			gangs := []*job{c.submit(gangOfFour), c.submit(gangOfFour), c.submit(gangOfFour)}
			time.Sleep(3 * time.Second)
			c.killController(leader)
			c.waitForTermAfter(before)
			c.network.SetLink(leader, unreachable, standin.Open)
			c.network.SetLink(unreachable, leader, standin.Open)
			for _, g := range gangs {
				c.expect(c.waitForTasks(g, 4), "a gang that runs under the new leader")
			}
			c.startController(leader)
		},
	},
	{
		name: "a leader ends while a gang is being preempted for urgent work",
		run: func(c *cluster) {
			c.warmUp(2, nil)
			gangs := []*job{}
			for range 4 {
				gangs = append(gangs, c.submit(func(spec *protocol.Spec) {
					gangOfFour(spec)
					spec.Team, spec.Priority, spec.EstimateS = "red", "low", 60
				}))
			}
			c.expect(c.waitForTasks(gangs[0], 4), "a gang that runs")
			leader, before := c.waitForLeader(), c.currentTerm()
			c.submit(func(spec *protocol.Spec) {
				spec.Team, spec.Priority = "red", "production"
				spec.Tasks, spec.CPUs, spec.EstimateS, spec.DeadlineS = 4, 8, 15, 17
			})
			time.Sleep(500 * time.Millisecond)
			c.killController(leader)
			c.waitForTermAfter(before)
			c.startController(leader)
			time.Sleep(30 * time.Second)
		},
	},
	{
		name: "a gang's machine is unreachable for longer than its lease, and the leader changes meanwhile",
		run: func(c *cluster) {
			c.warmUp(2, nil)
			g := c.submit(gangOfFour)
			c.expect(c.waitForTasks(g, 4), "a gang that runs")
			lost := c.machinesOf(g)[:1]
			c.setWorkerLinks(lost, standin.Delay, standin.Delay)
			time.Sleep(2 * time.Second)
			before := c.currentTerm()
			c.restartController(c.waitForLeader(), 3*time.Second)
			c.waitForTermAfter(before)
			time.Sleep(limits.Seconds(leaseS + 4))
			c.setWorkerLinks(lost, standin.Open, standin.Open)
		},
	},
	{
		name: "machines with gangs hang, die, and are replaced, again and again",
		run: func(c *cluster) {
			c.warmUp(2, nil)
			for i := range 6 {
				g := c.submit(gangOfFour)
				c.expect(c.waitForTasks(g, 4), "a gang that runs")
				machines := c.machinesOf(g)
				if i%2 == 0 {
					c.cloud.Kill(machines[0])
				} else {
					c.cloud.Hang(machines[0], time.Duration(4+4*i)*time.Second)
				}
				time.Sleep(5 * time.Second)
			}
		},
	},
	{
		name: "starts of a gang are delayed, the gang is cancelled, and the starts arrive",
		run: func(c *cluster) {
			c.warmUp(4, longTasks)
			all := c.cloud.Machines()
			for _, machine := range all[:len(all)/2] {
				c.network.SetLink(c.waitForLeader(), machine, standin.Delay)
			}
			g := c.submit(gangOfFour)
			time.Sleep(2 * time.Second)
			c.expect(c.cancel(g), "a cancellation")
			time.Sleep(4 * time.Second)
			for _, machine := range all {
				c.network.SetLink(c.waitForLeader(), machine, standin.Open)
			}
			time.Sleep(limits.Seconds(cancelS))
			c.expect(c.tasksOnMachines(g) == 0, "no task of the gang")
		},
	},
	{
		name: "old heartbeats of gangs arrive after newer ones, with leaders that change",
		run: func(c *cluster) {
			c.warmUp(2, nil)
			c.cloud.SetDuplicateHeartbeats(func(string) (time.Duration, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				return time.Duration(2000+c.random.IntN(30000)) * time.Millisecond, c.random.Float64() < 0.4
			})
			for range 4 {
				g := c.submit(gangOfFour)
				c.expect(c.waitForTasks(g, 4), "a gang that runs")
				c.cloud.Kill(c.machinesOf(g)[0])
				time.Sleep(4 * time.Second)
				c.restartController(c.waitForLeader(), 500*time.Millisecond)
			}
			c.cloud.SetDuplicateHeartbeats(nil)
		},
	},
	{
		name: "two gangs each need the capacity that the other may have, and the team's limit is enough for one",
		run: func(c *cluster) {
			c.warmUp(1, nil)
			large := func(spec *protocol.Spec) {
				gangOfFour(spec)
				spec.Team, spec.Tasks, spec.EstimateS = "red", 5, 10
			}
			a, b := c.submit(large), c.submit(large) // 20 CPUs each, of 32
			c.expect(c.waitForTasks(a, 5) || c.waitForTasks(b, 5), "one of them runs")
			time.Sleep(60 * time.Second)
		},
	},
	{
		name: "the limits of the state service fall while leaders change; a larger stored record can be cancelled",
		run: func(c *cluster) {
			c.warmUp(4, nil)
			large := c.storeLegacyJob(func(spec *protocol.Spec) {
				for range 100 {
					spec.MachineTypes = append(spec.MachineTypes, "another-type-with-a-long-name")
				}
				spec.MachineTypes[0], spec.EstimateS = "c8", 200
			})
			c.expect(c.waitForTasks(large, large.spec.Tasks), "the large job runs")
			c.state.SetLimits(standin.StateLimits{ValueBytes: int(nextValueKB * 1024), TxnOps: nextTxnOps})
			c.generateLoad(40*time.Second, 3*time.Second, gangOfFour)
			for range 3 {
				c.restartController(c.waitForLeader(), time.Second)
				time.Sleep(8 * time.Second)
			}
			c.expect(c.cancel(large), "a cancellation")
			time.Sleep(20 * time.Second)
			c.expect(c.state.OversizedTransactions() == 0,
				"no transaction over the limits: %d", c.state.OversizedTransactions())
		},
	},
	{
		name: "the state service is down while gangs run, lose a machine and start again",
		run: func(c *cluster) {
			c.warmUp(2, nil)
			g := c.submit(gangOfFour)
			c.expect(c.waitForTasks(g, 4), "a gang that runs")
			c.state.SetUnavailable(true)
			c.cloud.Kill(c.machinesOf(g)[0])
			time.Sleep(25 * time.Second)
			c.state.SetUnavailable(false)
		},
	},
}
