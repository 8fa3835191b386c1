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
	// ErrRefused: the service said that it did not carry the request out (429, 503), or nothing was sent.
	ErrRefused = errors.New("state service refused")
	// ErrRate: it was refused because more was asked than the service's rates allow. It is an ErrRefused as well.
	ErrRate = errors.New("over the state service's rate")
	// ErrUnclear: there was no answer; the request may have been carried out, or may still be.
	ErrUnclear = errors.New("state service did not answer")
	// ErrNoLease: the hold is over.
	ErrNoLease = errors.New("no such hold")
	// ErrGone: the watch began too long ago; the keys must be read again.
	ErrGone = errors.New("changes no longer kept")
	// ErrBadRequest: the service held the request to be malformed.
	ErrBadRequest = errors.New("state service rejected the request")
)

// TimedOut tells whether a call failed only because time went by without an answer. The service may then be out of reach, but a process
// that gets too little of
// its processor sees the same.
func TimedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Conflict reports the keys whose guards failed.
type Conflict struct{ Failed []string }

func (c *Conflict) Error() string { return fmt.Sprintf("guards failed: %v", c.Failed) }

// Has tells whether a key is among those that failed.
func (c *Conflict) Has(key string) bool {
	for _, k := range c.Failed {
		if k == key {
			return true
		}
	}
	return false
}

// Store calls the state service. It is safe for concurrent use. A Store has its share of the service's rates. What users ask for has a
// share of its
// own (see ForUsers), which any controller may use up, as load lies now here, now there; if that is too much in sum, the service
// says so with 429 and has executed nothing.
type Store struct {
	http     *transport.Client
	watch    *transport.Client
	requests *rate.Limiter
	writes   *rate.Limiter
	patience time.Duration // longest wait for a share of the rates, or 0
	settings config.State
	health   *health
}

// health is what the last calls tell of the service. All times are Unix nanoseconds.
type health struct {
	failing atomic.Int64 // since when no call succeeded; 0 if the last one did
	tried   atomic.Int64 // when the last call began
	writes  atomic.Int64 // changes sent
	refused atomic.Int64 // calls answered 429 or 503
}

// New returns a Store for the work of the controllers themselves, of which only the leader's amounts to much.
func New(addr string, settings config.State) *Store {
	return &Store{
		http:     transport.NewClient(addr, limits.StateIdle, limits.MaxUpstreamBytes).DialWithin(limits.TouchTimeout),
		watch:    transport.NewClient(addr, 2, limits.MaxUpstreamBytes),
		requests: limiter(settings.RPS, limits.OwnReads, 1),
		writes:   limiter(settings.WriteRPS, limits.OwnWrites, settings.TxnOps),
		settings: settings,
		health:   &health{},
	}
}

// Over makes the store dial another way. It is called before the first use.
func (s *Store) Over(d transport.Dialer) *Store {
	s.http.Over(d)
	s.watch.Over(d)
	return s
}

// ForUsers returns a Store over the same connections with the users' share of the rates. It does not wait long for it.
func (s *Store) ForUsers() *Store {
	u := *s
	u.requests = limiter(s.settings.RPS, limits.UsersReads, 1)
	u.writes = limiter(s.settings.WriteRPS, limits.UsersWrites, s.settings.TxnOps)
	u.patience = limits.ShareWait
	return &u
}

func limiter(rps, share float64, least int) *rate.Limiter {
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
	s.health.tried.Store(began)
	m, err := s.http.Do(ctx, method, target, body)
	if err == nil && m.Status != 503 {
		s.health.failing.Store(0)
	} else {
		s.health.failing.CompareAndSwap(0, began)
	}
	if err == nil && (m.Status == 429 || m.Status == 503) {
		s.health.refused.Add(1)
	}
	return checked(m, err)
}

// Failing is for how long no call succeeded.
func (s *Store) Failing() time.Duration {
	if since := s.health.failing.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

// Usage is how many changes were sent and how many calls were refused so far, for the log.
func (s *Store) Usage() (writes, refused int64) {
	return s.health.writes.Load(), s.health.refused.Load()
}

// Down tells whether the service is known to be out of reach, so that one more call would only keep somebody waiting. Now and then
// a call is let through to see whether it is over.
func (s *Store) Down() bool {
	return s.Failing() > limits.DownAfter && time.Since(time.Unix(0, s.health.tried.Load())) < limits.DownLook
}

func checked(m *transport.Message, err error) (*transport.Message, error) {
	switch {
	case errors.Is(err, transport.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnclear, err)
	case m.Status == 429:
		return nil, fmt.Errorf("%w: %w", ErrRefused, ErrRate)
	case m.Status == 503:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, m.Status)
	}
	return m, nil
}

