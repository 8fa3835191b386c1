package gateway

import (
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// handleHeartbeat hands a worker's heartbeat to the term of this process. Without one it relays the
// heartbeat to the leader or redirects the worker.
func (g *Gateway) handleHeartbeat(req *transport.Message, rsp *transport.Responder) {
	if g.dispatcher.IsLeader() {
		g.dispatcher.HandleHeartbeat(req.Body, sameConnection(rsp), func(status int, body []byte) {
			rsp.Respond(status, body, 0)
		})
		return
	}
	leader := g.leaderName()
	if leader == "" || leader == g.node || time.Now().UnixNano() < g.leaderUnreachableUntil.Load() {
		// This controller knows of no leader or cannot reach it either: the worker may try another one.
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

// relayHeartbeat sends a worker's heartbeat to the leader and the answer back. Mostly the answer
// redirects the worker to the leader; if the worker cannot get there, as when the network between
// its zone and the leader's is cut, the leader answers its heartbeats through this controller.
func (g *Gateway) relayHeartbeat(leader string, body []byte, rsp *transport.Responder) {
	defer func() { <-g.relaySlots }()
	status, answer, err := g.peers.RelayHeartbeat(g.ctx, leader, body, sameConnection(rsp))
	if err != nil {
		g.leaderUnreachableUntil.Store(time.Now().Add(limits.LeaderUnreachableBackoff).UnixNano())
		g.log.Debug("leader unreachable", "leader", leader, "err", err)
		redirectWorker(rsp, "")
		return
	}
	rsp.Respond(status, answer, 0)
}

// sameConnection reports whether the heartbeat before on the same connection was answered 200, so
// that the worker has got that answer.
func sameConnection(rsp *transport.Responder) bool { return rsp.PreviousStatus() == http.StatusOK }

// redirectWorker sends a worker to a controller, or with "" to any other one.
func redirectWorker(rsp *transport.Responder, leader string) {
	rsp.Respond(http.StatusMisdirectedRequest, protocol.Encode(protocol.Redirect{Leader: leader}), 0)
}
