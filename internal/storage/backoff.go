package storage

import (
	"context"
	"math/rand/v2"
	"time"

	"quillshunt/internal/limits"
)

// Backoff is a jittered pause between tries that grows from limits.RetryMin to limits.RetryMax. Its
// zero value is ready for use.
type Backoff struct{ next time.Duration }

// Wait sleeps and reports whether the context is still alive.
func (b *Backoff) Wait(ctx context.Context) bool {
	if b.next == 0 {
		b.next = limits.RetryBackoffMin
	}
	pause := b.next/2 + rand.N(b.next)
	b.next = min(b.next*2, limits.RetryBackoffMax)
	return Sleep(ctx, pause)
}

// Reset starts over with short pauses.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits and reports whether the context is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
