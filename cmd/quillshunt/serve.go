package main

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"

	// The program is linked against the system's C library, which package net brings in by its resolver.
	_ "net"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/controller"
	"quillshunt/internal/limits"
)

// serve runs a controller until a part of it fails for good or the context ends.
func serve(ctx context.Context, s *config.Settings, options config.Options, log *slog.Logger) error {
	if ctx == nil {
		ctx = context.Background()
	}
	log = log.With("node", s.NodeName)
	debug.SetMemoryLimit(limits.HeapLimit(s.Facts.Machine.MemoryMB))
	debug.SetGCPercent(limits.GCPercent)
	runtime.GOMAXPROCS(limits.MaxProcs)
	c, err := controller.New(s, options, nil, log)
	if err != nil {
		return err
	}
	for _, w := range s.Warnings() {
		log.Warn("settings", "reason", w)
	}
	log.Info("starting", "version", version, "listen", s.ClientListen, "peers", len(s.Members))
	return c.Run(ctx)
}
