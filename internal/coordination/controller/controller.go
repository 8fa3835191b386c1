// Package controller puts the parts of one controller together: the gateway for users and workers,
// the election, the term of the leader, and the calls between controllers.
package controller

import (
	"context"
	"log/slog"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/gateway"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Controller is one controller of a deployment.
type Controller struct {
	settings *config.Settings
	log      *slog.Logger

	store      *storage.Store
	peers      *peer.Peers
	dispatcher *leader.Dispatcher
	elector    *election.Elector

	gateway      *gateway.Gateway
	clientServer *transport.Server // for users and workers
	peerServer   *peer.Server      // for the other controllers
}

// New puts a controller together; it starts nothing. A nil dialer dials TCP. It returns an error if
// the address of another controller is malformed.
func New(s *config.Settings, options config.Options, dialer transport.Dialer, log *slog.Logger) (*Controller, error) {
	shares := limits.DivideSockets(s.Facts.Machine.MaxSockets, len(s.Members))
	sockets := transport.NewSocketBudget(shares.MaxConns, shares.InboundHeadroom)

	// The services around the controller.
	store := storage.New(s.External.State, s.Facts.State).WithDialer(dialer)
	cloud := leader.NewCloudClient(s.External.Cloud, s.Facts.Cloud.RPS, dialer)
	peers, err := peer.NewPeers(s.Members, dialer)
	if err != nil {
		return nil, err
	}

	// The leader's term, and the election that starts and ends it.
	dispatcher := leader.NewDispatcher(leader.DispatcherOptions{
		Settings: s,
		Options:  options,
		Store:    store,
		Cloud:    cloud,
		Sockets:  sockets,
		Dialer:   dialer,
		Log:      log,
	})
	elector := election.New(election.Options{
		Node:          s.NodeName,
		Store:         store,
		Peers:         peers,
		LeaseDuration: time.Duration(options.Leadership.LeaderLease),
		VoteLease:     limits.VoteLease(limits.Seconds(s.Facts.Workers.LeaseS)),
		RunTerm:       dispatcher.RunTerm,
		Log:           log,
	})
	dispatcher.OnTermLost(elector.ReportTermLost)

	c := &Controller{settings: s, log: log, store: store, peers: peers, dispatcher: dispatcher, elector: elector}
	c.gateway = c.newGateway(shares)
	c.clientServer = c.newClientServer(shares, sockets)
	c.peerServer = peer.NewServer(dispatcher, elector, peers)
	return c, nil
}

// newGateway returns the handler of users' and workers' requests.
func (c *Controller) newGateway(shares limits.SocketShares) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Node:       c.settings.NodeName,
		Settings:   c.settings,
		Store:      c.store.ForUsers(),
		Dispatcher: c.dispatcher,
		Peers:      c.peers,
		LeaderName: c.elector.Leader,
		UserSlots:  shares.UserSlots,
		Log:        c.log,
	})
}

// newClientServer returns the server for users and workers, which the gateway handles.
func (c *Controller) newClientServer(shares limits.SocketShares, sockets *transport.SocketBudget) *transport.Server {
	return transport.NewServer(transport.ServerOptions{
		Addr:        c.settings.ClientListen,
		MaxConns:    shares.MaxInboundConns,
		MaxMachines: shares.MaxMachineConns,
		MachineIdle: limits.Seconds(c.settings.Facts.Workers.LeaseS),
		Sockets:     sockets,
		Handle:      c.gateway.Handle,
		Log:         c.log,
	})
}

// start begins to take part in elections and prepares the gateway, until the context ends. It does
// not wait for that.
func (c *Controller) start(ctx context.Context) {
	c.gateway.Start(ctx)
	go c.elector.Run(ctx)
}

// Run starts the controller and serves until the context ends or a server fails for good; it returns
// that server's error. It is called once, and the process ends after it: the parts that still run
// are not waited for, as whatever they did last is safe to be cut short.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.start(ctx)
	ended := make(chan error, 2)
	go func() { ended <- c.peerServer.Run(ctx, c.settings.PeerBind) }()
	go func() { ended <- c.clientServer.Run(ctx) }()
	return <-ended
}
