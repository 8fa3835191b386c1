package storage

import (
	"errors"
	"fmt"
	"net"
)

// Outcomes of a call that are not answers.
var (
	// ErrNotExecuted: the service said that it did not carry the request out (429, 503), or nothing
	// was sent.
	ErrNotExecuted = errors.New("state service refused")
	// ErrRateLimited: it was refused because more was asked than the service's rates allow. It is
	// an ErrRefused as well.
	ErrRateLimited = errors.New("over the state service's rate")
	// ErrOutcomeUnknown: there was no answer; the request may have been carried out, or may still be.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrLeaseExpired: the hold is over.
	ErrLeaseExpired = errors.New("no such hold")
	// ErrCompacted: the watch began too long ago; the keys must be read again.
	ErrCompacted = errors.New("changes no longer kept")
	// ErrBadRequest: the service held the request to be malformed.
	ErrBadRequest = errors.New("state service rejected the request")
)

// IsTimeout tells whether a call failed only because time went by without an answer. The service
// may then be out of reach, but a process that gets too little of its processor sees the same.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// ConflictError reports the keys whose guards failed.
type ConflictError struct{ FailedKeys []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", c.FailedKeys) }

// Has tells whether a key is among those that failed.
func (c *ConflictError) Has(key string) bool {
	for _, k := range c.FailedKeys {
		if k == key {
			return true
		}
	}
	return false
}
