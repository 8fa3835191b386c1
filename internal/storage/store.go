package storage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// Store calls the state service. It is safe for concurrent use. A Store has its share of the
// service's rates. What users ask for has a share of its own (see ForUsers), which any controller
// may use up, as load lies now here, now there; if that is too much in sum, the service says so
// with 429 and has executed nothing.
type Store struct {
	http        *transport.Client
	watch       *transport.Client
	requests    *rate.Limiter
	writes      *rate.Limiter
	maxRateWait time.Duration // longest wait for a share of the rates, or 0
	settings    config.State
	health      *serviceHealth
}

// New returns a Store for the work of the controllers themselves, of which only the leader's
// amounts to much.
func New(addr string, settings config.State) *Store {
	return &Store{
		http:     transport.NewClient(addr, limits.StateIdle, limits.MaxUpstreamBytes).WithDialTimeout(limits.LeaseRenewTimeout),
		watch:    transport.NewClient(addr, 2, limits.MaxUpstreamBytes),
		requests: newLimiter(settings.RPS, limits.ControllerReadShare, 1),
		writes:   newLimiter(settings.WriteRPS, limits.ControllerWriteShare, settings.TxnOps),
		settings: settings,
		health:   &serviceHealth{},
	}
}

// WithDialer makes the store dial another way. It is called before the first use.
func (s *Store) WithDialer(d transport.Dialer) *Store {
	s.http.WithDialer(d)
	s.watch.WithDialer(d)
	return s
}

// ForUsers returns a Store over the same connections with the users' share of the rates. It does
// not wait long for it.
func (s *Store) ForUsers() *Store {
	u := *s
	u.requests = newLimiter(s.settings.RPS, limits.UserReadShare, 1)
	u.writes = newLimiter(s.settings.WriteRPS, limits.UserWriteShare, s.settings.TxnOps)
	u.maxRateWait = limits.UserRateWait
	return &u
}

// Settings are the limits of the service.
func (s *Store) Settings() config.State { return s.settings }

func (s *Store) call(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	return s.callWithin(ctx, limits.StateTimeout, method, target, body)
}

func (s *Store) callWithin(ctx context.Context, limit time.Duration, method, target string, body []byte) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now().UnixNano()
	s.health.lastCallAt.Store(began)
	m, err := s.http.Do(ctx, method, target, body)
	if err == nil && m.Status != 503 {
		s.health.failingSince.Store(0)
	} else {
		s.health.failingSince.CompareAndSwap(0, began)
	}
	if err == nil && (m.Status == 429 || m.Status == 503) {
		s.health.refused.Add(1)
	}
	return checkReply(m, err)
}

func checkReply(m *transport.Message, err error) (*transport.Message, error) {
	switch {
	case errors.Is(err, transport.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case m.Status == 429:
		return nil, fmt.Errorf("%w: %w", ErrNotExecuted, ErrRateLimited)
	case m.Status == 503:
		return nil, fmt.Errorf("%w: status %d", ErrNotExecuted, m.Status)
	}
	return m, nil
}
