package storage

import (
	"context"
	"fmt"

	"quillshunt/internal/protocol"
)

// CompareAndSwap carries out a transaction and returns its revision.
func (s *Store) CompareAndSwap(ctx context.Context, t protocol.Transaction) (uint64, error) {
	if err := s.waitForRate(ctx, len(t.Operations)); err != nil {
		return 0, err
	}
	s.health.writes.Add(int64(len(t.Operations)))
	m, err := s.call(ctx, "POST", "/txn", protocol.Encode(t))
	if err != nil {
		return 0, err
	}
	var r protocol.TransactionReply
	switch m.Status {
	case 200, 409:
		if err := protocol.Decode(m.Body, &r); err != nil {
			return 0, fmt.Errorf("%w: txn: %w", ErrOutcomeUnknown, err)
		}
		if m.Status == 409 {
			return 0, &ConflictError{FailedKeys: r.FailedKeys}
		}
		return r.Revision, nil
	case 400:
		// The one well-formed transaction that is rejected is one whose hold is over.
		for _, op := range t.Operations {
			if op.Lease != 0 {
				return 0, fmt.Errorf("txn: %w", ErrLeaseExpired)
			}
		}
	}
	return 0, fmt.Errorf("%w: txn: status %d", ErrBadRequest, m.Status)
}
