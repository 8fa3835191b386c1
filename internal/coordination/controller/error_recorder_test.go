package controller

import (
	"context"
	"log/slog"
)

// errorRecorder is a handler of the log of a controller. It also records the entries of level ERROR, which no
// scenario allows.
type errorRecorder struct {
	slog.Handler
	cluster *cluster
}

// Handle implements slog.Handler.
func (r *errorRecorder) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelError {
		text := record.Message
		record.Attrs(func(attr slog.Attr) bool {
			text += " " + attr.String()
			return true
		})
		r.cluster.recordErrorEntry(text)
	}
	return r.Handler.Handle(ctx, record)
}

// Enabled implements slog.Handler.
func (r *errorRecorder) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || r.Handler.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (r *errorRecorder) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &errorRecorder{Handler: r.Handler.WithAttrs(attrs), cluster: r.cluster}
}

// WithGroup implements slog.Handler.
func (r *errorRecorder) WithGroup(name string) slog.Handler {
	return &errorRecorder{Handler: r.Handler.WithGroup(name), cluster: r.cluster}
}

// recordErrorEntry records a log entry of level ERROR.
func (c *cluster) recordErrorEntry(text string) {
	c.errorMu.Lock()
	defer c.errorMu.Unlock()
	c.errorEntries = append(c.errorEntries, text)
}
