package controller

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// job is a submitted job and what the responses about it have shown. Each time is zero until its event has
// happened.
type job struct {
	spec              protocol.Spec
	acceptedAt        time.Time         // when the first successful response arrived
	cancelRequestedAt time.Time         // when the first cancellation request was sent
	cancelConfirmedAt time.Time         // when the first response arrived that says the job is cancelled
	finalState        protocol.JobState // the first final state in a response; empty until then
}

// mustNotRun reports whether the cancellation of a job was confirmed so long ago that none of its tasks may run
// any more. The caller holds mu.
func (c *cluster) mustNotRun(j *job) bool {
	return !j.cancelConfirmedAt.IsZero() && time.Since(j.cancelConfirmedAt) > limits.Seconds(c.times.CancelWithinS)
}

// jobSpec returns the spec of a job, or false if there is no such job. The stand-in workers call it.
func (c *cluster) jobSpec(id string) (protocol.Spec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return protocol.Spec{}, false
	}
	return j.spec, true
}

// sendUserRequest sends one user request to a controller over a new connection, and returns the response.
func (c *cluster) sendUserRequest(
	node, method, target string, body []byte, timeout time.Duration,
) (*transport.Message, error) {
	return c.sendUserRequestBy(c.network.Dialer("users"), node, method, target, body, timeout)
}

// sendUserRequestBy is sendUserRequest with another dialer, for example that of a load balancer.
func (c *cluster) sendUserRequestBy(
	dial transport.Dialer, node, method, target string, body []byte, timeout time.Duration,
) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return transport.NewClient(node+":8080", 0, limits.MaxBodyBytes).WithDialer(dial).Do(ctx, method, target, body)
}

