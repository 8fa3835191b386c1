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

// Calls for leases are not subject to the client-side rate limit: there are few of them, and a late
// renewal could end the leadership.

// leasePath returns the URL path of a lease. In the protocol, leases are named holds.
func leasePath(id uint64) string { return "/holds/" + strconv.FormatUint(id, 10) }

// CreateLease creates a lease and returns its ID. Unless it is renewed, the lease expires after the
// given duration by the service's clock. The service then removes the keys attached to it.
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

// RenewLease extends a lease to its full duration again. If the lease no longer exists, the error wraps
// ErrLeaseExpired.
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

// checkRenewalStatus returns the error for the status of the reply to a renewal, or nil if it succeeded.
func checkRenewalStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrLeaseExpired
	}
	return unexpectedStatus(status)
}

// RevokeLease ends a lease at once, so that the service removes the keys attached to it. It is no error
// if the lease no longer exists.
func (s *Store) RevokeLease(ctx context.Context, id uint64) error {
	if _, err := s.call(ctx, http.MethodDelete, leasePath(id), nil); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}
