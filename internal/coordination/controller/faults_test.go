package controller

import (
	"net/http"
	"time"

	"quillshunt/internal/standin"
	"quillshunt/internal/transport"
)

// cloudFault returns the cloud's status in place of an answer, or 0 for an ordinary answer.
func (c *cluster) cloudFault(request *transport.Message) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deletionsFail && request.Path == "/rentals/delete" {
		return http.StatusServiceUnavailable
	}
	return 0
}

// setDeletionsFail makes the cloud refuse to delete machines, or ends that.
func (c *cluster) setDeletionsFail(fail bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deletionsFail = fail
}

// setWorkerLinks sets the links between all controllers and some machines, in each direction.
func (c *cluster) setWorkerLinks(machines []string, toMachine, fromMachine standin.LinkState) {
	for _, machine := range machines {
		for _, node := range c.nodeNames {
			c.network.SetLink(node, machine, toMachine)
			c.network.SetLink(machine, node, fromMachine)
		}
	}
}

// setPeerLinks sets the links between a controller and all others, in both directions.
func (c *cluster) setPeerLinks(node string, state standin.LinkState) {
	for _, other := range c.nodeNames {
		if other != node {
			c.network.SetLinkBothWays(other, node, state)
		}
	}
}

// stateServiceOutage makes the state service unavailable to everybody for a while.
func (c *cluster) stateServiceOutage(duration time.Duration) {
	c.state.SetUnavailable(true)
	time.Sleep(duration)
	c.state.SetUnavailable(false)
}
