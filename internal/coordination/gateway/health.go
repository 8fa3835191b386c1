package gateway

import (
	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
)

// health is 503 while we alone do not reach the state service: then users are better served by
// another node. In an outage for all it stays 200, as it would help nobody if all nodes were taken
// out; a node that hears of no other either cannot tell which it is.
func (g *Gateway) health() int {
	if g.Store.FailingFor() < limits.IsolatedAfter {
		g.isolated.Store(false)
		return 200
	}
	if g.checkingIsolation.CompareAndSwap(false, true) {
		go func() {
			defer g.checkingIsolation.Store(false)
			g.isolated.Store(g.Peers.FindConnected(g.ctx) != "")
			// Nobody may call while we are out of service, so look for ourselves whether it is over.
			_, _ = g.Store.Get(g.ctx, storage.KeyTerm)
		}()
	}
	if g.isolated.Load() {
		return 503
	}
	return 200
}
