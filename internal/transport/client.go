package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"quillshunt/internal/limits"
)

// ErrNotSent means that nothing of a call reached the other side: no connection could be made.
var ErrNotSent = errors.New("not sent")

// Dialer opens a connection to an address. A nil one dials TCP.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Dial opens a connection within limits.DialTimeout.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return d.dialTimeout(ctx, addr, limits.DialTimeout)
}

// dialTimeout opens a connection within a time limit.
func (d Dialer) dialTimeout(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	if d == nil {
		tcp := net.Dialer{Timeout: limit, KeepAlive: -1}
		return tcp.DialContext(ctx, "tcp", addr)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d(ctx, addr)
}

// Client calls one HTTP server and keeps some idle connections to it. It is safe for concurrent use.
type Client struct {
	addr        string
	maxBody     int
	idle        chan *clientConn
	sockets     *SocketBudget // or nil
	dialer      Dialer
	dialTimeout time.Duration // longest wait for a connection
}

// clientConn is an outbound connection; one call at a time uses it.
type clientConn struct {
	conn    net.Conn
	raw     syscall.RawConn // nil if the connection has no socket
	decoder *Decoder
	buffer  []byte
	sockets *SocketBudget
}

func (c *clientConn) close() {
	_ = c.conn.Close()
	c.sockets.releaseOutbound()
}

// NewClient returns a client that keeps up to maxIdle idle connections and accepts bodies of up to
// maxBody bytes.
func NewClient(addr string, maxIdle, maxBody int) *Client {
	return &Client{
		addr:        addr,
		maxBody:     maxBody,
		idle:        make(chan *clientConn, maxIdle),
		dialTimeout: limits.DialTimeout,
	}
}

// WithSockets makes the client's connections count against a budget. It must be called before the
// first call.
func (c *Client) WithSockets(s *SocketBudget) *Client {
	c.sockets = s
	return c
}

// WithDialer sets how the client opens connections. It must be called before the first call.
func (c *Client) WithDialer(d Dialer) *Client {
	c.dialer = d
	return c
}

// WithDialTimeout sets how long the client waits for a connection, instead of limits.DialTimeout. It
// must be called before the first call.
func (c *Client) WithDialTimeout(limit time.Duration) *Client {
	c.dialTimeout = limit
	return c
}

// Addr returns the server's address.
func (c *Client) Addr() string { return c.addr }

// Do sends a request and waits for the answer until the context's deadline, or for
// limits.CloudTimeout if it has none. An error that wraps ErrNotSent means that the other side saw
// nothing; any other error means that the request may have been executed, or may still be.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Message, error) {
	req := AppendRequest(nil, method, target, c.addr, body)
	conn, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	m, err := conn.exchange(ctx, req)
	if err != nil {
		conn.close()
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	if m.Close || conn.decoder.Buffered() > 0 {
		conn.close()
		return m, nil
	}
	select {
	case c.idle <- conn:
	default:
		conn.close()
	}
	return m, nil
}

// acquire returns an idle connection that is still open, or a new one.
func (c *Client) acquire(ctx context.Context) (*clientConn, error) {
	for {
		select {
		case conn := <-c.idle:
			if conn.isOpen() {
				return conn, nil
			}
			conn.close()
		default:
			return c.connect(ctx)
		}
	}
}

// connect opens a connection.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	if !c.sockets.acquireOutbound() {
		return nil, fmt.Errorf("dial %s: %w", c.addr, ErrSocketBudgetExhausted)
	}
	conn, err := c.dialer.dialTimeout(ctx, c.addr, c.dialTimeout)
	if err != nil {
		c.sockets.releaseOutbound()
		return nil, fmt.Errorf("dial %s: %w: %w", c.addr, ErrNotSent, err)
	}
	outbound := &clientConn{
		conn:    conn,
		decoder: NewResponseDecoder(c.maxBody),
		buffer:  make([]byte, limits.ReadBufferBytes),
		sockets: c.sockets,
	}
	if outbound.raw, err = rawConn(conn); err != nil {
		outbound.close()
		return nil, fmt.Errorf("dial %s: %w: %w", c.addr, ErrNotSent, err)
	}
	return outbound, nil
}

