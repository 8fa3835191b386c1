// Package gateway serves users and workers. It answers users from the state service, and hands
// workers' heartbeats to the leader or sends the workers there.
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
)

// Options are the settings and collaborators of a Gateway.
type Options struct {
	Node       string // name of this controller
	Settings   *config.Settings
	Store      *storage.Store // with the users' share of the rates
	Dispatcher *leader.Dispatcher
	Peers      *peer.Peers
	LeaderName func() string // returns the name of the leading controller, or "" if none is known
	UserSlots  int           // limit of users' requests in progress
	Log        *slog.Logger
}

// Gateway handles requests. Handle runs on the server's loop and never blocks; users' requests are
// worked on by a bounded number of goroutines.
type Gateway struct {
	node       string
	settings   *config.Settings
	store      *storage.Store
	dispatcher *leader.Dispatcher
	peers      *peer.Peers
	leaderName func() string
	log        *slog.Logger

	ctx context.Context // of all work for requests; set by Start, as Handle gets none

	userSlots    chan struct{} // bounds users' requests in progress
	machineTypes atomic.Pointer[[]protocol.MachineType]
	finalStates  *finalStateCache

	relaySlots             chan struct{} // bounds relayed heartbeats in progress
	leaderUnreachableUntil atomic.Int64  // until when heartbeats are not relayed, in Unix nanoseconds

	isolated          atomic.Bool // another controller reaches the state service and this one does not
	checkingIsolation atomic.Bool
}

// New returns a Gateway. Start must be called before it handles requests.
func New(o Options) *Gateway {
	return &Gateway{
		node:        o.Node,
		settings:    o.Settings,
		store:       o.Store,
		dispatcher:  o.Dispatcher,
		peers:       o.Peers,
		leaderName:  o.LeaderName,
		log:         o.Log,
		userSlots:   make(chan struct{}, o.UserSlots),
		relaySlots:  make(chan struct{}, limits.RelaySlots),
		finalStates: newFinalStateCache(),
	}
}

// Start begins to follow the machine types. All work of the gateway ends with the context.
func (g *Gateway) Start(ctx context.Context) {
	g.ctx = ctx
	go g.refreshMachineTypes(ctx)
}
