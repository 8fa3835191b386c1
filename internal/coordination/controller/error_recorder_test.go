package controller

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
)

// errorRecorder is a handler of the log of a controller. It also records the entries of level ERROR, which no
// scenario allows.
type errorRecorder struct {
	slog.Handler
	cluster *cluster
	node    string
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
	r.cluster.blockedEntry.waitIfBlocked(r.node, record.Message)
	return r.Handler.Handle(ctx, record)
}

// Enabled implements slog.Handler.
func (r *errorRecorder) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || r.Handler.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (r *errorRecorder) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &errorRecorder{Handler: r.Handler.WithAttrs(attrs), cluster: r.cluster, node: r.node}
}

// WithGroup implements slog.Handler.
func (r *errorRecorder) WithGroup(name string) slog.Handler {
	return &errorRecorder{Handler: r.Handler.WithGroup(name), cluster: r.cluster, node: r.node}
}

// recordErrorEntry records a log entry of level ERROR.
func (c *cluster) recordErrorEntry(text string) {
	c.errorMu.Lock()
	defer c.errorMu.Unlock()
	c.errorEntries = append(c.errorEntries, text)
}

// takeErrorEntry removes the recorded entries of level ERROR that begin with a message, which a scenario expects, and
// reports whether there were any.
func (c *cluster) takeErrorEntry(message string) bool {
	c.errorMu.Lock()
	defer c.errorMu.Unlock()
	before := len(c.errorEntries)
	isExpected := func(entry string) bool { return strings.HasPrefix(entry, message) }
	c.errorEntries = slices.DeleteFunc(c.errorEntries, isExpected)
	return len(c.errorEntries) < before
}

// blockedEntry is a log entry whose writer is blocked, which makes the goroutine that writes it hang.
type blockedEntry struct {
	mu            sync.Mutex
	node, message string
	released      chan struct{} // nil unless an entry is blocked
}

// block blocks all writers of a log entry of a controller until the returned function is called.
func (b *blockedEntry) block(node, message string) (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	released := make(chan struct{})
	b.node, b.message, b.released = node, message, released
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.released = nil
		close(released)
	}
}

// waitIfBlocked waits while an entry is blocked.
func (b *blockedEntry) waitIfBlocked(node, message string) {
	b.mu.Lock()
	released := b.released
	blocked := node == b.node && message == b.message
	b.mu.Unlock()
	if blocked && released != nil {
		<-released
	}
}
