package gateway

import (
	"net/http"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// health returns 503 while this controller alone does not reach the state service, as users are then
// better served by another one. In an outage for all it stays 200: nobody would be served better if
// all controllers were taken out of service. A controller that reaches no other one either cannot
// distinguish the two cases.
func (g *Gateway) health() int {
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

// checkIsolation asks the other controllers whether they reach the state service.
func (g *Gateway) checkIsolation() {
	defer g.checkingIsolation.Store(false)
	g.isolated.Store(g.peers.FindConnected(g.ctx) != "")
	// Out of service this controller may get no requests whose calls would show that the state service
	// is back, so make one.
	_, _ = g.store.Get(g.ctx, storage.KeyTerm)
}