func (s *Store) admit(ctx context.Context, writes int) error {
	if s.patience > 0 {
		if s.Down() {
			return fmt.Errorf("%w: known to be out of reach", ErrRefused)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.patience)
		defer cancel()
	}
	if err := s.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: rate: %w", ErrRefused, err)
	}
	if writes > 0 {
		if err := s.writes.WaitN(ctx, writes); err != nil {
			return fmt.Errorf("%w: write rate: %w", ErrRefused, err)
		}
	}
	return nil
}

// Get reads a key. An absent key is a Pair with Stamp 0.
func (s *Store) Get(ctx context.Context, key string) (protocol.Pair, error) {
	var p protocol.Pair
	if err := s.admit(ctx, 0); err != nil {
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

// List reads all keys with a prefix. The ledger returned is that of the first page, from which a watch misses nothing.
func (s *Store) List(ctx context.Context, prefix string, each func(protocol.Pair) error) (uint64, error) {
	var ledger uint64
	since, first := "", true
	for {
		if err := s.admit(ctx, 0); err != nil {
			return 0, err
		}
		target := "/kv?Starts=" + url.QueryEscape(prefix) + "&Limit=" + strconv.Itoa(limits.StatePage)
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
		var l protocol.Listing
		if err := protocol.Decode(m.Body, &l); err != nil {
			return 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if first {
			ledger, first = l.Revision, false
		}
		for _, p := range l.Pairs {
			if err := each(p); err != nil {
				return 0, err
			}
			since = p.Key
		}
		if !l.Truncated || len(l.Pairs) == 0 {
			return ledger, nil
		}
	}
}

// Txn carries out a transaction and returns its revision.
func (s *Store) Txn(ctx context.Context, t protocol.Txn) (uint64, error) {
	if err := s.admit(ctx, len(t.Ops)); err != nil {
		return 0, err
	}
	s.health.writes.Add(int64(len(t.Ops)))
	m, err := s.call(ctx, "POST", "/txn", protocol.Encode(t))
	if err != nil {
		return 0, err
	}
	var r protocol.TxnReply
	switch m.Status {
	case 200, 409:
		if err := protocol.Decode(m.Body, &r); err != nil {
			return 0, fmt.Errorf("%w: txn: %w", ErrUnclear, err)
		}
		if m.Status == 409 {
			return 0, &Conflict{Failed: r.Failed}
		}
		return r.Revision, nil
	case 400:
		// The one well-formed transaction that is rejected is one whose hold is over.
		for _, op := range t.Ops {
			if op.Lease != 0 {
				return 0, fmt.Errorf("txn: %w", ErrNoLease)
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

// Touch renews a hold.
func (s *Store) Touch(ctx context.Context, tenure uint64) error {
	m, err := s.callWithin(ctx, limits.TouchTimeout, "POST", "/holds/"+strconv.FormatUint(tenure, 10)+"/touch", nil)
	if err != nil {
		return err
	}
	switch m.Status {
	case 200:
		return nil
	case 404:
		return ErrNoLease
	}
	return fmt.Errorf("%w: touch: status %d", ErrBadRequest, m.Status)
}

// EndLease ends a hold at once, which removes the keys attached to it.
func (s *Store) EndLease(ctx context.Context, tenure uint64) error {
	_, err := s.call(ctx, "DELETE", "/holds/"+strconv.FormatUint(tenure, 10), nil)
	return err
}

// Watch waits for changes of keys with a prefix after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	var r protocol.WatchReply
	if err := s.admit(ctx, 0); err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(ctx, limits.WatchHold+limits.WatchGrace)
	defer cancel()
	target := "/watch?Starts=" + url.QueryEscape(prefix) + "&Since=" + strconv.FormatUint(since, 10) +
		"&HoldMs=" + strconv.FormatInt(limits.WatchHold.Milliseconds(), 10)
	m, err := s.watch.Do(ctx, "GET", target, nil)
	if errors.Is(err, transport.ErrTooLarge) {
		return r, ErrGone
	}
	if m, err = checked(m, err); err != nil {
		return r, err
	}
	switch m.Status {
	case 200:
		if err := protocol.Decode(m.Body, &r); err != nil {
			return r, fmt.Errorf("watch: %w", err)
		}
		return r, nil
	case 410:
		return r, ErrGone
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
