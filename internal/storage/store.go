// Package storage is the project's side of the state service: its calls within
// the shared rate, and the records kept there.
package storage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Outcomes of a call that are not answers.
var (
	// ErrNotExecuted: the service said that it did not carry the request out (429, 503), or nothing
	// was sent.
	ErrNotExecuted = errors.New("state service refused")
	// ErrRateLimited: it was refused because more was asked than the service's rates allow. It is
	// an ErrRefused as well.
	ErrRateLimited = errors.New("over the state service's rate")
	// ErrOutcomeUnknown: there was no answer; the request may have been carried out, or may still be.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrLeaseExpired: the hold is over.
	ErrLeaseExpired = errors.New("no such hold")
	// ErrCompacted: the watch began too long ago; the keys must be read again.
	ErrCompacted = errors.New("changes no longer kept")
	// ErrBadRequest: the service held the request to be malformed.
	ErrBadRequest = errors.New("state service rejected the request")
)

// IsTimeout tells whether a call failed only because time went by without an answer. The service
// may then be out of reach, but a process that gets too little of its processor sees the same.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// ConflictError reports the keys whose guards failed.
type ConflictError struct{ FailedKeys []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", c.FailedKeys) }

// Has tells whether a key is among those that failed.
func (c *ConflictError) Has(key string) bool {
	for _, k := range c.FailedKeys {
		if k == key {
			return true
		}
	}
	return false
}

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

// serviceHealth is what the last calls tell of the service. All times are Unix nanoseconds.
type serviceHealth struct {
	failingSince atomic.Int64 // since when no call succeeded; 0 if the last one did
	lastCallAt   atomic.Int64 // when the last call began
	writes       atomic.Int64 // changes sent
	refused      atomic.Int64 // calls answered 429 or 503
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

func newLimiter(rps, share float64, least int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rps*share), max(least, int(rps*share)))
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

// FailingFor is for how long no call succeeded.
func (s *Store) FailingFor() time.Duration {
	if since := s.health.failingSince.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

// Counters is how many changes were sent and how many calls were refused so far, for the log.
func (s *Store) Counters() (writes, refused int64) {
	return s.health.writes.Load(), s.health.refused.Load()
}

// Unavailable tells whether the service is known to be out of reach, so that one more call would
// only keep somebody waiting. Now and then a call is let through to see whether it is over.
func (s *Store) Unavailable() bool {
	return s.FailingFor() > limits.UnavailableAfter && time.Since(time.Unix(0, s.health.lastCallAt.Load())) < limits.UnavailableProbeInterval
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

// Get reads a key. An absent key is a Pair with Stamp 0.
func (s *Store) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	var p protocol.KeyValue
	if err := s.waitForRate(ctx, 0); err != nil {
		return p, err
	}
	m, err := s.call(ctx, "GET", "/kv/"+key, nil)
	if err != nil {
		return p, err
	}
	if m.Status != 200 && m.Status != 404 {
		return p, fmt.Errorf("%w: get %s: status %d", ErrBadRequest, key, m.Status)
	}
	if err := protocol.Decode(m.Body, &p); err != nil {
		return p, fmt.Errorf("get %s: %w", key, err)
	}
	if m.Status == 404 {
		p.Version, p.Value = 0, nil
	}
	return p, nil
}

// List reads all keys with a prefix. The ledger returned is that of the first page, from which a
// watch misses nothing.
func (s *Store) List(ctx context.Context, prefix string, each func(protocol.KeyValue) error) (uint64, error) {
	var ledger uint64
	since, first := "", true
	for {
		if err := s.waitForRate(ctx, 0); err != nil {
			return 0, err
		}
		target := "/kv?Starts=" + url.QueryEscape(prefix) + "&Limit=" + strconv.Itoa(limits.StatePageSize)
		if since != "" {
			target += "&Since=" + url.QueryEscape(since)
		}
		m, err := s.call(ctx, "GET", target, nil)
		if err != nil {
			return 0, err
		}
		if m.Status != 200 {
			return 0, fmt.Errorf("%w: list %s: status %d", ErrBadRequest, prefix, m.Status)
		}
		var l protocol.KeyPage
		if err := protocol.Decode(m.Body, &l); err != nil {
			return 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if first {
			ledger, first = l.Revision, false
		}
		for _, p := range l.Items {
			if err := each(p); err != nil {
				return 0, err
			}
			since = p.Key
		}
		if !l.Truncated || len(l.Items) == 0 {
			return ledger, nil
		}
	}
}

// CompareAndSwap carries out a transaction and returns its revision.
func (s *Store) CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	if err := s.waitForRate(ctx, len(t.Operations)); err != nil {
		return 0, err
	}
	s.health.writes.Add(int64(len(t.Operations)))
	m, err := s.call(ctx, "POST", "/txn", protocol.Encode(t))
	if err != nil {
		return 0, err
	}
	var r protocol.TransactionReply
	switch m.Status {
	case 200, 409:
		if err := protocol.Decode(m.Body, &r); err != nil {
			return 0, fmt.Errorf("%w: txn: %w", ErrOutcomeUnknown, err)
		}
		if m.Status == 409 {
			return 0, &ConflictError{FailedKeys: r.FailedKeys}
		}
		return r.Revision, nil
	case 400:
		// The one well-formed transaction that is rejected is one whose hold is over.
		for _, op := range t.Operations {
			if op.Lease != 0 {
				return 0, fmt.Errorf("txn: %w", ErrLeaseExpired)
			}
		}
	}
	return 0, fmt.Errorf("%w: txn: status %d", ErrBadRequest, m.Status)
}

// CreateLease makes a hold. Holds and their renewals do not wait for the shared rate.
func (s *Store) CreateLease(ctx context.Context, life time.Duration) (uint64, error) {
	m, err := s.call(ctx, "POST", "/holds", protocol.Encode(protocol.LeaseRequest{LifeMs: life.Milliseconds()}))
	if err != nil {
		return 0, err
	}
	var r protocol.LeaseReply
	if m.Status != 200 {
		return 0, fmt.Errorf("%w: hold: status %d", ErrBadRequest, m.Status)
	}
	if err := protocol.Decode(m.Body, &r); err != nil {
		return 0, fmt.Errorf("hold: %w", err)
	}
	return r.Lease, nil
}

// RenewLease renews a hold.
func (s *Store) RenewLease(ctx context.Context, tenure uint64) error {
	m, err := s.callWithin(ctx, limits.LeaseRenewTimeout, "POST", "/holds/"+strconv.FormatUint(tenure, 10)+"/touch", nil)
	if err != nil {
		return err
	}
	switch m.Status {
	case 200:
		return nil
	case 404:
		return ErrLeaseExpired
	}
	return fmt.Errorf("%w: touch: status %d", ErrBadRequest, m.Status)
}

// RevokeLease ends a hold at once, which removes the keys attached to it.
func (s *Store) RevokeLease(ctx context.Context, tenure uint64) error {
	_, err := s.call(ctx, "DELETE", "/holds/"+strconv.FormatUint(tenure, 10), nil)
	return err
}

// Watch waits for changes of keys with a prefix after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	var r protocol.WatchReply
	if err := s.waitForRate(ctx, 0); err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(ctx, limits.WatchDuration+limits.WatchGrace)
	defer cancel()
	target := "/watch?Starts=" + url.QueryEscape(prefix) + "&Since=" + strconv.FormatUint(since, 10) +
		"&HoldMs=" + strconv.FormatInt(limits.WatchDuration.Milliseconds(), 10)
	m, err := s.watch.Do(ctx, "GET", target, nil)
	if errors.Is(err, transport.ErrTooLarge) {
		return r, ErrCompacted
	}
	if m, err = checkReply(m, err); err != nil {
		return r, err
	}
	switch m.Status {
	case 200:
		if err := protocol.Decode(m.Body, &r); err != nil {
			return r, fmt.Errorf("watch: %w", err)
		}
		return r, nil
	case 410:
		return r, ErrCompacted
	}
	return r, fmt.Errorf("%w: watch: status %d", ErrBadRequest, m.Status)
}

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

// Reset starts over with short pauses.
func (b *Backoff) Reset() { b.next = 0 }
