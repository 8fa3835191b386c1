package main

import (
	"fmt"
	"log/slog"
	"os"
)

// newLogger returns a logger that writes to standard error. The environment variable LOG_LEVEL sets the
// minimum level; the default is info.
func newLogger() (*slog.Logger, error) {
	var level slog.Level
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	case "error":
		level = slog.LevelError
	default:
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug, got %q", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
