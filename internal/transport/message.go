// Package transport moves bytes: the project's own HTTP/1.1 codec, the gnet server for inbound
// connections and a pooled client for outbound calls. It does not know what the messages mean.
package transport

import "errors"

// Errors of the codec. Each costs the connection that the message came on and nothing else.
var (
	// ErrMalformed is wrapped by every error about a message that breaks the standard, or that could
	// be read in two ways.
	ErrMalformed = errors.New("http: malformed message")
	// ErrTooLarge means that a head or a body exceeds its limit.
	ErrTooLarge = errors.New("http: message too large")
)

// Message is one request or response.
type Message struct {
	Method string // requests
	Path   string // requests: the target without its query
	Query  string // requests
	Status int    // responses
	Body   []byte
	// Close reports that the sender closes the connection after this message, or that we must.
	Close bool
	// RetryAfter is the header of that name in seconds, or 0 if there is none.
	RetryAfter int
}
