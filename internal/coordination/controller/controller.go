// Package controller puts the parts of one controller together.
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

// Controller is one controller: what it serves to users and workers, and to the other controllers.
type Controller struct {
	Clients *transport.Server
	Peers   *peer.Server

	settings *config.Settings
	leader   *leader.Dispatcher
	peers    *peer.Peers
	elector  *election.Elector
	gateway  *gateway.Gateway
}

// New puts a controller together. A nil dialer dials TCP.
func New(s *config.Settings, options config.Options, dialer transport.Dialer, log *slog.Logger) (*Controller, error) {
	shares := limits.DivideSockets(s.Facts.Machine.MaxSockets, len(s.Members))
	sockets := transport.NewSocketBudget(shares.Total, shares.Headroom)
	store := storage.New(s.External.State, s.Facts.State).WithDialer(dialer)
	dispatcher := leader.NewDispatcher(leader.DispatcherConfig{
		Settings: s,
		Options:  options,
		Store:    store,
		Cloud:    leader.NewCloud(s.External.Cloud, s.Facts.Cloud.RPS, dialer),
		Sockets:  sockets,
		Dialer:   dialer,
		Log:      log,
	})
	peers, err := peer.Dial(s.Members, dialer)
	if err != nil {
		return nil, err
	}
	elector := election.New(election.Options{
		Node:          s.NodeName,
		Store:         store,
		Peers:         peers,
		LeaseDuration: time.Duration(options.Leadership.LeaderLease),
		VoteLease:     limits.VoteLease(limits.Seconds(s.Facts.Workers.LeaseS)),
		Lead:          dispatcher.RunTerm,
		Log:           log,
	})
	dispatcher.OnTermLost(elector.TermLost)
	front := &gateway.Gateway{Node: s.NodeName, Store: store.ForUsers(), Dispatcher: dispatcher, Peers: peers, Leader: elector.Leader, Settings: s, UserSlots: shares.UserSlots, Log: log}
	return &Controller{
		Clients: transport.NewServer(transport.ServerOptions{
			Addr:        s.ClientListen,
			MaxConns:    shares.Inbound,
			MaxMachines: shares.MachineConns,
			MachineIdle: limits.Seconds(s.Facts.Workers.LeaseS),
			Sockets:     sockets,
			Handle:      front.Handle,
			Log:         log,
		}),
		Peers:    peer.NewServer(dispatcher, elector, peers),
		settings: s,
		leader:   dispatcher,
		peers:    peers,
		elector:  elector,
		gateway:  front,
	}, nil
}

// Start begins to take part in elections and to prepare answers, until the context ends.
func (c *Controller) Start(ctx context.Context) {
	c.gateway.Start(ctx)
	go c.elector.Run(ctx)
}

// Run starts the controller and serves until a part of it fails for good or the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.Start(ctx)
	failed := make(chan error, 2)
	go func() { failed <- c.Peers.Run(ctx, c.settings.PeerBind) }()
	go func() { failed <- c.Clients.Run(ctx) }()
	return <-failed
}

// Entitled tells whether this controller is surely the leader at this moment.
func (c *Controller) Entitled() bool { return c.leader.Entitled() }

// Close hangs up on the other controllers.
func (c *Controller) Close() { c.peers.Close() }
