package limits

import "time"

// Connections.
const (
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout = time.Second
	// ConnIdleTimeout is how long an inbound connection may be idle before it is closed. Users poll every
	// 5 s, and workers send heartbeats more often than that.
	ConnIdleTimeout = 60 * time.Second
	// RequestReadTimeout is the time within which a whole request must arrive. Otherwise its connection is
	// closed.
	RequestReadTimeout = 10 * time.Second
	// ConnSweepInterval is the time between two checks of all connections for these two timeouts.
	ConnSweepInterval = 2 * time.Second
	// LoopStalledTicks is the number of checks in a row, ConnSweepInterval apart, after which an event loop
	// that has not run in between counts as stalled. A busy loop runs several times a second.
	LoopStalledTicks = 4
	// MaxStackDumpBytes is the largest size of the goroutines' stacks in a log line, in bytes.
	MaxStackDumpBytes = 256 << 10
	// MaxServerLoopFailures is how many times in a row a server restarts an event loop that ended shortly
	// after its start. After one more such failure, the server returns an error.
	MaxServerLoopFailures = 20
	// ReadBufferBytes is the size of the buffer for one read, in bytes. Most messages fit into it.
	ReadBufferBytes = 4096
	// MaxIdleConnBytes is the largest amount of heap memory that a connection may keep between requests,
	// in bytes. It keeps the total for two thousand connections far below the memory of a controller that
	// has as many sockets.
	MaxIdleConnBytes = 8 << 10

	// MaxPeerStreams is the maximum number of concurrent calls from one other controller.
	MaxPeerStreams = 64
	// PeerConnIdleTimeout is how long an unused connection to another controller is kept open.
	PeerConnIdleTimeout = 10 * time.Minute
)
