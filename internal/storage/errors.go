package storage

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// The errors of a Store wrap one of these, or are a *ConflictError, unless an answer could not be
// decoded or the caller's own function failed. Each says what the caller may conclude.
var (
	// ErrNotExecuted means: the request was not executed and never will be. The service refused it (429
	// or 503), nothing was sent, or the wait for a share of the rate took too long. It may be
	// repeated.
	ErrNotExecuted = errors.New("state service did not execute the request")
	// ErrRateLimited means: the service refused the request because its rate was used up (429). An error
	// that wraps it wraps ErrNotExecuted as well.
	ErrRateLimited = errors.New("rate limit of the state service exceeded")
	// ErrOutcomeUnknown means: no usable answer came. The request may have been executed, or may still
	// be; only reading the keys can show it.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrLeaseExpired means: the lease does not exist any more, and neither do the keys attached to it. A
	// transaction that fails with it was not executed.
	ErrLeaseExpired = errors.New("lease expired or unknown")
	// ErrCompacted means: the changes since the given revision are no longer available. The keys must be
	// listed again.
	ErrCompacted = errors.New("changes are compacted")
	// ErrBadRequest means: the service answered with a status that the call does not provide for, as 400
	// for a malformed or too large request. It was not executed, and repeating it does not help.
	ErrBadRequest = errors.New("state service rejected the request")
	// ErrNoMachineTypes means: no machine types are stored yet, or they are just being replaced.
	ErrNoMachineTypes = errors.New("machine types are not stored yet")
)

// ConflictError means that a transaction was not executed because some of its conditions did not
// hold. The keys can be read again to see why. If an earlier try of the same transaction ended with
// ErrOutcomeUnknown, that one may have been executed.
type ConflictError struct {
	FailedKeys []string // keys of the conditions that did not hold
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("conditions failed for keys %v", c.FailedKeys)
}

// Has reports whether the condition on a key is among those that did not hold.
func (c *ConflictError) Has(key string) bool { return slices.Contains(c.FailedKeys, key) }

// IsTimeout reports whether a call failed only because time went by without an answer. The service
// may then be unreachable, but a process that gets too little of its processor sees the same.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
