// Package controller assembles one controller process: the gateway for users and workers, leader
// election, the scheduler that runs while this process leads, and the server for other controllers.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/gateway"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Controller is one controller process of a deployment. It serves users and workers, takes part in
// leader election, and runs the scheduler while it is the leader.
type Controller struct {
	settings *config.Settings
	options  config.Options
	metrics  *metrics.Metrics
	log      *slog.Logger

	store      *storage.Store
	peers      *peer.Peers
	dispatcher *leader.Dispatcher
	elector    *election.Elector

	gateway      *gateway.Gateway
	clientServer *transport.Server // for users and workers
	peerServer   *peer.Server      // for the other controllers
}

// New assembles a controller without starting it. If dialer is nil, connections are made over TCP.
// New returns an error if the address of another controller is malformed.
func New(s *config.Settings, options config.Options, dialer transport.Dialer, log *slog.Logger) (*Controller, error) {
	shares := limits.DivideSockets(s.Deployment.MachineLimits.MaxSockets, len(s.Members))
	sockets := transport.NewSocketBudget(shares.MaxConns, shares.InboundHeadroom)

	// Clients of the state service, the cloud and the other controllers.
	counters := metrics.New()
	store := storage.New(s.External.State, s.Deployment.State).WithDialer(dialer).WithMetrics(counters)
	cloud := leader.NewCloudClient(s.External.Cloud, s.Deployment.Cloud.RPS, dialer)
	peers, err := peer.NewPeers(s.Members, dialer)
	if err != nil {
		return nil, err
	}

	// The dispatcher runs the scheduler during a term of leadership; the elector starts and ends terms.
	dispatcher := leader.NewDispatcher(leader.DispatcherOptions{
		Settings: s,
		Options:  options,
		Store:    store,
		Cloud:    cloud,
		Sockets:  sockets,
		Dialer:   dialer,
		Metrics:  counters,
		Log:      log,
	})
	c := &Controller{
		settings: s, options: options, metrics: counters, log: log,
		store: store, peers: peers, dispatcher: dispatcher,
	}
	c.elector = election.New(election.Options{
		Node:           s.NodeName,
		Store:          store,
		Peers:          peers,
		LeaseDuration:  time.Duration(options.Leadership.LeaderLease),
		VoteLease:      limits.VoteLease(limits.Seconds(s.Deployment.Workers.LeaseS)),
		RunTerm:        dispatcher.RunTerm,
		ClientsStalled: func() bool { return c.stalledFor() > 0 },
		Log:            log,
	})
	dispatcher.OnTermLost(c.elector.ReportTermLost)

	c.gateway = c.newGateway(shares)
	c.clientServer = c.newClientServer(shares, sockets)
	c.peerServer = peer.NewServer(dispatcher, c.elector, peers, c.stalledFor)
	return c, nil
}

// newGateway returns the gateway that handles the requests of users and workers.
func (c *Controller) newGateway(shares limits.SocketShares) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Node:       c.settings.NodeName,
		Settings:   c.settings,
		Store:      c.store.ForUserRequests(),
		Reader:     c.store.NewBatchReader(len(c.settings.Members) + 1),
		Dispatcher: c.dispatcher,
		Peers:      c.peers,
		LeaderName: c.elector.Leader,
		UserSlots:  shares.UserSlots,
		PollSlots:  shares.MaxInboundConns, // each connection has at most one request in progress
		Activity:   func() transport.Activity { return c.clientServer.TakeActivity() },
		Metrics:    c.metrics,
		Log:        c.log,
	})
}

// newClientServer returns the server that users and workers connect to. The gateway handles its requests.
func (c *Controller) newClientServer(shares limits.SocketShares, sockets *transport.SocketBudget) *transport.Server {
	return transport.NewServer(transport.ServerOptions{
		Addr:               c.settings.ClientListen,
		MaxConns:           shares.MaxInboundConns,
		MaxMachineConns:    shares.MaxMachineConns,
		MachineIdleTimeout: limits.Seconds(c.settings.Deployment.Workers.LeaseS),
		Sockets:            sockets,
		Handle:             c.gateway.Handle,
		Log:                c.log,
	})
}

// stalledFor returns for how long this process has answered no requests of clients: nobody's if the event loop does
// not run, or those of all workers if it leads and the scheduler does not go on. It is 0 if both go on.
func (c *Controller) stalledFor() time.Duration {
	return max(c.clientServer.LoopStalledFor(), c.dispatcher.StalledFor())
}

// start starts the gateway's background work and the elector. It returns at once; both run until the
// context ends. Before that, an error of the elector is sent to failed, after which the process must end.
func (c *Controller) start(ctx context.Context, failed chan<- error) {
	c.gateway.Start(ctx)
	go func() {
		if err := c.elector.Run(ctx); err != nil {
			failed <- fmt.Errorf("take part in elections: %w", err)
		}
	}()
}

// Run starts the controller and serves requests until the context ends, a server fails permanently, or a term of
// this controller does not end. It returns the result of what stopped first. Run must be called only once, and the
// process should exit when it returns. Run does not wait for goroutines that are still running, because
// all of their work can be interrupted safely at any point.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 4)
	c.start(ctx, results)
	if addr := c.options.Metrics.Listen; addr != "" {
		go func() { results <- c.metrics.Run(ctx, addr) }()
	}
	go func() { results <- c.peerServer.Run(ctx, c.settings.PeerBind) }()
	go func() { results <- c.clientServer.Run(ctx) }()
	return <-results
}
