package storage

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

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
