package storage

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// An error of a Store wraps one of these errors or a *ConflictError, unless a reply could not be decoded
// or a function passed by the caller failed.
var (
	// ErrNotExecuted means that the request was not executed and never will be, so it may be repeated.
	// Either the service rejected it with a status that says so, or it was not sent, for example because the
	// wait for the client-side rate limit took too long.
	ErrNotExecuted = errors.New("state service did not execute the request")
	// ErrRateLimited means that the service rejected the request because its own rate limit was exceeded
	// (429). An error that wraps it also wraps ErrNotExecuted.
	ErrRateLimited = errors.New("rate limit of the state service exceeded")
	// ErrShareExhausted means that the request was not sent because the wait for this client's share of the
	// service's rate limits would have taken too long. An error that wraps it also wraps ErrNotExecuted.
	ErrShareExhausted = errors.New("share of the state service's rate limit used up")
	// ErrServiceFailing means that the request was not sent because calls have been failing for some time. An
	// error that wraps it also wraps ErrNotExecuted.
	ErrServiceFailing = errors.New("calls to the state service have been failing for some time")
	// ErrOutcomeUnknown means that no usable reply arrived. The request may have been executed, or may
	// still be executed later. Only reading the keys can show whether it was.
	ErrOutcomeUnknown = errors.New("no usable reply from the state service; outcome unknown")
	// ErrLeaseExpired means that the lease no longer exists, and neither do the keys attached to it. A
	// transaction that fails with this error was not executed.
	ErrLeaseExpired = errors.New("lease expired or unknown")
	// ErrCompacted means that the changes since the given revision cannot be read. The keys must be
	// listed again.
	ErrCompacted = errors.New("changes since the revision are no longer available")
	// ErrBadRequest means that the service replied with a status that the call does not expect, such as 400
	// for a malformed or too large request. The request was not executed, and a retry would fail in the
	// same way.
	ErrBadRequest = errors.New("state service rejected the request")
	// ErrNoMachineTypes means that no machine types are stored yet, or that they are being replaced.
	ErrNoMachineTypes = errors.New("no complete machine types are stored")
)

// ConflictError means that a transaction was not executed because some of its conditions did not hold.
// If an earlier attempt at the same transaction ended with ErrOutcomeUnknown, the service may have
// executed that attempt, which then caused the conflict. Reading the keys shows whether it did.
type ConflictError struct {
	FailedKeys []string // keys of the conditions that did not hold
}

// Error implements the error interface.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("conditions on keys %v do not hold", c.FailedKeys)
}

// HasFailedKey reports whether the condition on a key did not hold.
func (c *ConflictError) HasFailedKey(key string) bool { return slices.Contains(c.FailedKeys, key) }

// IsTimeout reports whether a call failed because its timeout passed without a reply. The cause may
// be an unreachable service, or too little CPU time for this process.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
