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

	"quillshunt/internal/config"
	"quillshunt/internal/protocol"
)

// longTasks changes a spec so that each task of the job runs for 150 s, which is longer than most
// scenarios take.
func longTasks(spec *protocol.Spec) { spec.EstimateS = 150 }

// expect fails the test unless ok. It checks the conditions that a scenario depends on, for example that
// a fault had its effect. condition is a format string that states the condition.
func (c *cluster) expect(ok bool, condition string, args ...any) {
	c.t.Helper()
	if !ok {
		c.t.Errorf("scenario condition does not hold: "+condition, args...)
	}
}

// scenario is a sequence of faults that overlap with user requests and with each other. run injects the
// faults, checks with expect that they had the intended effect, and ends all faults. The protocol rules
// are checked throughout the run; afterwards awaitCompletion checks that all jobs finish.
type scenario struct {
	name  string
	times *config.WorkerTimes // nil: defaultWorkerTimes
	run   func(c *cluster)
}

// workerTimes returns the times of the workers in the scenario.
func (s *scenario) workerTimes() config.WorkerTimes {
	if s.times != nil {
		return *s.times
	}
	return defaultWorkerTimes
}

// generalScenarios cover a cluster without faults, and unusual or invalid user requests.
var generalScenarios = []scenario{
	{
		name: "no faults",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			c.expect(c.cancel(c.waitForRunningJobs(1)[0]), "the cancellation of a running job succeeds")
			c.generateLoad(30*time.Second, 3*time.Second, nil)
			time.Sleep(35 * time.Second)
			c.expect(c.currentTerm() == 1, "the first term lasts until the end: term %d", c.currentTerm())
		},
	},
	{
		name: "users cancel finished jobs and send invalid requests, also in an outage of the state service",
		run: func(c *cluster) {
			c.startJobs(4, nil)
			time.Sleep(25 * time.Second)
			c.checkInvalidRequests()
			for _, j := range c.acceptedJobs() {
				c.pollStatus(j)
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

// checkInvalidRequests checks that invalid requests are rejected: submissions that lack a required field
// or have a value that cannot be satisfied, and a status request for a job that does not exist.
func (c *cluster) checkInvalidRequests() {
	valid := protocol.Spec{
		ID: "job-900000", Class: "x", Team: "red", Shape: "sweep", Priority: "low",
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 1,
	}
	submit := func(node string, body map[string]any) int {
		status, _ := c.sendAndReadJobState(node, http.MethodPost, "/v2/runs", protocol.Encode(body), 5*time.Second)
		return status
	}
	// In an outage of the state service a controller cannot know whether the job was accepted before, so
	// it may answer 503 instead.
	unknownInOutage := func(status int) bool {
		return c.state.IsUnavailable() && status == http.StatusServiceUnavailable
	}
	for field := range submissionBody(c.t, valid) {
		body := submissionBody(c.t, valid)
		delete(body, field)
		if status := submit(c.nodeNames[0], body); status != http.StatusBadRequest {
			c.t.Errorf("submission without %s: status %d, want %d", field, status, http.StatusBadRequest)
		}
	}
	for field, value := range map[string]any{"Vcpus": 99.0, "Crew": "nobody", "Yard": "z"} {
		body := submissionBody(c.t, valid)
		body[field] = value
		status := submit(c.nodeNames[1], body)
		if status != http.StatusUnprocessableEntity && !unknownInOutage(status) {
			c.t.Errorf("submission with %s %v: status %d, want %d",
				field, value, status, http.StatusUnprocessableEntity)
		}
	}
	status, _ := c.sendAndReadJobState(c.nodeNames[2], http.MethodGet, "/v2/runs/job-900000", nil, 2*time.Second)
	if status != http.StatusNotFound && !unknownInOutage(status) {
		c.t.Errorf("status request for an unknown job: status %d, want %d", status, http.StatusNotFound)
	}
}

// TestOverlappingFaults runs each scenario with a fixed seed, or with n random seeds if the environment
// variable QUILLSHUNT_RANDOM is set to n.
func TestOverlappingFaults(t *testing.T) {
	seeds := []uint64{1}
	if n, err := strconv.Atoi(os.Getenv("QUILLSHUNT_RANDOM")); err == nil {
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64()%1e6)
		}
	}
	scenarios := slices.Concat(
		generalScenarios, cancellationScenarios, failoverScenarios, stallScenarios, workerScenarios, gangScenarios)
	for _, sc := range scenarios {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", sc.name, seed), func(t *testing.T) {
				t.Parallel()
				runScenario(t, seed, sc.workerTimes(), func(c *cluster) {
					sc.run(c)
					c.awaitCompletion()
				})
			})
		}
	}
}
