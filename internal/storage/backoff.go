package storage

import (
	"context"
	"math/rand/v2"
	"time"

	"quillshunt/internal/limits"
)

// Backoff is a jittered, growing pause.
type Backoff struct{ next time.Duration }

// Wait sleeps and reports whether the context is still alive.
func (b *Backoff) Wait(ctx context.Context) bool {
	if b.next == 0 {
		b.next = limits.RetryMin
	}
	d := b.next/2 + rand.N(b.next)
	b.next = min(b.next*2, limits.RetryMax)
	return Sleep(ctx, d)
}

// Reset starts over with short pauses.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits and reports whether the context is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
