package controller

import (
	"net/http"
	"time"

	"quillshunt/internal/standin"
	"quillshunt/internal/transport"
)

// cloudFault returns the HTTP status with which the cloud rejects a request, or 0 if the cloud executes
// it. The stand-in of the cloud calls it for each request.
func (c *cluster) cloudFault(request *transport.Message) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deletionsFail && request.Path == "/rentals/delete" {
		return http.StatusServiceUnavailable
	}
	if c.rentalsFail && request.Path == "/rentals" && request.Method == http.MethodPost {
		return http.StatusServiceUnavailable
	}
	return 0
}

// setDeletionsFail sets whether the cloud rejects requests to delete machines.
func (c *cluster) setDeletionsFail(fail bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deletionsFail = fail
}

// setWorkerLinks sets the state of the links between all controllers and some machines: toMachine for
// packets from controllers to machines, fromMachine for the other direction.
func (c *cluster) setWorkerLinks(machines []string, toMachine, fromMachine standin.LinkState) {
	for _, machine := range machines {
		for _, node := range c.nodeNames {
			c.network.SetLink(node, machine, toMachine)
			c.network.SetLink(machine, node, fromMachine)
		}
	}
}

// setPeerLinks sets the state of the links between a controller and all other controllers, in both
// directions.
func (c *cluster) setPeerLinks(node string, state standin.LinkState) {
	for _, other := range c.nodeNames {
		if other != node {
			c.network.SetLinkBothWays(other, node, state)
		}
	}
}

// causeStateServiceOutage makes the state service unavailable to all callers, and returns when the outage is
// over.
func (c *cluster) causeStateServiceOutage(duration time.Duration) {
	c.state.SetUnavailable(true)
	time.Sleep(duration)
	c.state.SetUnavailable(false)
}
