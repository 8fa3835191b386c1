// Package transport implements HTTP/1.1 for the other packages: a codec, a server for inbound
// connections that is built on gnet, and a client that pools outbound connections. It does not interpret
// paths or bodies.
//
// # Goroutines and locks of the server
//
// A server has one event loop. gnet calls OnOpen, OnTraffic and OnClose on its goroutine, and OnClose also
// from within calls of ours into gnet: a write to a connection that was reset closes it before it returns.
// Therefore no lock is held while a method of gnet is called, and most state needs none:
//
//   - The event loop alone owns the connections of eventHandler and the fields of each serverConn that are not
//     below its mu. The handler of requests runs there too. OnTick runs in a goroutine of gnet's ticker and
//     touches no connection: it passes the search for idle connections to the event loop.
//   - serverConn.mu guards what a response, which may come from any goroutine, hands over to the event loop. It
//     is released before the event loop is woken up.
//   - Counts that other goroutines read are atomic.
//
// The client has no lock. An idle connection is owned by the channel that it waits in, any other one by the
// caller of Do.
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
