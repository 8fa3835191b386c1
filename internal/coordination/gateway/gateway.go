// Package gateway is the front door: it sorts what arrives, answers users from the state service, and
// sends workers to the leader.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Gateway handles requests. Handle runs on the server's loop and never blocks; users' requests
// are worked on in a stage of bounded size.
type Gateway struct {
	Node       string
	Store      *storage.Store
	Dispatcher *leader.Dispatcher
	Peers      *peer.Peers
	Leader     func() string // name of the leading node, or ""
	Settings   *config.Settings
	UserSlots  int // most users' requests worked on at once
	Log        *slog.Logger

	ctx          context.Context
	userSlots    chan struct{}
	machineTypes atomic.Pointer[[]protocol.MachineType]
	finalStates  finalStateCache

	relaySlots             chan struct{}
	isolated               atomic.Bool // another node reaches the state service and we do not
	checkingIsolation      atomic.Bool
	leaderUnreachableUntil atomic.Int64 // until when the leader is taken to be out of our reach, in Unix nanoseconds
}

// Start prepares the gateway; its work ends with the context.
func (g *Gateway) Start(ctx context.Context) {
	g.ctx = ctx
	g.userSlots = make(chan struct{}, g.UserSlots)
	g.relaySlots = make(chan struct{}, limits.RelaySlots)
	g.finalStates.states = map[string]string{}
	go g.followMachineTypes(ctx)
}

// Handle takes a request.
func (g *Gateway) Handle(req *transport.Message, rsp *transport.Responder) {
	switch req.Path {
	case "/healthz":
		if req.Method != "GET" {
			rsp.Respond(405, nil, 0)
			return
		}
		rsp.Respond(g.health(), nil, 0)
	case "/v1/report":
		if req.Method != "POST" {
			rsp.Respond(405, nil, 0)
			return
		}
		if !rsp.ClaimMachineSlot() {
			rsp.Respond(503, nil, 0)
			return
		}
		g.handleHeartbeat(req, rsp)
	default:
		g.handleUser(req, rsp)
	}
}
