package main

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	// The program is linked against the system's C library, which package net brings in by its resolver.
	_ "net"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/election"
	"quillshunt/internal/coordination/gateway"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/limits"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// serve runs a controller until a part of it fails for good or the context ends.
func serve(ctx context.Context, s *config.Settings, options config.Options, log *slog.Logger) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log = log.With("node", s.NodeName)
	debug.SetMemoryLimit(int64(s.Facts.Machine.MemoryMB * limits.HeapShare * (1 << 20)))
	runtime.GOMAXPROCS(limits.Procs)

	shares := limits.ShareSockets(s.Facts.Machine.MaxSockets, len(s.Members))
	sockets := transport.NewSockets(shares.Room, shares.Headroom)
	store := storage.New(s.External.State, s.Facts.State)
	desk := leader.NewDesk(s, options, store, leader.NewCloud(s.External.Cloud, s.Facts.Cloud.RPS), sockets, log)
	elector := election.New(s.NodeName, store, time.Duration(options.Leadership.HoldLife), limits.PledgeLife(limits.Seconds(s.Facts.Workers.LeaseS)), desk.Lead, log)
	desk.OnLost(elector.Lost)
	peers, err := peer.Dial(s.Members)
	if err != nil {
		return err
	}
	elector.Peers = peers
	front := &gateway.Gateway{Node: s.NodeName, Store: store.ForUsers(), Desk: desk, Peers: peers, Leader: elector.Leader, Settings: s, Stage: shares.Stage, Log: log}
	front.Start(ctx)
	server := &transport.Server{
		Addr:      s.ClientListen,
		MaxConns:  shares.Inbound,
		MaxFleet:  shares.Fleet,
		FleetIdle: limits.Seconds(s.Facts.Workers.LeaseS),
		Sockets:   sockets,
		Handle:    front.Handle,
		Log:       log,
	}

	log.Info("starting", "version", version, "listen", s.ClientListen, "peers", len(s.Members))
	failed := make(chan error, 2)
	go elector.Run(ctx)
	go func() { failed <- peer.NewServer(desk, elector, peers).Run(ctx, s.PeerBind) }()
	go func() { failed <- server.Run(ctx) }()
	return <-failed
}
