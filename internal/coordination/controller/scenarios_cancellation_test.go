package controller

import (
	"net/http"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
)

// longLeaseTimes are times with which a lease that is renewed shortly before it expires, on a machine that is cut
// off, ends later than the tasks of a job that was cancelled at the beginning of the cut may run.
var longLeaseTimes = config.WorkerTimes{
	HeartbeatIntervalS: heartbeatIntervalS, LeaseS: 27, CancelWithinS: cancelWithinS,
}

// cancellationScenarios inject faults while jobs are cancelled.
var cancellationScenarios = []scenario{
	{
		name: "the state service rejects the leader alone, then is unavailable beyond cancel_s; users cancel and poll",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader := c.waitForLeader()
			jobs := c.waitForRunningJobs(4)
			c.state.SetRejectedCaller(leader, true)
			time.Sleep(500 * time.Millisecond)
			for _, j := range jobs {
				c.userRequests.Go(func() { c.cancel(j) })
			}
			time.Sleep(time.Second)
			c.expect(c.confirmedCancellations(jobs) > 0 && c.isEntitled(leader),
				"cancellations are confirmed while the leader is rejected and still entitled: %d confirmed",
				c.confirmedCancellations(jobs))
			c.state.SetUnavailable(true)
			for range 10 {
				time.Sleep(5 * time.Second)
				for _, j := range jobs {
					c.pollStatus(j)
				}
			}
			c.expect(c.currentTerm() == 1, "the first leader leads throughout the outage: term %d", c.currentTerm())
			c.state.SetUnavailable(false)
			c.state.SetRejectedCaller(leader, false)
		},
	},
	{
		name: "the leader's link to the state service is delayed, then the service is unavailable to all",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader := c.waitForLeader()
			jobs := c.waitForRunningJobs(4)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Delay)
			time.Sleep(500 * time.Millisecond)
			for _, j := range jobs {
				c.userRequests.Go(func() {
					c.tryCancel(j, c.otherController(leader))
					c.cancel(j)
				})
			}
			time.Sleep(1500 * time.Millisecond)
			c.state.SetUnavailable(true)
			time.Sleep(time.Second)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Open)
			time.Sleep(50 * time.Second)
			c.expect(c.confirmedCancellations(jobs) > 0, "cancellations are confirmed")
			c.state.SetUnavailable(false)
		},
	},
	{
		name: "jobs are cancelled as the state service begins to reject the leader, which restarts in an outage",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader := c.waitForLeader()
			jobs := c.waitForRunningJobs(4)
			c.cancelConcurrently(jobs)
			c.state.SetRejectedCaller(leader, true)
			time.Sleep(time.Second)
			c.state.SetUnavailable(true)
			time.Sleep(5 * time.Second)
			c.restartController(leader, 3*time.Second)
			time.Sleep(45 * time.Second)
			c.expect(c.confirmedCancellations(jobs) > 0, "cancellations are confirmed")
			c.state.SetUnavailable(false)
			c.state.SetRejectedCaller(leader, false)
		},
	},
	{
		name: "heartbeat records confirm cancellations without peer links; the state service rejects the leader",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader := c.waitForLeader()
			for _, node := range c.nodeNames {
				c.setPeerLinks(node, standin.Refuse)
			}
			time.Sleep(10 * time.Second)
			jobs := c.runningJobs()
			oldTerm := c.currentTerm()
			c.userRequests.Go(func() {
				c.expect(c.cancel(jobs[0], c.otherController(leader)),
					"a controller that cannot reach the leader confirms a cancellation")
			})
			time.Sleep(15 * time.Second)
			c.expect(c.confirmedCancellations(jobs[:1]) == 1 && c.currentTerm() == oldTerm,
				"the cancellation is confirmed within the same term")
			c.state.SetRejectedCaller(leader, true)
			c.cancelConcurrently(jobs[1:4])
			c.waitForLeaderAfterTerm(oldTerm)
			c.causeStateServiceOutage(45 * time.Second)
			for _, node := range c.nodeNames {
				c.setPeerLinks(node, standin.Open)
			}
			c.state.SetRejectedCaller(leader, false)
		},
	},
	{
		name: "start commands are delayed for longer than a heartbeat interval, and their job is cancelled meanwhile",
		run: func(c *cluster) {
			c.startJobs(4, longTasks)
			all := c.cloud.MachineNames()
			// This delays everything that the leader sends to machines: direct commands and heartbeat replies.
			for _, machine := range all {
				c.network.SetLink(c.waitForLeader(), machine, standin.Delay)
			}
			j := c.submit(func(spec *protocol.Spec) { spec.Tasks, spec.Priority = 4, "production" })
			time.Sleep(time.Second)
			c.expect(c.cancel(j), "the cancellation succeeds")
			time.Sleep(2 * time.Second)
			for _, machine := range all[:len(all)/2] {
				c.network.SetLink(c.waitForLeader(), machine, standin.Open)
			}
			time.Sleep(9 * time.Second)
			for _, machine := range all {
				c.network.SetLink(c.waitForLeader(), machine, standin.Open)
			}
			time.Sleep(45 * time.Second)
			c.expect(c.runningTaskCount(j) == 0, "no task of the cancelled job runs")
		},
	},
	{
		name: "machines with cancelled tasks are cut off, and reach a new leader just before their lease expires; " +
			"the cloud deletes nothing",
		times: &longLeaseTimes,
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			jobs := c.waitForRunningJobs(3)
			var machines []string
			for _, j := range jobs {
				machines = append(machines, c.machinesOf(j)...)
			}
			c.setWorkerLinks(machines, standin.Drop, standin.Drop)
			c.cancelConcurrently(jobs)
			c.setDeletionsFail(true)
			time.Sleep(500 * time.Millisecond)
			c.expect(c.confirmedCancellations(jobs) == 3, "all jobs are cancelled while their machines are cut off")
			c.restartController(leader, 3*time.Second)
			c.waitForLeaderAfterTerm(oldTerm)
			time.Sleep(limits.Seconds(longLeaseTimes.LeaseS) - 6*time.Second)
			c.expect(c.runningTaskCount(jobs...) > 0, "tasks of the cancelled jobs run until their lease is over")
			c.setWorkerLinks(machines, standin.Open, standin.Open)
			time.Sleep(limits.Seconds(cancelWithinS))
			c.expect(c.runningTaskCount(jobs...) == 0, "no task of the cancelled jobs runs")
			c.setDeletionsFail(false)
		},
	},
	{
		name: "machines with cancelled tasks hang and resume before their lease expires",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			jobs := c.waitForRunningJobs(3)
			for i, j := range jobs {
				for _, machine := range c.machinesOf(j) {
					c.cloud.HangMachine(machine, time.Duration(8+3*i)*time.Second)
				}
			}
			c.cancelConcurrently(jobs)
			time.Sleep(time.Second)
			c.expect(c.confirmedCancellations(jobs) == 3 && c.runningTaskCount(jobs...) > 0,
				"all jobs are cancelled while their tasks are on hanging machines")
			time.Sleep(45 * time.Second)
		},
	},
	{
		name: "the leader cannot reach the state service or its peers; users cancel jobs before and after the failover",
		run: func(c *cluster) {
			c.startJobs(6, longTasks)
			leader, oldTerm := c.waitForLeader(), c.currentTerm()
			jobs := c.waitForRunningJobs(4)
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Refuse)
			c.setPeerLinks(leader, standin.Delay)
			for i, node := range []string{leader, c.otherController(leader)} {
				c.userRequests.Go(func() {
					c.expect(!c.tryCancel(jobs[i], node), "the cancellation cannot be confirmed yet")
					c.cancel(jobs[i])
				})
			}
			time.Sleep(2 * time.Second)
			c.expect(c.isEntitled(leader), "the old leader is still entitled")
			time.Sleep(limits.IsolationThreshold)
			c.expect(c.rejectsUserRequest(leader, jobs[0]) && !c.rejectsUserRequest(c.otherController(leader), jobs[0]),
				"only the controller that is cut off rejects user requests")
			for c.currentTerm() == oldTerm {
				time.Sleep(100 * time.Millisecond)
			}
			c.cancelConcurrently(jobs[2:])
			time.Sleep(50 * time.Second)
			c.expect(c.confirmedCancellations(jobs) == 4,
				"all four cancellations are confirmed: %d confirmed", c.confirmedCancellations(jobs))
			c.network.SetLinkBothWays(leader, "state-"+leader, standin.Open)
			c.setPeerLinks(leader, standin.Open)
		},
	},
	{
		name: "a cancellation, polls and repeated submissions coincide with the end of a job's only task",
		run: func(c *cluster) {
			c.startJobs(2, nil)
			for i := range 20 {
				c.userRequests.Go(func() {
					j := c.submit(func(spec *protocol.Spec) {
						spec.Tasks, spec.EstimateS, spec.Priority = 1, 3, "production"
					})
					for c.runningTaskCount(j) == 0 {
						time.Sleep(5 * time.Millisecond)
					}
					// The task runs for 3 s, and its end is reported by a heartbeat within 2 s after that. The
					// times at which the 20 jobs are cancelled are spread over these 2 s.
					time.Sleep(3*time.Second + time.Duration(i)*100*time.Millisecond)
					c.userRequests.Go(func() { c.cancel(j) })
					for range 5 {
						c.pollStatus(j)
						time.Sleep(20 * time.Millisecond)
					}
					body := protocol.Encode(submissionBody(c.t, j.spec))
					for _, node := range c.nodeNames {
						sentAt := time.Now()
						status, state := c.sendAndReadJobState(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
						c.checkResponse(j, status, state, sentAt)
					}
				})
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			jobs := c.acceptedJobs()
			cancelled := c.confirmedCancellations(jobs)
			c.expect(cancelled > 0 && cancelled < len(jobs)-2,
				"some jobs are cancelled and some are done: %d of %d cancelled", cancelled, len(jobs))
		},
	},
}
