package election

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/standin"
	"quillshunt/internal/storage"
)

// unreliableStore is a node's view of the state service: it delays, refuses, and loses answers of
// requests that were, or later are, carried out.
type unreliableStore struct {
	s     *standin.StateService
	r     *rand.Rand
	mu    sync.Mutex
	alone time.Time              // refused until then
	mute  time.Time              // not answered until then
	kept  []protocol.Transaction // campaigns that get no answer and are applied when the test says so
	keep  bool
	lossy float64
}

func (f *unreliableStore) enter(ctx context.Context) error {
	f.mu.Lock()
	d := time.Duration(1+f.r.IntN(20)) * time.Millisecond
	if f.r.Float64() < 0.03 {
		d = time.Duration(f.r.IntN(1400)) * time.Millisecond
	}
	refused, muted := time.Now().Before(f.alone), time.Now().Before(f.mute)
	f.mu.Unlock()
	if muted {
		time.Sleep(limits.StateTimeout)
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, os.ErrDeadlineExceeded)
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, ctx.Err())
	}
	if refused || f.s.Unavailable() {
		return storage.ErrNotExecuted
	}
	return nil
}

func (f *unreliableStore) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.Float64() < p
}

func (f *unreliableStore) loses() bool {
	f.mu.Lock()
	p := f.lossy
	f.mu.Unlock()
	return f.chance(p)
}

func (f *unreliableStore) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	if err := f.enter(ctx); err != nil {
		return protocol.KeyValue{}, err
	}
	p, _ := f.s.Get(key)
	return p, nil
}

func (f *unreliableStore) CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	if err := f.enter(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	if f.keep && t.Operations[0].Put == storage.KeyLeader {
		f.kept = append(f.kept, t)
		f.mu.Unlock()
		return 0, storage.ErrOutcomeUnknown
	}
	f.mu.Unlock()
	if f.chance(f.lossy) {
		// No answer; it is applied some time later, or not at all.
		if f.chance(0.7) {
			f.mu.Lock()
			d := time.Duration(f.r.IntN(40)) * time.Second
			f.mu.Unlock()
			time.AfterFunc(d, func() { f.s.CompareAndSwap(t) })
		}
		return 0, storage.ErrOutcomeUnknown
	}
	status, r := f.s.CompareAndSwap(t)
	switch {
	case status == 400:
		return 0, storage.ErrLeaseExpired
	case status == 409:
		return 0, &storage.ConflictError{FailedKeys: r.FailedKeys}
	}
	if f.chance(f.lossy) {
		return 0, storage.ErrOutcomeUnknown
	}
	return r.Revision, nil
}

func (f *unreliableStore) List(ctx context.Context, prefix string, each func(protocol.KeyValue) error) (uint64, error) {
	if err := f.enter(ctx); err != nil {
		return 0, err
	}
	l := f.s.List(prefix, "", limits.StatePageSize)
	for _, p := range l.Items {
		if err := each(p); err != nil {
			return 0, err
		}
	}
	return l.Revision, nil
}

func (f *unreliableStore) CreateLease(ctx context.Context, life time.Duration) (uint64, error) {
	if err := f.enter(ctx); err != nil {
		return 0, err
	}
	return f.s.CreateLease(life), nil
}

func (f *unreliableStore) RenewLease(ctx context.Context, id uint64) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	if !f.s.RenewLease(id) {
		return storage.ErrLeaseExpired
	}
	return nil
}

func (f *unreliableStore) Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	end := time.After(limits.WatchDuration)
	for {
		r, _ := f.s.Changes(prefix, since)
		if len(r.Changes) > 0 && !f.s.Unavailable() {
			return r, nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-end:
			return r, nil
		case <-ctx.Done():
			return r, ctx.Err()
		}
	}
}
