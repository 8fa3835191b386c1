// Package storage is the project's side of the state service: its calls within
// the shared rate, and the records kept there.
package storage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// ErrUnclear: there was no answer; the request may have been carried out, or may still be.
	ErrUnclear = errors.New("state service did not answer")
	// ErrNoHold: the hold is over.
	ErrNoHold = errors.New("no such hold")
	// ErrGone: the watch began too long ago; the keys must be read again.
	ErrGone = errors.New("changes no longer kept")
	// ErrBadRequest: the service held the request to be malformed.
	ErrBadRequest = errors.New("state service rejected the request")
)

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

// Store calls the state service. It is safe for concurrent use.
type Store struct {
	http     *transport.Client
	watch    *transport.Client
	requests *rate.Limiter
	writes   *rate.Limiter
	settings config.State
	nodes    int
	failing  atomic.Int64 // since when no call succeeded, in Unix nanoseconds; 0 if the last one did
}

// New returns a Store that keeps to this controller's share of the rates.
func New(addr string, settings config.State, nodes int) *Store {
	s := &Store{
		http:     transport.NewClient(addr, limits.StateConns, limits.MaxUpstreamBytes),
		watch:    transport.NewClient(addr, 2, limits.MaxUpstreamBytes),
		requests: rate.NewLimiter(0, 1),
		writes:   rate.NewLimiter(0, 1),
		settings: settings,
		nodes:    nodes,
	}
	s.SetLeader(false)
	return s
}

// SetLeader changes the share of the rates that this controller uses.
func (s *Store) SetLeader(leader bool) {
	r, w := limits.StateShare(leader, s.nodes)
	s.requests.SetLimit(rate.Limit(s.settings.RPS * r))
	s.requests.SetBurst(max(1, int(s.settings.RPS*r)))
	s.writes.SetLimit(rate.Limit(s.settings.WriteRPS * w))
	s.writes.SetBurst(max(s.settings.TxnOps, int(s.settings.WriteRPS*w)))
}

// Settings are the limits of the service.
func (s *Store) Settings() config.State { return s.settings }

func (s *Store) call(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.StateTimeout)
	defer cancel()
	m, err := s.http.Do(ctx, method, target, body)
	if err == nil && m.Status != 503 {
		s.failing.Store(0)
	} else {
		s.failing.CompareAndSwap(0, time.Now().UnixNano())
	}
	return checked(m, err)
}

// Failing is for how long no call succeeded.
func (s *Store) Failing() time.Duration {
	if since := s.failing.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}

func checked(m *transport.Message, err error) (*transport.Message, error) {
	switch {
	case errors.Is(err, transport.ErrNotSent):
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnclear, err)
	case m.Status == 429 || m.Status == 503:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, m.Status)
	}
	return m, nil
}

func (s *Store) admit(ctx context.Context, writes int) error {
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
		p.Stamp, p.Data = 0, nil
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
			ledger, first = l.Ledger, false
		}
		for _, p := range l.Pairs {
			if err := each(p); err != nil {
				return 0, err
			}
			since = p.Path
		}
		if !l.Truncated || len(l.Pairs) == 0 {
			return ledger, nil
		}
	}
}

// Txn carries out a transaction and returns its revision.
func (s *Store) Txn(ctx context.Context, t protocol.Txn) (uint64, error) {
	if err := s.admit(ctx, len(t.Apply)); err != nil {
		return 0, err
	}
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
		return r.Ledger, nil
	case 400:
		// The one well-formed transaction that is rejected is one whose hold is over.
		for _, op := range t.Apply {
			if op.Tenure != 0 {
				return 0, fmt.Errorf("txn: %w", ErrNoHold)
			}
		}
	}
	return 0, fmt.Errorf("%w: txn: status %d", ErrBadRequest, m.Status)
}

// CreateHold makes a hold. Holds and their renewals do not wait for the shared rate.
func (s *Store) CreateHold(ctx context.Context, life time.Duration) (uint64, error) {
	m, err := s.call(ctx, "POST", "/holds", protocol.Encode(protocol.HoldRequest{LifeMs: life.Milliseconds()}))
	if err != nil {
		return 0, err
	}
	var r protocol.HoldReply
	if m.Status != 200 {
		return 0, fmt.Errorf("%w: hold: status %d", ErrBadRequest, m.Status)
	}
	if err := protocol.Decode(m.Body, &r); err != nil {
		return 0, fmt.Errorf("hold: %w", err)
	}
	return r.Tenure, nil
}

// Touch renews a hold.
func (s *Store) Touch(ctx context.Context, tenure uint64) error {
	m, err := s.call(ctx, "POST", "/holds/"+strconv.FormatUint(tenure, 10)+"/touch", nil)
	if err != nil {
		return err
	}
	switch m.Status {
	case 200:
		return nil
	case 404:
		return ErrNoHold
	}
	return fmt.Errorf("%w: touch: status %d", ErrBadRequest, m.Status)
}

// EndHold ends a hold at once, which removes the keys attached to it.
func (s *Store) EndHold(ctx context.Context, tenure uint64) error {
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
