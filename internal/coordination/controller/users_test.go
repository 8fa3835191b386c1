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

// job is what a user knows of a job. The times are zero before the event.
type job struct {
	spec              protocol.Spec
	acceptedAt        time.Time
	cancelRequestedAt time.Time         // of the first request
	cancelConfirmedAt time.Time         // when the user was told that it is cancelled
	finalState        protocol.JobState // first final state that the user was told
}

// mustBeGone reports whether no task of the job may run any more, as its user was told so long ago
// that it is cancelled.
func (j *job) mustBeGone() bool {
	return !j.cancelConfirmedAt.IsZero() && time.Since(j.cancelConfirmedAt) > limits.Seconds(cancelS)
}

// jobSpec returns the spec of a job, if there is one, for the stand-in of the workers.
func (c *cluster) jobSpec(id string) (protocol.Spec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return protocol.Spec{}, false
	}
	return j.spec, true
}

// request makes one user's request at a controller, over a connection of its own.
func (c *cluster) request(
	node, method, target string, body []byte, limit time.Duration,
) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	client := transport.NewClient(node+":8080", 0, limits.MaxBodyBytes).WithDialer(c.network.Dialer("users"))
	return client.Do(ctx, method, target, body)
}

// call makes one user's request at a controller, and returns the status and the job's state in the
// answer. Status 0 is no answer.
func (c *cluster) call(
	node, method, target string, body []byte, limit time.Duration,
) (status int, state protocol.JobState) {
	m, err := c.request(node, method, target, body, limit)
	if err != nil {
		return 0, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var answer protocol.JobStatus
	if m.Status < 300 && len(m.Body) > 0 {
		if err := protocol.Decode(m.Body, &answer); err != nil {
			c.violation("%s %s: %v", method, target, err)
		}
	}
	return m.Status, answer.State
}

// turnsAway reports whether a controller refuses a request and closes the connection, so that the
// user's next try comes to another.
func (c *cluster) turnsAway(node string, j *job) bool {
	m, err := c.request(node, http.MethodGet, "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
	return err == nil && m.Status == http.StatusServiceUnavailable && m.RetryAfter > 0 && m.Close
}

// submit submits a job, which change may alter, and retries until it is accepted, as a user does.
func (c *cluster) submit(change func(*protocol.Spec)) *job {
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
	if change != nil {
		change(&j.spec)
	}
	c.jobs[j.spec.ID] = j
	c.mu.Unlock()
	body := protocol.Encode(submissionBody(c.t, j.spec))
	c.retryUntil(60*time.Second, c.nodeNames, func(node string) bool {
		sentAt := time.Now()
		status, state := c.call(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
		c.checkAnswer(j, status, state, sentAt)
		return status == http.StatusOK || status == http.StatusCreated
	})
	return j
}

// submissionBody returns a job as a user sends it, without the optional fields that are not set.
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

// retryUntil tries at one healthy controller after the other, as a load balancer spreads a user's
// requests, until a try succeeds. It reports false once the limit is over.
func (c *cluster) retryUntil(limit time.Duration, nodes []string, try func(node string) bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		c.mu.Lock()
		node := nodes[c.random.IntN(len(nodes))]
		c.mu.Unlock()
		status, _ := c.call(node, http.MethodGet, "/healthz", nil, time.Second)
		if status == http.StatusOK && try(node) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancel cancels a job at the controllers named, or at all of them, and retries until the user gets
// an answer. It reports whether that came.
func (c *cluster) cancel(j *job, nodes ...string) bool {
	if len(nodes) == 0 {
		nodes = c.nodeNames
	}
	return c.retryUntil(60*time.Second, nodes, func(node string) bool { return c.tryCancel(j, node) })
}

// tryCancel asks one controller once to cancel a job, and reports whether its user got an answer.
func (c *cluster) tryCancel(j *job, node string) bool {
	c.mu.Lock()
	if j.cancelRequestedAt.IsZero() {
		j.cancelRequestedAt = time.Now()
	}
	c.mu.Unlock()
	sentAt := time.Now()
	status, state := c.call(node, http.MethodPost, "/v2/runs/"+j.spec.ID+"/cancel", nil, 5*time.Second)
	c.checkAnswer(j, status, state, sentAt)
	return status == http.StatusOK
}

// poll asks all controllers at the same moment about a job. It does not wait for the answers.
func (c *cluster) poll(j *job) {
	for _, node := range c.nodeNames {
		c.users.Go(func() {
			sentAt := time.Now()
			status, state := c.call(node, http.MethodGet, "/v2/runs/"+j.spec.ID, nil, 2*time.Second)
			c.checkAnswer(j, status, state, sentAt)
		})
	}
}

// generateLoad submits a job and polls all jobs, again and again until the time is over. It does not
// wait for that.
func (c *cluster) generateLoad(d, interval time.Duration, change func(*protocol.Spec)) {
	c.users.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
			c.users.Go(func() { c.submit(change) })
			for _, j := range c.acceptedJobs() {
				c.poll(j)
			}
		}
	})
}

// acceptedJobs returns the jobs that were accepted, in that order.
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

// runningJobs returns the jobs of which a task runs and that nobody asked to cancel, in the order in
// which they were accepted.
func (c *cluster) runningJobs() []*job {
	c.mu.Lock()
	running := map[string]bool{}
	for task := range c.runningTasks {
		running[jobOf(task)] = true
	}
	c.mu.Unlock()
	return slices.DeleteFunc(c.acceptedJobs(), func(j *job) bool {
		return !running[j.spec.ID] || !j.cancelRequestedAt.IsZero()
	})
}

// waitForRunningJobs waits until n jobs run, and returns the first n.
func (c *cluster) waitForRunningJobs(n int) []*job {
	for range 60 {
		if jobs := c.runningJobs(); len(jobs) >= n {
			return jobs[:n:n]
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Fatalf("fewer than %d jobs run", n)
	return nil
}

// warmUp submits jobs and waits until as many tasks run, on machines that were rented for them.
func (c *cluster) warmUp(jobs int, change func(*protocol.Spec)) {
	c.waitForLeader()
	for range jobs {
		c.submit(change)
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
	c.t.Error("the fleet does not come up")
}

// waitsWithinQuota reports whether a job that is not over has no task on a machine although its team
// is below its limit.
func (c *cluster) waitsWithinQuota(j *job) bool {
	if c.tasksOnMachines(j) > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, team := range teams {
		if team.Name == j.spec.Team && c.usedCPUs(team.Name)+j.spec.CPUs > team.CPUsMax {
			return false
		}
	}
	return j.finalState == "" && j.cancelRequestedAt.IsZero()
}

// awaitCompletion ends a scenario, with all faults over. Every job that was not cancelled is done and
// its user is told so, and the cancelled ones stay cancelled. No job that could run waits for long.
func (c *cluster) awaitCompletion() {
	deadline := time.Now().Add(4 * time.Minute)
	waitingSince := map[*job]time.Time{}
	for time.Now().Before(deadline) {
		c.checkWaiting(waitingSince)
		if open := c.pollOpenJobs(); open == 0 {
			break
		}
		time.Sleep(3 * time.Second)
	}
	for _, j := range c.acceptedJobs() {
		c.poll(j)
	}
	c.users.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() && j.finalState == "" {
			c.violation("%s is not over four minutes after the last fault (cancellation requested: %v)",
				j.spec.ID, !j.cancelRequestedAt.IsZero())
		}
	}
}

// checkWaiting checks that no job that could run waits for 90 s, and keeps since when each waits.
func (c *cluster) checkWaiting(since map[*job]time.Time) {
	for _, j := range c.acceptedJobs() {
		if !c.waitsWithinQuota(j) {
			delete(since, j)
		} else if since[j].IsZero() {
			since[j] = time.Now()
		} else if time.Since(since[j]) > 90*time.Second {
			c.mu.Lock()
			c.violation("%s waits for 90 s", j.spec.ID)
			c.mu.Unlock()
			since[j] = time.Now()
		}
	}
}

// pollOpenJobs polls the jobs that are not over, and returns how many there are.
func (c *cluster) pollOpenJobs() (open int) {
	for _, j := range c.acceptedJobs() {
		c.mu.Lock()
		over := j.finalState != ""
		c.mu.Unlock()
		if !over {
			open++
			c.poll(j)
		}
	}
	return open
}

// cancelConcurrently cancels jobs at the same moment, each by a user of its own. It does not wait for
// the answers.
func (c *cluster) cancelConcurrently(jobs []*job) {
	for _, j := range jobs {
		c.users.Go(func() { c.cancel(j) })
	}
}

// confirmedCancellations returns for how many of the jobs the user was told that it is cancelled.
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
