package controller

import (
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// cancellationScenarios are faults during cancellations.
var cancellationScenarios = []scenario{
	{
		name: "the state service rejects the leader alone, then everybody beyond cancel_s; users cancel and poll",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			leader := c.waitForLeader()
			jobs := c.waitForRunningJobs(4)
			c.state.SetRejectedCaller(leader, true)
			time.Sleep(500 * time.Millisecond)
			for _, j := range jobs {
				c.users.Go(func() { c.cancel(j) })
			}
			time.Sleep(time.Second)
			c.expect(c.confirmedCancellations(jobs) > 0 && c.entitled(leader),
				"confirmed cancellations while the leader is rejected: %d", c.confirmedCancellations(jobs))
			c.state.SetUnavailable(true)
			for range 10 {
				time.Sleep(5 * time.Second)
				for _, j := range jobs {
					c.poll(j)
				}
			}
			c.expect(c.currentTerm() == 1, "the same leader throughout")
			c.state.SetUnavailable(false)
			c.state.SetRejectedCaller(leader, false)
		},
	},
	{
		name: "the leader's link to the state service stalls, then the service is unavailable to everybody",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			leader := c.waitForLeader()
			jobs := c.waitForRunningJobs(4)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Delay)
			time.Sleep(500 * time.Millisecond)
			for _, j := range jobs {
				c.users.Go(func() {
					c.tryCancel(j, c.otherThan(leader))
					c.cancel(j)
				})
			}
			time.Sleep(1500 * time.Millisecond)
			c.state.SetUnavailable(true)
			time.Sleep(time.Second)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Open)
			time.Sleep(50 * time.Second)
			c.expect(c.confirmedCancellations(jobs) > 0, "confirmed cancellations")
			c.state.SetUnavailable(false)
		},
	},
	{
		name: "jobs are cancelled at the moment of the refusal, the leader is killed in the outage and returns",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			leader := c.waitForLeader()
			jobs := c.waitForRunningJobs(4)
			c.cancelConcurrently(jobs)
			c.state.SetRejectedCaller(leader, true)
			time.Sleep(time.Second)
			c.state.SetUnavailable(true)
			time.Sleep(5 * time.Second)
			c.restartController(leader, 3*time.Second)
			time.Sleep(45 * time.Second)
			c.expect(c.confirmedCancellations(jobs) > 0, "confirmed cancellations")
			c.state.SetUnavailable(false)
			c.state.SetRejectedCaller(leader, false)
		},
	},
	{
		name: "controllers refuse each other, the state service the leader; heartbeat records confirm cancellations",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			leader := c.waitForLeader()
			for _, node := range c.nodeNames {
				c.setPeerLinks(node, standin.Refuse)
			}
			time.Sleep(10 * time.Second)
			jobs := c.runningJobs()
			before := c.currentTerm()
			c.users.Go(func() {
				c.expect(c.cancel(jobs[0], c.otherThan(leader)),
					"a cancellation confirmed by a controller that can't reach the leader")
			})
			time.Sleep(15 * time.Second)
			c.expect(c.confirmedCancellations(jobs[:1]) == 1 && c.currentTerm() == before,
				"confirmed in the same term")
			c.state.SetRejectedCaller(leader, true)
			c.cancelConcurrently(jobs[1:4])
			c.waitForTermAfter(before)
			c.stateOutage(45 * time.Second)
			for _, node := range c.nodeNames {
				c.setPeerLinks(node, standin.Open)
			}
			c.state.SetRejectedCaller(leader, false)
		},
	},
	{
		name: "starts are delayed longer than a heartbeat interval, their job is cancelled, the machines go on",
		run: func(c *cluster) {
			c.warmUp(4, longTasks)
			all := c.cloud.Machines()
			// What the leader sends to the machines is delayed: direct commands, and answers to their
			// heartbeats.
			for _, machine := range all {
				c.network.SetLink(c.waitForLeader(), machine, standin.Delay)
			}
			j := c.submit(func(spec *protocol.Spec) { spec.Tasks, spec.Priority = 4, "production" })
			time.Sleep(time.Second)
			c.expect(c.cancel(j), "a cancellation")
			time.Sleep(2 * time.Second)
			for _, machine := range all[:len(all)/2] {
				c.network.SetLink(c.waitForLeader(), machine, standin.Open)
			}
			time.Sleep(9 * time.Second)
			for _, machine := range all {
				c.network.SetLink(c.waitForLeader(), machine, standin.Open)
			}
			time.Sleep(45 * time.Second)
			c.expect(c.tasksOnMachines(j) == 0, "no task of the job")
		},
	},
	{
		name: "machines hang with cancelled tasks and go on within their lease",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			jobs := c.waitForRunningJobs(3)
			for i, j := range jobs {
				for _, machine := range c.machinesOf(j) {
					c.cloud.Hang(machine, time.Duration(8+3*i)*time.Second)
				}
			}
			c.cancelConcurrently(jobs)
			time.Sleep(time.Second)
			c.expect(c.confirmedCancellations(jobs) == 3 && c.tasksOnMachines(jobs...) > 0,
				"cancelled tasks on hanging machines")
			time.Sleep(45 * time.Second)
		},
	},
	{
		name: "a leader is cut off from the state service and its peers only; jobs are cancelled through the new one",
		run: func(c *cluster) {
			c.warmUp(6, longTasks)
			leader, before := c.waitForLeader(), c.currentTerm()
			jobs := c.waitForRunningJobs(4)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Refuse)
			c.setPeerLinks(leader, standin.Delay)
			for i, node := range []string{leader, c.otherThan(leader)} {
				c.users.Go(func() {
					c.expect(!c.tryCancel(jobs[i], node), "a cancellation that can't be confirmed")
					c.cancel(jobs[i])
				})
			}
			time.Sleep(2 * time.Second)
			c.expect(c.entitled(leader), "the old leader still entitled")
			time.Sleep(limits.IsolationThreshold)
			c.expect(c.turnsAway(leader, jobs[0]) && !c.turnsAway(c.otherThan(leader), jobs[0]),
				"users turned away by the one that is cut off, and only there")
			for c.currentTerm() == before {
				time.Sleep(100 * time.Millisecond)
			}
			c.cancelConcurrently(jobs[2:])
			time.Sleep(50 * time.Second)
			c.expect(c.confirmedCancellations(jobs) == 4, "all four cancelled: %d", c.confirmedCancellations(jobs))
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Open)
			c.setPeerLinks(leader, standin.Open)
		},
	},
	{
		name: "a cancellation, a poll or a repeated submission coincides with the end of a job's last task",
		run: func(c *cluster) {
			c.warmUp(2, nil)
			for i := range 20 {
				c.users.Go(func() {
					j := c.submit(func(spec *protocol.Spec) {
						spec.Tasks, spec.EstimateS, spec.Priority = 1, 3, "production"
					})
					for c.tasksOnMachines(j) == 0 {
						time.Sleep(5 * time.Millisecond)
					}
					// The task's end is reported within the two seconds that the delays of all jobs
					// span.
					time.Sleep(3*time.Second + time.Duration(i)*100*time.Millisecond)
					c.users.Go(func() { c.cancel(j) })
					for range 5 {
						c.poll(j)
						time.Sleep(20 * time.Millisecond)
					}
					body := protocol.Encode(submissionBody(c.t, j.spec))
					for _, node := range c.nodeNames {
						sentAt := time.Now()
						status, state := c.call(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
						c.checkAnswer(j, status, state, sentAt)
					}
				})
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			jobs := c.acceptedJobs()
			cancelled := c.confirmedCancellations(jobs)
			c.expect(cancelled > 0 && cancelled < len(jobs)-2,
				"both outcomes: %d of %d cancelled", cancelled, len(jobs))
		},
	},
}