// sendAndReadJobState sends one user request to a controller. It returns the HTTP status of the response and
// the job state in its body, which is empty if there is none. Status 0 means that no response arrived.
func (c *cluster) sendAndReadJobState(
	node, method, target string, body []byte, timeout time.Duration,
) (status int, state protocol.JobState) {
	m, err := c.sendUserRequest(node, method, target, body, timeout)
	if err != nil {
		return 0, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var jobStatus protocol.JobStatus
	if m.Status < 300 && len(m.Body) > 0 {
		if err := protocol.Decode(m.Body, &jobStatus); err != nil {
			c.recordViolation("cannot decode the response to %s %s: %v", method, target, err)
		}
	}
	return m.Status, jobStatus.State
}

// rejectsUserRequest reports whether a controller answers a status request with 503 and a Retry-After
// header and closes the connection, so that a load balancer can send the next try to another controller.
func (c *cluster) rejectsUserRequest(node string, j *job) bool {
	m, err := c.sendUserRequest(node, http.MethodGet, "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
	return err == nil && m.Status == http.StatusServiceUnavailable && m.RetryAfter > 0 && m.Close
}

// submit creates a job and submits it. Like a user, it retries for up to a minute until a controller
// accepts the job. modifySpec, unless nil, changes the default spec before the submission.
func (c *cluster) submit(modifySpec func(*protocol.Spec)) *job {
	c.mu.Lock()
	c.submissions++
	j := &job{spec: protocol.Spec{
		ID:        fmt.Sprintf("job-%06d", c.submissions),
		Class:     "x",
		Team:      teams[c.submissions%2].Name,
		Shape:     "sweep",
		Priority:  []string{"low", "standard", "high"}[c.submissions%3],
		Tasks:     3,
		CPUs:      2,
		MemoryGB:  1,
		Spot:      true,
		Image:     "i",
		EstimateS: 15,
	}}
	if modifySpec != nil {
		modifySpec(&j.spec)
	}
	c.jobs[j.spec.ID] = j
	c.mu.Unlock()
	body := protocol.Encode(submissionBody(c.t, j.spec))
	c.retryUntil(60*time.Second, c.nodeNames, func(node string) bool {
		sentAt := time.Now()
		status, state := c.sendAndReadJobState(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
		c.checkResponse(j, status, state, sentAt)
		return status == http.StatusOK || status == http.StatusCreated
	})
	return j
}

// submissionBody returns the fields of a submission request, by their names on the wire. Optional fields
// that are not set in the spec are left out.
func submissionBody(t *testing.T, spec protocol.Spec) map[string]any {
	t.Helper()
	body := map[string]any{}
	if err := protocol.Decode(protocol.Encode(spec), &body); err != nil {
		t.Fatal(err)
	}
	optional := map[string]bool{
		"Rigkinds": len(spec.MachineTypes) > 0,
		"Yard":     spec.Zone != "",
		"DueS":     spec.DeadlineS > 0,
	}
	for field, set := range optional {
		if !set {
			delete(body, field)
		}
	}
	return body
}

// retryUntil calls try with a random node until it returns true, and pauses for a second after each
// attempt. Like a load balancer, it skips nodes whose health check fails. It returns false if no try
// succeeds before the timeout.
func (c *cluster) retryUntil(timeout time.Duration, nodes []string, try func(node string) bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		c.mu.Lock()
		node := nodes[c.random.IntN(len(nodes))]
		c.mu.Unlock()
		status, _ := c.sendAndReadJobState(node, http.MethodGet, "/healthz", nil, time.Second)
		if status == http.StatusOK && try(node) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancel requests the cancellation of a job from one of the given controllers, or of all controllers if
// none is given. It retries for up to a minute and reports whether a controller answered with status 200.
func (c *cluster) cancel(j *job, nodes ...string) bool {
	if len(nodes) == 0 {
		nodes = c.nodeNames
	}
	return c.retryUntil(60*time.Second, nodes, func(node string) bool { return c.tryCancel(j, node) })
}

// tryCancel sends one cancellation request for a job to a controller, and reports whether the response
// has status 200.
func (c *cluster) tryCancel(j *job, node string) bool {
	c.mu.Lock()
	if j.cancelRequestedAt.IsZero() {
		j.cancelRequestedAt = time.Now()
	}
	c.mu.Unlock()
	sentAt := time.Now()
	status, state := c.sendAndReadJobState(node, http.MethodPost, "/v2/runs/"+j.spec.ID+"/cancel", nil, 5*time.Second)
	c.checkResponse(j, status, state, sentAt)
	return status == http.StatusOK
}

// pollStatus sends a status request for a job to all controllers at the same time. It does not wait for the
// responses, which are checked as they arrive.
func (c *cluster) pollStatus(j *job) {
	for _, node := range c.nodeNames {
		c.userRequests.Go(func() {
			sentAt := time.Now()
			status, state := c.sendAndReadJobState(node, http.MethodGet, "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
			c.checkResponse(j, status, state, sentAt)
		})
	}
}

// generateLoad submits one job and polls all accepted jobs in each interval until the duration is over.
// It returns at once; the requests are sent by other goroutines.
func (c *cluster) generateLoad(duration, interval time.Duration, modifySpec func(*protocol.Spec)) {
	c.userRequests.Go(func() {
		for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(interval) {
			c.userRequests.Go(func() { c.submit(modifySpec) })
			for _, j := range c.acceptedJobs() {
				c.pollStatus(j)
			}
		}
	})
}

// acceptedJobs returns the accepted jobs, in the order in which they were accepted.
func (c *cluster) acceptedJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var accepted []*job
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			accepted = append(accepted, j)
		}
	}
	slices.SortFunc(accepted, func(a, b *job) int { return int(a.acceptedAt.Sub(b.acceptedAt)) })
	return accepted
}

// runningJobs returns the jobs that have a running task and no cancellation request, in the order in
// which they were accepted.
func (c *cluster) runningJobs() []*job {
	c.mu.Lock()
	running := map[string]bool{}
	for task := range c.runningTasks {
		running[jobIDOf(task)] = true
	}
	c.mu.Unlock()
	return slices.DeleteFunc(c.acceptedJobs(), func(j *job) bool {
		return !running[j.spec.ID] || !j.cancelRequestedAt.IsZero()
	})
}

// waitForRunningJobs waits until runningJobs returns at least n jobs, and returns the first n of them. It
// stops the test if this takes longer than 30 s.
func (c *cluster) waitForRunningJobs(n int) []*job {
	for range 60 {
		if jobs := c.runningJobs(); len(jobs) >= n {
			return jobs[:n:n]
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Fatalf("fewer than %d jobs were running after 30 s", n)
	return nil
}

// startJobs waits for a leader, submits the given number of jobs, and waits until at least as many tasks
// run. This takes a while because machines are rented for them first. modifySpec is passed to submit.
func (c *cluster) startJobs(jobs int, modifySpec func(*protocol.Spec)) {
	c.waitForLeader()
	for range jobs {
		c.submit(modifySpec)
	}
	for range 60 {
		time.Sleep(time.Second)
		c.mu.Lock()
		n := len(c.runningTasks)
		c.mu.Unlock()
		if n >= jobs {
			return
		}
	}
	c.t.Errorf("fewer than %d tasks were running one minute after the jobs were submitted", jobs)
}

// isWaitingWithinQuota reports whether a job is neither finished nor cancelled and runs no task, although
// its team's limit has room for one more of its tasks.
func (c *cluster) isWaitingWithinQuota(j *job) bool {
	if c.runningTaskCount(j) > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, team := range teams {
		if team.Name == j.spec.Team && c.usedCPUs(team.Name)+j.spec.CPUs > team.MaxCPUs {
			return false
		}
	}
	return j.finalState == "" && j.cancelRequestedAt.IsZero()
}

// awaitCompletion polls until all accepted jobs are in a final state. It is called at the end of a
// scenario, after the last fault has ended. It records a violation for each job that has no final state
// after four minutes, and for each job that waits for more than 90 s although its team's limit has room
// for it.
func (c *cluster) awaitCompletion() {
	deadline := time.Now().Add(4 * time.Minute)
	waitingSince := map[*job]time.Time{}
	for time.Now().Before(deadline) {
		c.checkWaitingTimes(waitingSince)
		if open := c.pollOpenJobs(); open == 0 {
			break
		}
		time.Sleep(3 * time.Second)
	}
	for _, j := range c.acceptedJobs() {
		c.pollStatus(j)
	}
	c.userRequests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() && j.finalState == "" {
			c.recordViolation("job %s has no final state 4 minutes after the last fault (cancellation requested: %v)",
				j.spec.ID, !j.cancelRequestedAt.IsZero())
		}
	}
}

// checkWaitingTimes checks that no job waits for more than 90 s while its team's limit has room for it.
// waitingSince keeps, from call to call, the time since which each job has been waiting.
func (c *cluster) checkWaitingTimes(waitingSince map[*job]time.Time) {
	for _, j := range c.acceptedJobs() {
		if !c.isWaitingWithinQuota(j) {
			delete(waitingSince, j)
		} else if waitingSince[j].IsZero() {
			waitingSince[j] = time.Now()
		} else if time.Since(waitingSince[j]) > 90*time.Second {
			c.mu.Lock()
			c.recordViolation("job %s has waited for more than 90 s within its team's limit", j.spec.ID)
			c.mu.Unlock()
			waitingSince[j] = time.Now()
		}
	}
}

// pollOpenJobs polls the accepted jobs without a final state, and returns how many there are.
func (c *cluster) pollOpenJobs() (open int) {
	for _, j := range c.acceptedJobs() {
		c.mu.Lock()
		over := j.finalState != ""
		c.mu.Unlock()
		if !over {
			open++
			c.pollStatus(j)
		}
	}
	return open
}

// cancelConcurrently cancels all given jobs at the same time, each in its own goroutine. It does not wait
// for the responses.
func (c *cluster) cancelConcurrently(jobs []*job) {
	for _, j := range jobs {
		c.userRequests.Go(func() { c.cancel(j) })
	}
}

// confirmedCancellations returns how many of the jobs were reported to their users as cancelled.
func (c *cluster) confirmedCancellations(jobs []*job) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmed := 0
	for _, j := range jobs {
		if j.finalState == protocol.JobCancelled {
			confirmed++
		}
	}
	return confirmed
}
