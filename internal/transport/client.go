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

// ErrNotSent marks a call of which nothing reached the other side: the connection could not be made.
var ErrNotSent = errors.New("not sent")

// Dialer makes a connection to an address. A nil one dials TCP.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Dial makes a connection, within DialTimeout.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return d.dialTimeout(ctx, addr, limits.DialTimeout)
}

func (d Dialer) dialTimeout(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	if d == nil {
		tcp := net.Dialer{Timeout: limit, KeepAlive: -1}
		return tcp.DialContext(ctx, "tcp", addr)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d(ctx, addr)
}

// Client calls one HTTP server over a small set of kept connections.
type Client struct {
	addr        string
	maxBody     int
	idle        chan *clientConn
	sockets     *SocketBudget // or nil
	dialer      Dialer
	dialTimeout time.Duration // longest wait for a connection
}

type clientConn struct {
	conn    net.Conn
	raw     syscall.RawConn
	decoder *Decoder
	buffer  []byte
	sockets *SocketBudget
}

func (o *clientConn) close() {
	_ = o.conn.Close()
	o.sockets.releaseOutbound()
}

// NewClient returns a client that keeps up to keep idle connections.
func NewClient(addr string, keep, maxBody int) *Client {
	return &Client{addr: addr, maxBody: maxBody, idle: make(chan *clientConn, keep), dialTimeout: limits.DialTimeout}
}

// WithSockets makes the client's connections count among the sockets. It is called before the first use.
func (c *Client) WithSockets(s *SocketBudget) *Client {
	c.sockets = s
	return c
}

// WithDialer makes the client dial another way. It is called before the first use.
func (c *Client) WithDialer(d Dialer) *Client {
	c.dialer = d
	return c
}

// WithDialTimeout sets how long it waits for a connection instead of DialTimeout. It is called
// before the first use.
func (c *Client) WithDialTimeout(limit time.Duration) *Client {
	c.dialTimeout = limit
	return c
}

// Addr is the server's address.
func (c *Client) Addr() string { return c.addr }

// Do sends a request and waits for the answer until the context's deadline.
// An error that wraps ErrNotSent means that the other side saw nothing; any other error
// means that the request may have been carried out, or may still be.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (*Message, error) {
	req := AppendRequest(nil, method, target, c.addr, body)
	o, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	m, err := o.exchange(ctx, req)
	if err != nil {
		o.close()
		return nil, fmt.Errorf("%s %s%s: %w", method, c.addr, target, err)
	}
	if m.Close || o.decoder.Buffered() > 0 {
		o.close()
		return m, nil
	}
	select {
	case c.idle <- o:
	default:
		o.close()
	}
	return m, nil
}

// acquire returns a kept connection that is still open, or a new one.
func (c *Client) acquire(ctx context.Context) (*clientConn, error) {
	for {
		select {
		case o := <-c.idle:
			if o.isOpen() {
				return o, nil
			}
			o.close()
			continue
		default:
		}
		break
	}
	if !c.sockets.acquireOutbound() {
		return nil, fmt.Errorf("dial %s: %w", c.addr, ErrSocketBudget)
	}
	conn, err := c.dialer.dialTimeout(ctx, c.addr, c.dialTimeout)
	if err != nil {
		c.sockets.releaseOutbound()
		return nil, fmt.Errorf("dial %s: %w: %w", c.addr, ErrNotSent, err)
	}
	o := &clientConn{conn: conn, decoder: NewResponseDecoder(c.maxBody), buffer: make([]byte, limits.ReadBytes), sockets: c.sockets}
	if o.raw, err = rawConn(conn); err != nil {
		o.close()
		return nil, fmt.Errorf("dial %s: %w: %w", c.addr, ErrNotSent, err)
	}
	return o, nil
}

