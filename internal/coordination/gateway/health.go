package gateway

import (
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// answerHealthCheck answers a health check of the load balancer.
func (g *Gateway) answerHealthCheck(rsp *transport.Responder) {
	status := g.healthStatus()
	g.checks.record(status, time.Now())
	g.metrics.CountHealthCheck(status)
	rsp.Respond(status, nil, 0)
}

// healthStatus returns the HTTP status of the health check. It is 503 while this controller cannot reach
// the state service and another one can, so that users are served by that one. While no controller can
// reach the state service it stays 200, because taking all of them out of service would not help any user.
// It also stays 200 while this controller cannot reach the other controllers either, because it cannot
// distinguish the two cases then.
func (g *Gateway) healthStatus() int {
	if g.store.FailingFor() < limits.IsolationThreshold {
		g.isolated.Store(false)
		return http.StatusOK
	}
	if g.checkingIsolation.CompareAndSwap(false, true) {
		go g.checkIsolation()
	}
	if g.isolated.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// checkIsolation asks the other controllers whether they can reach the state service, and sets isolated.
func (g *Gateway) checkIsolation() {
	defer g.checkingIsolation.Store(false)
	g.isolated.Store(g.peers.FindCandidate(g.ctx) != "")
	// While its health check fails, this controller may receive no user requests, and then no other call
	// would show that it can reach the state service again.
	_, _ = g.store.Get(g.ctx, storage.KeyTerm)
}
