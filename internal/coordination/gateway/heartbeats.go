package gateway

import (
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// handleHeartbeat passes a worker's heartbeat to the scheduler if this process leads. Otherwise it relays
// the heartbeat to the leader, or redirects the worker if the heartbeat cannot be relayed now.
func (g *Gateway) handleHeartbeat(req *transport.Message, rsp *transport.Responder) {
	if g.dispatcher.IsLeader() {
		g.dispatcher.HandleHeartbeat(req.Body, isSameConnection(rsp), func(status int, body []byte) {
			rsp.Respond(status, body, 0)
		})
		return
	}
	leader := g.leaderName()
	if leader == "" || leader == g.node || time.Now().UnixNano() < g.leaderUnreachableUntil.Load() {
		// There is no controller to relay to: no leader is known, this controller is named as the leader
		// but runs no term, or the leader could not be reached a moment ago. The worker may try another
		// controller.
		redirectWorker(rsp, "")
		return
	}
	select {
	case g.relaySlots <- struct{}{}:
		go g.relayHeartbeat(leader, req.Body, rsp)
	default:
		redirectWorker(rsp, leader)
	}
}

// relayHeartbeat relays a worker's heartbeat to the leader, and the leader's reply to the worker. Usually
// the reply redirects the worker to the leader. If the worker cannot reach the leader, for example during
// a network partition between their zones, the leader accepts the relayed heartbeats.
func (g *Gateway) relayHeartbeat(leader string, body []byte, rsp *transport.Responder) {
	defer func() { <-g.relaySlots }()
	status, reply, err := g.peers.RelayHeartbeat(g.ctx, leader, body, isSameConnection(rsp))
	if err != nil {
		g.leaderUnreachableUntil.Store(time.Now().Add(limits.LeaderUnreachableBackoff).UnixNano())
		g.log.Debug("failed to relay heartbeat; worker redirected", "leader", leader, "err", err)
		redirectWorker(rsp, "")
		return
	}
	rsp.Respond(status, reply, 0)
}

// isSameConnection reports whether the previous heartbeat on the same connection was answered with 200. As
// the worker has sent another heartbeat on this connection, it has received the reply to the previous one.
func isSameConnection(rsp *transport.Responder) bool { return rsp.PreviousStatus() == http.StatusOK }

// redirectWorker instructs a worker to send its heartbeats to the leader, or to any other controller if no
// leader is given.
func redirectWorker(rsp *transport.Responder, leader string) {
	rsp.Respond(http.StatusMisdirectedRequest, protocol.Encode(protocol.Redirect{Leader: leader}), 0)
}
