package storage

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

// newLimiter returns a limiter for a share of a rate. It allows bursts of one second's worth, but of
// minBurst at least.
func newLimiter(rps, share float64, minBurst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps*share), max(minBurst, int(rps*share)))
}

// waitForRate waits for the share of the rates that a request with some writes needs. Its errors
// wrap ErrNotExecuted.
func (s *Store) waitForRateLimit(ctx context.Context, operations int) error {
	if s.maxRateWait > 0 {
		if s.Unavailable() {
			return fmt.Errorf("%w: known to be unreachable", ErrNotExecuted)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.maxRateWait)
		defer cancel()
	}
	if err := s.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: wait for request rate: %w", ErrNotExecuted, err)
	}
	if operations == 0 {
		return nil
	}
	if err := s.writeLimiter.WaitN(ctx, operations); err != nil {
		return fmt.Errorf("%w: wait for write rate: %w", ErrNotExecuted, err)
	}
	return nil
}
