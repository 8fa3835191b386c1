package standin

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// packet is the data of one Write, or the end of the stream after the sender has closed its end.
type packet struct {
	deliverAt time.Time
	data      []byte // nil: the sender has closed its end
}

// conn is one end of a connection. It implements net.Conn. Packets sent to this end stay in its queue until
// their delivery time has come and the link from the other end is open.
type conn struct {
	network       *Network
	local, remote string
	peer          *conn
	wakeUp        chan struct{} // capacity 1; receives a token when the state of this end changes

	mu         sync.Mutex
	queue      []packet
	unread     []byte // rest of the last delivered packet
	peerClosed bool
	closed     bool
	wasReset   bool
	packetLost bool // a packet was dropped; later ones are useless after the gap and are dropped too
	deadline   time.Time
}

// newConnPair returns both ends of a connection.
func newConnPair(n *Network, clientHost, serverHost string) (client, server *conn) {
	client = &conn{network: n, local: clientHost, remote: serverHost, wakeUp: make(chan struct{}, 1)}
	server = &conn{network: n, local: serverHost, remote: clientHost, wakeUp: make(chan struct{}, 1)}
	client.peer, server.peer = server, client
	return client, server
}

// notify wakes a waiting Read, or makes the next waitForChange return at once.
func (c *conn) notify() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}

// reset makes all further writes at this end fail, and reads once the last delivered packet has been read.
func (c *conn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	c.notify()
}

// Read waits until data has arrived, the connection has ended, or the deadline has passed.
func (c *conn) Read(b []byte) (int, error) {
	for {
		link, changed := c.network.linkState(c.remote, c.local)
		n, retryAt, err := c.tryRead(b, link)
		if n > 0 || err != nil {
			return n, err
		}
		c.waitForChange(retryAt, changed)
	}
}

// tryRead reads data that has arrived, without blocking. If there is none, it returns the time at which to
// try again even if this end is not notified and no link changes, or the zero time if there is no such time.
func (c *conn) tryRead(b []byte, link LinkState) (n int, retryAt time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if len(c.unread) > 0 {
			n = copy(b, c.unread)
			c.unread = c.unread[n:]
			return n, time.Time{}, nil
		}
		now := time.Now()
		if err := c.readError(now); err != nil {
			return 0, time.Time{}, err
		}
		retryAt = c.deadline
		if link != Open || len(c.queue) == 0 {
			return 0, retryAt, nil
		}
		next := c.queue[0]
		if next.deliverAt.After(now) {
			if retryAt.IsZero() || next.deliverAt.Before(retryAt) {
				retryAt = next.deliverAt
			}
			return 0, retryAt, nil
		}
		c.queue = c.queue[1:]
		c.unread, c.peerClosed = next.data, next.data == nil
	}
}

// readError returns the error of a read for which no delivered data is left, or nil if more data may arrive.
// The caller holds mu.
func (c *conn) readError(now time.Time) error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.wasReset:
		return fmt.Errorf("%w: connection reset", io.ErrUnexpectedEOF)
	case c.isPastDeadline(now):
		return os.ErrDeadlineExceeded
	case c.peerClosed:
		return io.EOF
	}
	return nil
}

// isPastDeadline reports whether the deadline has passed. The caller holds mu.
func (c *conn) isPastDeadline(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// waitForChange blocks until this end is notified, a link changes, or the given time has come. The zero time sets no
// time limit.
func (c *conn) waitForChange(until time.Time, linkChanged <-chan struct{}) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-c.wakeUp:
	case <-linkChanged:
	case <-timeout:
	}
}

// send adds a packet to the queue of the other end. It discards the packet if the link drops packets now or
// has dropped an earlier packet of this connection.
func (c *conn) send(data []byte) {
	link, _ := c.network.linkState(c.local, c.remote)
	c.mu.Lock()
	c.packetLost = c.packetLost || link == Drop
	lost := c.packetLost
	c.mu.Unlock()
	if lost {
		return
	}
	deliverAt := c.network.arrivalTime(c.local, c.remote)
	peer := c.peer
	peer.mu.Lock()
	peer.queue = append(peer.queue, packet{deliverAt: deliverAt, data: data})
	peer.mu.Unlock()
	peer.notify()
}

// Write sends data. It never blocks.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	closed, wasReset, late := c.closed, c.wasReset, c.isPastDeadline(time.Now())
	c.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case wasReset:
		return 0, io.ErrClosedPipe
	case late:
		return 0, os.ErrDeadlineExceeded
	}
	c.send(append([]byte{}, b...))
	return len(b), nil
}

// Close closes this end. The other end can still read the data sent before.
func (c *conn) Close() error {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	c.send(nil)
	c.notify()
	c.network.removeConn(c)
	return nil
}

// SetDeadline sets the deadline for reads and writes.
func (c *conn) SetDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
	c.notify()
	return nil
}

// SetReadDeadline sets the deadline for reads. It applies to writes too, which does not matter because they
// never block.
func (c *conn) SetReadDeadline(deadline time.Time) error { return c.SetDeadline(deadline) }

// SetWriteDeadline does nothing, because writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr returns the host of this end.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr returns the host of the other end.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }
