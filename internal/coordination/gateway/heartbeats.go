package gateway

import (
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// handleHeartbeat hands a worker's report to the leader here, or sends the worker to where the
// leader is.
func (g *Gateway) handleHeartbeat(req *transport.Message, rsp *transport.Responder) {
	if !g.Dispatcher.IsLeader() {
		name := g.Leader()
		if name == g.Node {
			name = ""
		}
		if name == "" || time.Now().UnixNano() < g.leaderUnreachableUntil.Load() {
			// We know of no leader or cannot reach it either, so the worker may try another node.
			redirect(rsp, "")
			return
		}
		select {
		case g.relaySlots <- struct{}{}:
			go g.relayHeartbeat(name, req.Body, rsp)
		default:
			redirect(rsp, name)
		}
		return
	}
	g.Dispatcher.Heartbeat(req.Body, rsp.PreviousStatus() == 200, func(status int, body []byte) { rsp.Respond(status, body, 0) })
}

// relayHeartbeat asks the leader about a worker that came here. Mostly the leader wants it to come
// itself; if it cannot, as when the network between its zone and the leader's is cut, the leader
// answers its reports through us.
func (g *Gateway) relayHeartbeat(name string, body []byte, rsp *transport.Responder) {
	defer func() { <-g.relaySlots }()
	status, answer, err := g.Peers.RelayHeartbeat(g.ctx, name, body, rsp.PreviousStatus() == 200)
	if err != nil {
		g.leaderUnreachableUntil.Store(time.Now().Add(limits.LeaderUnreachableBackoff).UnixNano())
		g.Log.Debug("leader not reached", "leader", name, "err", err)
		redirect(rsp, "")
		return
	}
	rsp.Respond(status, answer, 0)
}

// redirect sends a worker to a node, or with no name to the next one.
func redirect(rsp *transport.Responder, name string) {
	rsp.Respond(421, protocol.Encode(protocol.Redirect{Leader: name}), 0)
}
