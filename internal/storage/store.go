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
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Store is a client of the state service that keeps its calls within a share of the service's rate
// limits. It is safe for concurrent use.
//
// The Store that New returns is for the controllers' own work. The one that ForUserRequests returns is
// for submissions and cancellations and has a separate share. Each controller may use all of that share,
// because the users' load is not spread evenly over the controllers. If the controllers together exceed a
// limit of the service, it rejects calls with status 429 without executing them. Reads for users go
// through a BatchReader.
type Store struct {
	client         *transport.Client
	watchClient    *transport.Client // separate, because a watch occupies its connection for a long time
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter
	maxRateWait    time.Duration // longest wait for the rate limits; 0: until the context is done
	serviceLimits  config.StateLimits
	health         *serviceHealth
	share          string           // name of the share of the rate limits, for the metrics
	metrics        *metrics.Metrics // or nil
}

// Names of the shares of the rate limits, for the metrics.
const (
	shareControllers = "controllers"
	shareUsers       = "users"
	shareReads       = "reads"
)

// New returns a Store for the controllers' own work. Its share of the rate limits is not divided among
// the controllers, because nearly all of this work is the leader's.
func New(address string, serviceLimits config.StateLimits) *Store {
	client := transport.NewClient(address, limits.MaxIdleStateConns, limits.MaxUpstreamBytes)
	return &Store{
		client:         client.WithDialTimeout(limits.LeaseRenewTimeout),
		watchClient:    transport.NewClient(address, limits.MaxIdleWatchConns, limits.MaxUpstreamBytes),
		requestLimiter: newLimiter(serviceLimits.RPS, limits.ControllerReadShare, 1),
		writeLimiter:   newLimiter(serviceLimits.WriteRPS, limits.ControllerWriteShare, serviceLimits.TxnOps),
		serviceLimits:  serviceLimits,
		health:         &serviceHealth{},
		share:          shareControllers,
	}
}

// WithMetrics sets where calls are counted, and returns s. It must be called before the first call.
func (s *Store) WithMetrics(m *metrics.Metrics) *Store {
	s.metrics = m
	return s
}

// WithDialer sets the dialer for connections to the service, and returns s. It must be called before the
// first call.
func (s *Store) WithDialer(d transport.Dialer) *Store {
	s.client.WithDialer(d)
	s.watchClient.WithDialer(d)
	return s
}

// ForUserRequests returns a Store that uses the same connections, but the users' share of the rate
// limits. A call fails with ErrNotExecuted if it would have to wait for longer than
// limits.UserRateLimitWait, or if IsUnavailable returns true.
func (s *Store) ForUserRequests() *Store {
	users := *s
	users.requestLimiter = newLimiter(s.serviceLimits.RPS, limits.UserReadShare, 1)
	users.writeLimiter = newLimiter(s.serviceLimits.WriteRPS, limits.UserWriteShare, s.serviceLimits.TxnOps)
	users.maxRateWait = limits.UserRateLimitWait
	users.share = shareUsers
	return &users
}

// ServiceLimits returns the rate and size limits of the service.
func (s *Store) ServiceLimits() config.StateLimits { return s.serviceLimits }

// call makes a call with the default timeout, limits.StateTimeout.
func (s *Store) call(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	return s.callWithTimeout(ctx, limits.StateTimeout, method, target, body)
}

// callWithTimeout makes a call and records its outcome in the service's health.
func (s *Store) callWithTimeout(
	ctx context.Context, timeout time.Duration, method, target string, body []byte,
) (*transport.Message, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := time.Now()
	s.health.recordStart(startedAt)
	reply, err := s.client.Do(callCtx, method, target, body)
	s.health.recordOutcome(s.share, startedAt, reply, err)
	s.metrics.CountStateCall(s.share, callResult(ctx, reply, err))
	return checkReply(reply, err)
}

// callResult returns the result of a call for the metrics. The context is the caller's.
func callResult(ctx context.Context, reply *transport.Message, err error) metrics.CallResult {
	switch {
	case err != nil && ctx.Err() != nil:
		return metrics.CallGivenUp
	case err != nil:
		return metrics.CallNoReply
	case reply.Status == http.StatusTooManyRequests:
		return metrics.CallRateLimited
	case reply.Status == http.StatusServiceUnavailable:
		return metrics.CallRejected
	}
	return metrics.CallReplied
}

// checkReply returns an error that wraps ErrNotExecuted or ErrOutcomeUnknown if the call failed, or if the
// status of its reply means that the service did not execute it.
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

// unexpectedStatus returns the error for a reply with a status that the call does not expect.
func unexpectedStatus(status int) error { return fmt.Errorf("%w: status %d", ErrBadRequest, status) }

// decodeReply decodes the body of a reply.
func decodeReply[T any](reply *transport.Message) (T, error) {
	var v T
	err := protocol.Decode(reply.Body, &v)
	return v, err
}
