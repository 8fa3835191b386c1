package storage

import (
	"context"
	"fmt"
	"net/http"

	"quillshunt/internal/protocol"
)

// CompareAndSwap executes a transaction atomically and returns its revision, which is the new version of
// the keys that it puts. If a condition does not hold, the error wraps a *ConflictError. If an operation
// refers to a lease that no longer exists, the error wraps ErrLeaseExpired.
func (s *Store) CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	revision, err := s.compareAndSwap(ctx, t)
	if err != nil {
		return 0, fmt.Errorf("execute transaction: %w", err)
	}
	return revision, nil
}

func (s *Store) compareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	if err := s.waitForRateLimit(ctx, len(t.Operations)); err != nil {
		return 0, err
	}
	s.health.writeOperations.Add(int64(len(t.Operations)))
	reply, err := s.call(ctx, http.MethodPost, "/txn", protocol.Encode(t))
	if err != nil {
		return 0, err
	}
	switch reply.Status {
	case http.StatusOK, http.StatusConflict:
		result, err := decodeReply[protocol.TransactionReply](reply)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		if reply.Status == http.StatusConflict {
			return 0, &ConflictError{FailedKeys: result.FailedKeys}
		}
		return result.Revision, nil
	case http.StatusBadRequest:
		// A well-formed transaction is rejected only if a lease that it refers to no longer exists.
		if hasLease(t) {
			return 0, ErrLeaseExpired
		}
	}
	return 0, unexpectedStatus(reply.Status)
}

// hasLease reports whether any operation of a transaction attaches a key to a lease.
func hasLease(t protocol.Transaction) bool {
	for _, op := range t.Operations {
		if op.Lease != 0 {
			return true
		}
	}
	return false
}
