package storage

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

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
