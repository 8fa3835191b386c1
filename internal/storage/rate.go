package storage

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

func newLimiter(rps, share float64, least int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps*share), max(least, int(rps*share)))
}

func (s *Store) waitForRate(ctx context.Context, writes int) error {
	if s.maxRateWait > 0 {
		if s.Unavailable() {
			return fmt.Errorf("%w: known to be out of reach", ErrNotExecuted)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.maxRateWait)
		defer cancel()
	}
	if err := s.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: rate: %w", ErrNotExecuted, err)
	}
	if writes > 0 {
		if err := s.writes.WaitN(ctx, writes); err != nil {
			return fmt.Errorf("%w: write rate: %w", ErrNotExecuted, err)
		}
	}
	return nil
}
