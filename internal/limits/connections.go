package limits

import "time"

// Connections.
const (
	// DialTimeout is the longest wait for a connection.
	DialTimeout = time.Second
	// ConnIdleTimeout is how long an inbound connection may be idle before it is closed. Users poll
	// every 5 s, and workers send heartbeats more often.
	ConnIdleTimeout = 60 * time.Second
	// RequestReadTimeout is how long a request may take to arrive as a whole before its connection is
	// closed.
	RequestReadTimeout = 10 * time.Second
	// ConnSweepInterval is how often connections are checked for these two timeouts.
	ConnSweepInterval = 2 * time.Second
	// MaxServerLoopFailures is how many times in a row a server's loop may end right after its start
	// before the server gives up.
	MaxServerLoopFailures = 20
	// ReadBufferBytes is the size of a buffer that one read fills, in bytes. Most messages fit.
	ReadBufferBytes = 4096
	// MaxIdleConnBytes is how much of the heap a connection may keep between requests, in bytes. Two
	// thousand of them stay far below the memory of a controller that has as many sockets.
	MaxIdleConnBytes = 8 << 10

	// MaxPeerStreams is how many calls of one other controller are served at once.
	MaxPeerStreams = 64
	// PeerConnIdleTimeout is how long an unused connection to another controller is kept.
	PeerConnIdleTimeout = 10 * time.Minute
)
