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

// serve runs a controller until a server of it fails for good or the context ends.
func serve(ctx context.Context, settings *config.Settings, options config.Options, log *slog.Logger) error {
	log = log.With("node", settings.NodeName)
	setRuntimeLimits(settings)
	c, err := controller.New(settings, options, nil, log)
	if err != nil {
		return err
	}
	for _, warning := range settings.Warnings() {
		log.Warn("settings", "reason", warning)
	}
	log.Info("starting", "version", version, "listen", settings.ClientListen, "peers", len(settings.Members))
	return c.Run(ctx)
}

// setRuntimeLimits makes the runtime keep within the memory and the processor share of the settings.
func setRuntimeLimits(settings *config.Settings) {
	debug.SetMemoryLimit(limits.HeapLimit(settings.Facts.Machine.MemoryMB))
	debug.SetGCPercent(limits.GCPercent)
	runtime.GOMAXPROCS(limits.MaxProcs)
}
