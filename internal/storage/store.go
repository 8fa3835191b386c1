package storage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Store calls the state service within a share of its rates. It is safe for concurrent use.
//
// The store from New is for the controllers' own work. Users' requests go through one from ForUsers,
// which has a share of its own. Any controller may use that share up, as users load now this one and
// now that one; should the sum exceed the service's rate, the service answers 429 and executes
// nothing.
type Store struct {
	client      *transport.Client
	watchClient *transport.Client // apart, as a watch keeps its connection for long
	requests    *rate.Limiter
	writes      *rate.Limiter
	maxRateWait time.Duration // longest wait for a share of the rates; 0: as long as the context lives
	settings    config.State
	health      *serviceHealth
}

// New returns a Store for the work of the controllers themselves, of which only the leader's amounts
// to much.
func New(address string, settings config.State) *Store {
	client := transport.NewClient(address, limits.MaxIdleStateConns, limits.MaxUpstreamBytes)
	return &Store{
		client:      client.WithDialTimeout(limits.LeaseRenewTimeout),
		watchClient: transport.NewClient(address, limits.MaxIdleWatchConns, limits.MaxUpstreamBytes),
		requests:    newLimiter(settings.RPS, limits.ControllerReadShare, 1),
		writes:      newLimiter(settings.WriteRPS, limits.ControllerWriteShare, settings.TxnOps),
		settings:    settings,
		health:      &serviceHealth{},
	}
}

// WithDialer makes the store dial another way, and returns it. It must be called before the first
// use.
func (s *Store) WithDialer(d transport.Dialer) *Store {
	s.client.WithDialer(d)
	s.watchClient.WithDialer(d)
	return s
}

// ForUsers returns a Store over the same connections with the users' share of the rates. Its calls
// fail with ErrNotExecuted if they would have to wait long for that share, or while the service is
// known to be unreachable.
func (s *Store) ForUsers() *Store {
	users := *s
	users.requests = newLimiter(s.settings.RPS, limits.UserReadShare, 1)
	users.writes = newLimiter(s.settings.WriteRPS, limits.UserWriteShare, s.settings.TxnOps)
	users.maxRateWait = limits.UserRateLimitWait
	return &users
}

// Settings returns the limits of the service.
func (s *Store) Settings() config.State { return s.settings }

// call makes a call with the usual timeout.
func (s *Store) call(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	return s.callWithTimeout(ctx, limits.StateTimeout, method, target, body)
}

// callWithTimeout makes a call and notes its outcome in the service's health.
func (s *Store) callWithTimeout(
	ctx context.Context, timeout time.Duration, method, target string, body []byte,
) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	s.health.callBegan(began)
	reply, err := s.client.Do(ctx, method, target, body)
	s.health.callEnded(began, reply, err)
	return checkReply(reply, err)
}

// checkReply turns a failed call, and an answer that says that nothing was executed, into an error
// that wraps ErrNotExecuted or ErrOutcomeUnknown.
func checkReply(reply *transport.Message, err error) (*transport.Message, error) {
	switch {
	case errors.Is(err, transport.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case reply.Status == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %w", ErrNotExecuted, ErrRateLimited)
	case reply.Status == http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: status %d", ErrNotExecuted, reply.Status)
	}
	return reply, nil
}

// unexpectedStatus returns the error for a status that a call does not provide for.
func unexpectedStatus(status int) error { return fmt.Errorf("%w: status %d", ErrBadRequest, status) }

// decodeReply decodes the body of an answer.
func decodeReply[T any](reply *transport.Message) (T, error) {
	var v T
	err := protocol.Decode(reply.Body, &v)
	return v, err
}
