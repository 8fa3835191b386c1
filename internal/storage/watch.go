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
	"quillshunt/internal/transport"
)

// Watch returns the changes of keys with a prefix after a revision. If there are none yet, it waits for
// up to limits.WatchDuration, and then returns no changes. The error wraps ErrCompacted if the changes
// are no longer available, or too large for one reply.
func (s *Store) Watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	changes, err := s.watch(ctx, prefix, since)
	if err != nil {
		return changes, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return changes, nil
}

// watch makes the call for Watch. It does not record the outcome in the service's health: during an outage
// a watch stays open without a reply, so its outcome says nothing about the service.
func (s *Store) watch(ctx context.Context, prefix string, since uint64) (protocol.WatchReply, error) {
	var none protocol.WatchReply
	if err := s.waitForRateLimit(ctx, 0); err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, limits.WatchDuration+limits.WatchGrace)
	defer cancel()
	target := "/watch?Starts=" + url.QueryEscape(prefix) + "&Since=" + strconv.FormatUint(since, 10) +
		"&HoldMs=" + strconv.FormatInt(limits.WatchDuration.Milliseconds(), 10)
	reply, err := s.watchClient.Do(ctx, http.MethodGet, target, nil)
	if errors.Is(err, transport.ErrTooLarge) {
		return none, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if reply, err = checkReply(reply, err); err != nil {
		return none, err
	}
	switch reply.Status {
	case http.StatusOK:
		return decodeReply[protocol.WatchReply](reply)
	case http.StatusGone:
		return none, ErrCompacted
	}
	return none, unexpectedStatus(reply.Status)
}
