package storage

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

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
