package storage

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

// newLimiter returns a limiter for a share of rps. It allows bursts of as many requests as in one second,
// but of at least minBurst.
func newLimiter(rps, share float64, minBurst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps*share), max(minBurst, int(rps*share)))
}

// waitForRateLimit waits until the rate limits allow a request with a number of write operations. Its
// errors wrap ErrNotExecuted.
func (s *Store) waitForRateLimit(ctx context.Context, operations int) error {
	if s.maxRateWait > 0 {
		if s.IsUnavailable() {
			return fmt.Errorf("%w: calls have been failing for some time", ErrNotExecuted)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.maxRateWait)
		defer cancel()
	}
	if err := s.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: wait for the request rate limit: %w", ErrNotExecuted, err)
	}
	if operations == 0 {
		return nil
	}
	if err := s.writeLimiter.WaitN(ctx, operations); err != nil {
		return fmt.Errorf("%w: wait for the write rate limit: %w", ErrNotExecuted, err)
	}
	return nil
}
