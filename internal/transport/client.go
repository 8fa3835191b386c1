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

// ErrNotSent means that no part of a request was sent, as there was no connection to send it on.
var ErrNotSent = errors.New("request not sent")

// Dialer opens a connection to an address. A nil Dialer dials TCP.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Dial opens a connection within limits.DialTimeout.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return d.dialTimeout(ctx, addr, limits.DialTimeout)
}

// dialTimeout opens a connection, or fails once the limit has passed.
func (d Dialer) dialTimeout(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	if d == nil {
		tcp := net.Dialer{Timeout: limit, KeepAlive: -1}
		return tcp.DialContext(ctx, "tcp", addr)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d(ctx, addr)
}

// Client sends requests to one HTTP server and keeps idle connections for reuse. It is safe for
// concurrent use.
type Client struct {
	addr        string
	maxBody     int
	idle        chan *clientConn
	sockets     *SocketBudget // nil: unlimited
	dialer      Dialer
	dialTimeout time.Duration
}

// clientConn is an outbound connection. It carries one request at a time.
type clientConn struct {
	conn    net.Conn
	raw     syscall.RawConn // nil if conn has no socket, as on an in-memory network
	decoder *Decoder
	buffer  []byte
	sockets *SocketBudget // nil: unlimited
}

func (c *clientConn) close() {
	_ = c.conn.Close()
	c.sockets.releaseOutbound()
}

// NewClient returns a client that keeps up to maxIdle idle connections and accepts response bodies of
// up to maxBody bytes.
func NewClient(addr string, maxIdle, maxBody int) *Client {
	return &Client{
		addr:        addr,
		maxBody:     maxBody,
		idle:        make(chan *clientConn, maxIdle),
		dialTimeout: limits.DialTimeout,
	}
}

// WithSockets makes the client's connections count against a socket budget. It must be called before
// the first request.
func (c *Client) WithSockets(s *SocketBudget) *Client {
	c.sockets = s
	return c
}

// WithDialer sets how the client opens connections. It must be called before the first request.
func (c *Client) WithDialer(d Dialer) *Client {
	c.dialer = d
	return c
}

// WithDialTimeout sets how long the client waits for a new connection; the default is
// limits.DialTimeout. It must be called before the first request.
func (c *Client) WithDialTimeout(limit time.Duration) *Client {
	c.dialTimeout = limit
	return c
}

// Addr returns the server's address.
func (c *Client) Addr() string { return c.addr }

// Do sends a request and returns the response. It waits for the response until the context's deadline,
// or for limits.CloudTimeout if the context has none. An error that wraps ErrNotSent means that no part
// of the request was sent. After any other error the server may have executed the request, or may still
// execute it.
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

// acquire returns an idle connection that is still open, or opens a new one.
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

// connect opens a connection within the socket budget.
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

// isOpen reports whether an idle connection is still usable, so that no request is sent on a connection
// that the server has closed. A usable idle connection has nothing to read: end of file means that the
// server has closed it, and unexpected bytes would be taken for the next response.
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

// exchange sends a request and reads the response before the context's deadline.
func (c *clientConn) exchange(ctx context.Context, req []byte) (*Message, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(limits.CloudTimeout)
	}
	// This also replaces the deadline of the previous request.
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	// If the context is cancelled, a deadline in the past ends pending reads and writes at once.
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Now().Add(-time.Second)) })
	defer stop()
	m, err := c.roundTrip(req)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.receiveAfterDeadline(err)
	}
	return m, err
}

// roundTrip sends a request and reads the response. The caller has set the connection's deadline.
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

// roundTripOnSocket is roundTrip for a connection with a socket. It usually needs only two system calls,
// a write and a read: the request is written inside RawConn.Read, when the runtime's poller is already
// prepared for the wait, and the first read follows when the poller reports that the socket is readable.
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

// sendOnSocket writes the whole request. It blocks only if the socket's send buffer is full.
func (c *clientConn) sendOnSocket(fd uintptr, req []byte) error {
	n, errno := writeSocket(fd, req)
	if errno != 0 && errno != syscall.EAGAIN {
		return fmt.Errorf("write: %w", errno)
	}
	if n == len(req) {
		return nil
	}
	_, err := writeAll(c.raw, req[n:]) // the socket's send buffer is full: wait until it takes the rest
	return err
}

// receiveOnSocket reads the bytes that have arrived, without blocking. It returns a nil message and a
// nil error if the response is not complete yet.
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

// decode passes the first n bytes of the buffer to the decoder, and then the end of the stream if end
// is set. It returns a nil message and a nil error if the response is not complete yet.
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

// receiveAfterDeadline returns a response that has arrived but was not read before the deadline, as
// happens when the process gets too little CPU time. If such a response counted as a timeout, an
// overloaded leader would fail to renew its leader lease although the state service has replied. If the
// response is incomplete, it returns the timeout error.
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
		// The cancellation function of exchange may still set a deadline on this connection, which
		// would fail the next request on it.
		m.Close = true
	}
	return m, err
}

// CloseIdleConnections closes the idle connections and returns how many there were. The client can
// still be used.
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
