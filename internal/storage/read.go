package storage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// Get reads a key. If the key does not exist, the result has Version 0, no Value, and the revision of the
// service at the time of the read.
func (s *Store) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	kv, err := s.get(ctx, key)
	if err != nil {
		return kv, fmt.Errorf("get %s: %w", key, err)
	}
	return kv, nil
}

func (s *Store) get(ctx context.Context, key string) (protocol.KeyValue, error) {
	if err := s.waitForRateLimit(ctx, 0); err != nil {
		return protocol.KeyValue{}, err
	}
	return s.getNow(ctx, key)
}

// getNow reads a key without regard to the rate limits.
func (s *Store) getNow(ctx context.Context, key string) (protocol.KeyValue, error) {
	var kv protocol.KeyValue
	reply, err := s.call(ctx, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return kv, err
	}
	if reply.Status != http.StatusOK && reply.Status != http.StatusNotFound {
		return kv, unexpectedStatus(reply.Status)
	}
	if kv, err = decodeReply[protocol.KeyValue](reply); err != nil {
		return kv, err
	}
	if reply.Status == http.StatusNotFound {
		kv.Version, kv.Value = 0, nil
	}
	return kv, nil
}

// List reads all keys with a prefix, page by page, and calls visit for each in the order of the keys. If
// visit returns an error, List stops and returns that error unchanged. It returns the revision of the
// first page: a Watch from there misses no change, including those between two pages.
func (s *Store) List(ctx context.Context, prefix string, visit func(protocol.KeyValue) error) (uint64, error) {
	return s.list(ctx, prefix, visit, s.listPage)
}

// ListWithRetries is like List, but repeats the read of a page that the service did not execute or answer, until
// the context ends. Pages that were read are not read again. It calls onRetry with the error before each
// repetition.
func (s *Store) ListWithRetries(
	ctx context.Context, prefix string, onRetry func(error), visit func(protocol.KeyValue) error,
) (uint64, error) {
	return s.list(ctx, prefix, visit, func(ctx context.Context, prefix, after string) (protocol.KeyPage, error) {
		var backoff Backoff
		for {
			page, err := s.listPage(ctx, prefix, after)
			retryable := errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown)
			if !retryable || ctx.Err() != nil {
				return page, err
			}
			onRetry(err)
			if !backoff.Wait(ctx) {
				return page, err
			}
		}
	})
}

// readPage reads one page of the keys with a prefix, which starts after the given key.
type readPage func(ctx context.Context, prefix, after string) (protocol.KeyPage, error)

// list reads all keys with a prefix, page by page; see List.
func (s *Store) list(
	ctx context.Context, prefix string, visit func(protocol.KeyValue) error, read readPage,
) (uint64, error) {
	var revision uint64
	after, first := "", true
	for {
		page, err := read(ctx, prefix, after)
		if err != nil {
			return 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if first {
			revision, first = page.Revision, false
		}
		for _, kv := range page.Items {
			if err := visit(kv); err != nil {
				return 0, err
			}
			after = kv.Key
		}
		if !page.Truncated || len(page.Items) == 0 {
			return revision, nil
		}
	}
}

// listPage reads one page of the keys with a prefix. The page starts after the given key, or with the
// first key if that is empty.
func (s *Store) listPage(ctx context.Context, prefix, after string) (protocol.KeyPage, error) {
	if err := s.waitForRateLimit(ctx, 0); err != nil {
		return protocol.KeyPage{}, err
	}
	return s.listPageNow(ctx, prefix, after, limits.StatePageSize)
}

// listPageNow reads a page of at most the given number of keys without regard to the rate limits.
func (s *Store) listPageNow(ctx context.Context, prefix, after string, size int) (protocol.KeyPage, error) {
	var page protocol.KeyPage
	target := "/kv?Starts=" + url.QueryEscape(prefix) + "&Limit=" + strconv.Itoa(size)
	if after != "" {
		target += "&Since=" + url.QueryEscape(after)
	}
	reply, err := s.call(ctx, http.MethodGet, target, nil)
	if err != nil {
		return page, err
	}
	if reply.Status != http.StatusOK {
		return page, unexpectedStatus(reply.Status)
	}
	return decodeReply[protocol.KeyPage](reply)
}
