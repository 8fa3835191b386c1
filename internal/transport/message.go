// Package transport implements HTTP/1.1 for the other packages: a codec, a server for inbound
// connections that is built on gnet, and a client that pools outbound connections. It does not interpret
// paths or bodies.
package transport

import "errors"

// Errors of the codec. After one of them the connection on which the message arrived is closed; other
// connections are not affected.
var (
	// ErrMalformed is wrapped by every error about a message that violates the HTTP standard or is
	// ambiguous.
	ErrMalformed = errors.New("http: malformed message")
	// ErrTooLarge means that the head or the body of a message exceeds its size limit.
	ErrTooLarge = errors.New("http: message too large")
)

// Message is an HTTP request or response.
type Message struct {
	Method string // only in requests
	Path   string // only in requests: the target without the query
	Query  string // only in requests: the part of the target after the question mark
	Status int    // only in responses
	Body   []byte
	// Close means that the connection cannot be used after this message, because the sender closes it
	// or the receiver has to.
	Close bool
	// RetryAfter is the value of the Retry-After header in seconds, or 0 if there is none.
	RetryAfter int
}
