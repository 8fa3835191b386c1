package storage

import (
	"context"
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/limits"
)

// newLimiter returns a limiter for a share of rps. It allows bursts of as many requests as in one second,
// but of at least minBurst.
func newLimiter(rps, share float64, minBurst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps*share), max(minBurst, limits.Whole(rps*share, math.MaxInt32)))
}

// waitForRateLimit waits until the rate limits allow a request with a number of write operations. Its
// errors wrap ErrNotExecuted.
func (s *Store) waitForRateLimit(ctx context.Context, operations int) error {
	if s.maxRateWait > 0 {
		if s.IsUnavailable() {
			return fmt.Errorf("%w: %w", ErrNotExecuted, ErrServiceFailing)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.maxRateWait)
		defer cancel()
	}
	startedAt := time.Now()
	defer func() { s.metrics.CountRateWait(s.share, time.Since(startedAt)) }()
	if err := s.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w: requests: %w", ErrNotExecuted, ErrShareExhausted, err)
	}
	if operations == 0 {
		return nil
	}
	if err := s.writeLimiter.WaitN(ctx, operations); err != nil {
		return fmt.Errorf("%w: %w: writes: %w", ErrNotExecuted, ErrShareExhausted, err)
	}
	return nil
}
