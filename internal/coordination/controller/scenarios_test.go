package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"quillshunt/internal/protocol"
)

// longTasks makes the tasks of a job long enough to run through most scenarios.
func longTasks(spec *protocol.Spec) { spec.EstimateS = 150 }

// expect fails a scenario that did not reach the situation it is there for.
func (c *cluster) expect(ok bool, what string, args ...any) {
	c.t.Helper()
	if !ok {
		c.t.Errorf("the scenario did not reach its situation: "+what, args...)
	}
}

// scenario injects faults that overlap. It checks that they did, and ends all of them. The rules are
// checked all the while, and the end by awaitCompletion.
type scenario struct {
	name string
	run  func(c *cluster)
}

// generalScenarios are an undisturbed cluster, and what users may send.
var generalScenarios = []scenario{
	{
		name: "no faults",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			c.expect(c.cancel(c.waitForRunningJobs(1)[0]), "a cancellation")
			c.generateLoad(30*time.Second, 3*time.Second, nil)
			time.Sleep(35 * time.Second)
			c.expect(c.currentTerm() == 1, "one term only")
		},
	},
	{
		name: "users repeat submissions, cancel what is done, and send invalid jobs, also in an outage",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			time.Sleep(25 * time.Second)
			c.checkInvalidRequests()
			for _, j := range c.acceptedJobs() {
				c.poll(j)
			}
			time.Sleep(time.Second)
			for _, j := range c.acceptedJobs() {
				c.cancel(j)
			}
			c.state.SetUnavailable(true)
			time.Sleep(2 * time.Second)
			c.checkInvalidRequests()
			c.state.SetUnavailable(false)
		},
	},
}

// checkInvalidRequests sends submissions without a field or with an impossible one, and asks about a
// job that does not exist.
func (c *cluster) checkInvalidRequests() {
	valid := protocol.Spec{
		ID: "job-900000", Class: "x", Team: "red", Shape: "sweep", Priority: "low",
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 1,
	}
	submit := func(node string, body map[string]any) int {
		status, _ := c.requestStatus(node, http.MethodPost, "/v2/runs", protocol.Encode(body), 5*time.Second)
		return status
	}
	// Whether a job was accepted before cannot be known in an outage.
	unknownInOutage := func(status int) bool {
		return c.state.Unavailable() && status == http.StatusServiceUnavailable
	}
	for field := range submissionBody(c.t, valid) {
		body := submissionBody(c.t, valid)
		delete(body, field)
		if status := submit(c.nodeNames[0], body); status != http.StatusBadRequest {
			c.t.Errorf("without %s: %d", field, status)
		}
	}
	for field, value := range map[string]any{"Vcpus": 99.0, "Crew": "nobody", "Yard": "z"} {
		body := submissionBody(c.t, valid)
		body[field] = value
		status := submit(c.nodeNames[1], body)
		if status != http.StatusUnprocessableEntity && !unknownInOutage(status) {
			c.t.Errorf("%s %v: %d", field, value, status)
		}
	}
	status, _ := c.requestStatus(c.nodeNames[2], http.MethodGet, "/v2/runs/job-900000", nil, 2*time.Second)
	if status != http.StatusNotFound && !unknownInOutage(status) {
		c.t.Errorf("a job that nobody submitted: %d", status)
	}
}

// TestOverlappingFaults runs each scenario with a fixed seed, or with n random seeds if
// QUILLSHUNT_RANDOM=n is set.
func TestOverlappingFaults(t *testing.T) {
	seeds := []uint64{1}
	if n, err := strconv.Atoi(os.Getenv("QUILLSHUNT_RANDOM")); err == nil {
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64()%1e6)
		}
	}
	scenarios := slices.Concat(
		generalScenarios, cancellationScenarios, failoverScenarios, workerScenarios, gangScenarios)
	for _, sc := range scenarios {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", sc.name, seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, seed, func(c *cluster) {
					sc.run(c)
					c.awaitCompletion()
				})
			})
		}
	}
}
