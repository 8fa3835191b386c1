package main

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"

	// Package net is imported for its cgo resolver, which links the program against the system's C library.
	_ "net"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/controller"
	"quillshunt/internal/limits"
)

// serve runs a controller until one of its servers fails permanently or the context is cancelled.
func serve(ctx context.Context, settings *config.Settings, options config.Options, log *slog.Logger) error {
	log = log.With("node", settings.NodeName)
	setRuntimeLimits(settings)
	c, err := controller.New(settings, options, nil, log)
	if err != nil {
		return err
	}
	for _, warning := range settings.Warnings() {
		log.Warn("setting is not suitable", "reason", warning)
	}
	log.Info("controller starting", "version", version, "listen", settings.ClientListen, "peers", len(settings.Members))
	return c.Run(ctx)
}

// setRuntimeLimits sets the Go runtime's memory limit, garbage collection target and number of threads so
// that the process stays within the machine limits of the settings.
func setRuntimeLimits(settings *config.Settings) {
	debug.SetMemoryLimit(limits.HeapLimit(settings.Deployment.MachineLimits.MemoryMB))
	debug.SetGCPercent(limits.GCPercent)
	runtime.GOMAXPROCS(limits.MaxProcs)
}
