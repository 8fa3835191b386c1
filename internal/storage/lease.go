package storage

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// The calls on leases do not wait for the shared rate: they are few, and a late renewal costs the
// leadership.

// leasePath returns the path of a lease. On the wire, leases are holds.
func leasePath(id uint64) string { return "/holds/" + strconv.FormatUint(id, 10) }

// CreateLease creates a lease and returns its ID. Unless it is renewed, it expires after the given
// duration, by the service's clock, and the keys attached to it are removed.
func (s *Store) CreateLease(ctx context.Context, duration time.Duration) (uint64, error) {
	id, err := s.createLease(ctx, duration)
	if err != nil {
		return 0, fmt.Errorf("create lease: %w", err)
	}
	return id, nil
}

func (s *Store) createLease(ctx context.Context, duration time.Duration) (uint64, error) {
	request := protocol.LeaseRequest{DurationMs: duration.Milliseconds()}
	reply, err := s.call(ctx, http.MethodPost, "/holds", protocol.Encode(request))
	if err != nil {
		return 0, err
	}
	if reply.Status != http.StatusOK {
		return 0, unexpectedStatus(reply.Status)
	}
	lease, err := decodeReply[protocol.LeaseReply](reply)
	return lease.Lease, err
}

// RenewLease gives a lease its full duration again. The error wraps ErrLeaseExpired if it is over.
func (s *Store) RenewLease(ctx context.Context, id uint64) error {
	reply, err := s.callWithTimeout(ctx, limits.LeaseRenewTimeout, http.MethodPost, leasePath(id)+"/touch", nil)
	if err == nil {
		err = checkRenewalStatus(reply.Status)
	}
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", id, err)
	}
	return nil
}

func checkRenewalStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrLeaseExpired
	}
	return unexpectedStatus(status)
}

// RevokeLease ends a lease at once, which removes the keys attached to it. A lease that is over
// already is no error.
func (s *Store) RevokeLease(ctx context.Context, id uint64) error {
	if _, err := s.call(ctx, http.MethodDelete, leasePath(id), nil); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}