// isOpen looks whether the other side has closed a kept connection meanwhile, so that a request is
// not lost on it. An idle connection has nothing to read; bytes on it are as bad as its end.
func (o *clientConn) isOpen() bool {
	if o.raw == nil {
		return true
	}
	open := false
	err := o.raw.Read(func(fd uintptr) bool {
		_, errno := readSocket(fd, o.buffer[:1])
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

func (o *clientConn) exchange(ctx context.Context, req []byte) (*Message, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(limits.CloudTimeout)
	}
	if err := o.conn.SetDeadline(deadline); err != nil { // also lifts what ended an earlier call
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	// A cancelled context ends the wait at once.
	stop := context.AfterFunc(ctx, func() { _ = o.conn.SetDeadline(time.Now().Add(-time.Second)) })
	defer stop()
	m, err := o.roundTrip(req)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return o.answerAfterDeadline(err)
	}
	return m, err
}

// roundTrip sends a request and reads the answer.
func (o *clientConn) roundTrip(req []byte) (*Message, error) {
	if o.raw != nil {
		return o.roundTripOnSocket(req)
	}
	if _, err := o.conn.Write(req); err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	for {
		n, err := o.conn.Read(o.buffer)
		m, derr := o.feed(n, err == io.EOF)
		if m != nil || derr != nil {
			return m, derr
		}
		if err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
	}
}

// roundTripOnSocket does the same with two system calls: the request is written after the poller has
// been told that this goroutine will wait, and nothing is read before the poller says that there is
// something.
func (o *clientConn) roundTripOnSocket(req []byte) (m *Message, err error) {
	sent := false
	waitErr := o.raw.Read(func(fd uintptr) bool {
		if !sent {
			sent = true
			err = o.sendOnSocket(fd, req)
			return err != nil
		}
		m, err = o.receiveOnSocket(fd)
		return m != nil || err != nil
	})
	if err == nil && waitErr != nil {
		err = fmt.Errorf("read: %w", waitErr)
	}
	return m, err
}

func (o *clientConn) sendOnSocket(fd uintptr, req []byte) error {
	n, errno := writeSocket(fd, req)
	if errno != 0 && errno != syscall.EAGAIN {
		return fmt.Errorf("write: %w", errno)
	}
	if n == len(req) {
		return nil
	}
	_, err := writeAll(o.raw, req[n:]) // a full socket: wait until it takes the rest
	return err
}

// receiveOnSocket takes what has arrived. It returns neither a message nor an error if more has to come.
func (o *clientConn) receiveOnSocket(fd uintptr) (*Message, error) {
	for {
		n, errno := readSocket(fd, o.buffer)
		switch {
		case errno == syscall.EAGAIN:
			return nil, nil
		case errno != 0:
			return nil, fmt.Errorf("read: %w", errno)
		}
		m, err := o.feed(n, n == 0)
		if m != nil || err != nil || n < len(o.buffer) {
			return m, err
		}
	}
}

// feed hands the first n bytes of the buffer to the decoder, or the end of the stream.
func (o *clientConn) feed(n int, end bool) (*Message, error) {
	if n > 0 {
		o.decoder.Feed(o.buffer[:n])
		if m, err := o.decoder.Next(); m != nil || err != nil {
			return m, err
		}
	}
	if !end {
		return nil, nil
	}
	m, err := o.decoder.EOF()
	if err != nil {
		return nil, fmt.Errorf("read: %w", io.ErrUnexpectedEOF)
	}
	return m, nil
}

// answerAfterDeadline looks, after a deadline, whether the answer has come all the same: a process that gets
// less of its processor than it needs may be late to read it. To take that for silence of the other
// side would make an overloaded leader give up its lease. late is the error where nothing has come.
func (o *clientConn) answerAfterDeadline(late error) (m *Message, err error) {
	if o.raw == nil {
		return nil, late
	}
	if cerr := o.raw.Control(func(fd uintptr) { m, err = o.receiveOnSocket(fd) }); cerr != nil {
		return nil, late
	}
	if m == nil && err == nil {
		return nil, late
	}
	if m != nil {
		m.Close = true // whoever ended the wait may still set a deadline on this connection
	}
	return m, err
}

// Close drops the kept connections and returns how many there were. The client can be used again.
func (c *Client) Close() int {
	for n := 0; ; n++ {
		select {
		case o := <-c.idle:
			o.close()
		default:
			return n
		}
	}
}
