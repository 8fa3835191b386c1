package gateway

import (
	"net/http"

	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// healthStatus returns the HTTP status of the health check. It is 503 while this controller cannot reach
// the state service and another one can, so that users are served by that one. While no controller can
// reach the state service it stays 200, because taking all of them out of service would help nobody. It
// also stays 200 while this controller cannot reach the other controllers either, because it cannot tell
// the two cases apart then.
func (g *Gateway) healthStatus() int {
	if g.store.FailingFor() < limits.IsolatedAfter {
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

// checkIsolation finds out whether another controller can reach the state service, and sets isolated.
func (g *Gateway) checkIsolation() {
	defer g.checkingIsolation.Store(false)
	g.isolated.Store(g.peers.FindConnected(g.ctx) != "")
	// While this controller is out of service it may get no user requests, and so make no calls that
	// would show that it can reach the state service again. This call makes up for them.
	_, _ = g.store.Get(g.ctx, storage.KeyTerm)
}