// isOpen reports whether an idle connection is still usable, so that a request is not lost on one
// that the other side has closed. There must be nothing to read; stray bytes are as bad as its end.
func (c *clientConn) isOpen() bool {
	if c.raw == nil {
		return true
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, errno := readSocket(fd, c.buffer[:1])
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// exchange sends a request and reads the answer within the deadline of the context.
func (c *clientConn) exchange(ctx context.Context, req []byte) (*Message, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(limits.CloudTimeout)
	}
	if err := c.conn.SetDeadline(deadline); err != nil { // also lifts what ended an earlier call
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	// A cancelled context ends the wait at once.
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Now().Add(-time.Second)) })
	defer stop()
	m, err := c.roundTrip(req)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.receiveAfterDeadline(err)
	}
	return m, err
}

// roundTrip sends a request and reads the answer; deadlines are set already.
func (c *clientConn) roundTrip(req []byte) (*Message, error) {
	if c.raw != nil {
		return c.roundTripOnSocket(req)
	}
	if _, err := c.conn.Write(req); err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	for {
		n, err := c.conn.Read(c.buffer)
		m, decodeErr := c.decode(n, errors.Is(err, io.EOF))
		if m != nil || decodeErr != nil {
			return m, decodeErr
		}
		if err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
	}
}

// roundTripOnSocket does the same with two system calls: the request is written after the poller has
// been told that this goroutine will wait, and nothing is read before the poller says that there is
// something.
func (c *clientConn) roundTripOnSocket(req []byte) (m *Message, err error) {
	sent := false
	waitErr := c.raw.Read(func(fd uintptr) bool {
		if !sent {
			sent = true
			err = c.sendOnSocket(fd, req)
			return err != nil
		}
		m, err = c.receiveOnSocket(fd)
		return m != nil || err != nil
	})
	if err == nil && waitErr != nil {
		err = fmt.Errorf("read: %w", waitErr)
	}
	return m, err
}

func (c *clientConn) sendOnSocket(fd uintptr, req []byte) error {
	n, errno := writeSocket(fd, req)
	if errno != 0 && errno != syscall.EAGAIN {
		return fmt.Errorf("write: %w", errno)
	}
	if n == len(req) {
		return nil
	}
	_, err := writeAll(c.raw, req[n:]) // a full socket: wait until it takes the rest
	return err
}

// receiveOnSocket reads what has arrived. It returns neither a message nor an error if more bytes are
// needed.
func (c *clientConn) receiveOnSocket(fd uintptr) (*Message, error) {
	for {
		n, errno := readSocket(fd, c.buffer)
		switch {
		case errno == syscall.EAGAIN:
			return nil, nil
		case errno != 0:
			return nil, fmt.Errorf("read: %w", errno)
		}
		m, err := c.decode(n, n == 0)
		if m != nil || err != nil || n < len(c.buffer) {
			return m, err
		}
	}
}

// decode hands the first n bytes of the buffer to the decoder, or the end of the stream.
func (c *clientConn) decode(n int, end bool) (*Message, error) {
	if n > 0 {
		c.decoder.Feed(c.buffer[:n])
		if m, err := c.decoder.Next(); m != nil || err != nil {
			return m, err
		}
	}
	if !end {
		return nil, nil
	}
	m, err := c.decoder.HandleEOF()
	if err != nil {
		return nil, fmt.Errorf("read: %w", io.ErrUnexpectedEOF)
	}
	return m, nil
}

// receiveAfterDeadline returns an answer that had arrived although the deadline passed before it was
// read, as happens to a process that gets too little of its processor. If that counted as no answer,
// an overloaded leader would give up its lease. It returns the timeout error if nothing has arrived.
func (c *clientConn) receiveAfterDeadline(timeout error) (m *Message, err error) {
	if c.raw == nil {
		return nil, timeout
	}
	if controlErr := c.raw.Control(func(fd uintptr) { m, err = c.receiveOnSocket(fd) }); controlErr != nil {
		return nil, timeout
	}
	if m == nil && err == nil {
		return nil, timeout
	}
	if m != nil {
		m.Close = true // whoever ended the wait may still set a deadline on this connection
	}
	return m, err
}

// CloseIdleConnections closes the idle connections and returns how many there were. The client can be used again.
func (c *Client) CloseIdleConnections() int {
	for n := 0; ; n++ {
		select {
		case conn := <-c.idle:
			conn.close()
		default:
			return n
		}
	}
}
