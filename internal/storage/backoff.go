package storage

import (
	"context"
	"math/rand/v2"
	"time"

	"quillshunt/internal/limits"
)

// Backoff waits between retries. The delay doubles with each wait, from limits.RetryBackoffMin up to
// limits.RetryBackoffMax. Each wait is longer or shorter than the delay by a random time of up to half of
// it. The zero value is ready to use.
type Backoff struct{ delay time.Duration }

// Wait waits for the next delay. It returns false as soon as the context is done.
func (b *Backoff) Wait(ctx context.Context) bool {
	if b.delay == 0 {
		b.delay = limits.RetryBackoffMin
	}
	pause := b.delay/2 + rand.N(b.delay)
	b.delay = min(b.delay*2, limits.RetryBackoffMax)
	return SleepContext(ctx, pause)
}

// Reset makes the next delay the shortest one again.
func (b *Backoff) Reset() { b.delay = 0 }

// SleepContext waits for a duration. It returns false as soon as the context is done.
func SleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
