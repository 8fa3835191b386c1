package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"quillshunt/internal/transport"
)

// Cut is what a network does with packets from one host to another.
type Cut uint8

const (
	// Open delivers.
	Open Cut = iota
	// Refuse refuses connections and resets open ones.
	Refuse
	// Hold keeps packets back and delivers them in order once it is over, also of connections given
	// up meanwhile. A connection attempt hangs.
	Hold
	// Lose drops packets for good.
	Lose
)

var errRefused = errors.New("connection refused")

// Network is a network in memory, whose links can be cut one by one and in one direction. Addresses
// are host:port.
type Network struct {
	mu        sync.Mutex
	latency   time.Duration
	slow      map[string]time.Duration // what it takes longer from or to a host
	listeners map[string]*listener
	cuts      map[[2]string]Cut
	conns     map[*conn]bool
	changed   chan struct{} // closed at the next change of a cut
}

// NewNetwork returns a Network without cuts.
func NewNetwork(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: map[string]*listener{}, cuts: map[[2]string]Cut{}, slow: map[string]time.Duration{}, conns: map[*conn]bool{}, changed: make(chan struct{})}
}

func host(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}

// Set cuts the way from one host to another, or opens it.
func (n *Network) Set(from, to string, cut Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut == Open {
		delete(n.cuts, [2]string{from, to})
	} else {
		n.cuts[[2]string{from, to}] = cut
	}
	if cut == Refuse {
		for c := range n.conns {
			if (c.local == from && c.remote == to) || (c.local == to && c.remote == from) {
				c.reset()
			}
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetLatency sets how long packets take from now on.
func (n *Network) SetLatency(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = d
}

// SetSlow sets how much longer packets from or to a host take from now on.
func (n *Network) SetSlow(name string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[name] = d
}

// Both cuts both ways between two hosts.
func (n *Network) Both(a, b string, cut Cut) {
	n.Set(a, b, cut)
	n.Set(b, a, cut)
}

// Unlisten takes no more connections to an address; those that are open go on.
func (n *Network) Unlisten(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[addr]; l != nil {
		l.close()
		delete(n.listeners, addr)
	}
}

// Down ends a host: its listeners and connections are gone.
func (n *Network) Down(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, l := range n.listeners {
		if host(addr) == name {
			l.close()
			delete(n.listeners, addr)
		}
	}
	for c := range n.conns {
		if c.local == name || c.remote == name {
			c.reset()
		}
	}
}

// way is the state of the way from one host to another, and a channel that closes when any changes.
func (n *Network) way(from, to string) (Cut, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}], n.changed
}

// Listen takes connections to an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{addr: address(addr), accept: make(chan net.Conn, 64), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dialer dials from a host.
func (n *Network) Dialer(from string) transport.Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		to := host(addr)
		for {
			there, changed := n.way(from, to)
			back, _ := n.way(to, from)
			if there == Refuse || back == Refuse {
				return nil, errRefused
			}
			if there == Open && back == Open {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l := n.listeners[addr]
		if l == nil {
			return nil, errRefused
		}
		a := &conn{n: n, local: from, remote: to, wake: make(chan struct{}, 1)}
		b := &conn{n: n, local: to, remote: from, wake: make(chan struct{}, 1)}
		a.peer, b.peer = b, a
		select {
		case l.accept <- b:
		default:
			return nil, errRefused
		}
		n.conns[a], n.conns[b] = true, true
		return a, nil
	}
}

// Serve serves a listener's connections until it is closed.
func Serve(l net.Listener, s *transport.Server) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.ServeConn(c)
	}
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

type listener struct {
	addr   address
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) close()         { l.once.Do(func() { close(l.done) }) }
func (l *listener) Close() error   { l.close(); return nil }
func (l *listener) Addr() net.Addr { return l.addr }

type packet struct {
	at   time.Time
	data []byte // nil: the sender has closed
}

// conn is one end of a connection. What comes to it lies in its queue until its time has come and
// the way is open.
type conn struct {
	n             *Network
	local, remote string
	peer          *conn
	wake          chan struct{}

	mu     sync.Mutex
	queue  []packet
	rest   []byte
	ended  bool // the other side has closed
	closed bool
	broken bool // reset
	gap    bool // a packet to the other side was lost; what comes after it is of no use there
	until  time.Time
}

func (c *conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *conn) reset() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
	c.poke()
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		way, changed := c.n.way(c.remote, c.local)
		c.mu.Lock()
		if len(c.rest) > 0 {
			k := copy(b, c.rest)
			c.rest = c.rest[k:]
			c.mu.Unlock()
			return k, nil
		}
		now, next := time.Now(), c.until // next: when there is something to do without being woken
		switch {
		case c.closed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case c.broken:
			c.mu.Unlock()
			return 0, fmt.Errorf("%w: connection reset", io.ErrUnexpectedEOF)
		case !c.until.IsZero() && !now.Before(c.until):
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case c.ended:
			c.mu.Unlock()
			return 0, io.EOF
		case way == Open && len(c.queue) > 0:
			p := c.queue[0]
			if p.at.After(now) {
				if next.IsZero() || p.at.Before(next) {
					next = p.at
				}
				break
			}
			c.queue = c.queue[1:]
			c.rest, c.ended = p.data, p.data == nil
			c.mu.Unlock()
			continue
		}
		c.mu.Unlock()
		c.wait(next, changed)
	}
}

// wait waits until there is news, a cut changes, or a time has come, if there is one.
func (c *conn) wait(until time.Time, changed <-chan struct{}) {
	var due <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-c.wake:
	case <-changed:
	case <-due:
	}
}

// send queues a packet at the other side.
func (c *conn) send(data []byte) {
	way, _ := c.n.way(c.local, c.remote)
	c.mu.Lock()
	c.gap = c.gap || way == Lose
	gap := c.gap
	c.mu.Unlock()
	if gap {
		return
	}
	c.n.mu.Lock()
	at := time.Now().Add(c.n.latency + c.n.slow[c.local] + c.n.slow[c.remote])
	c.n.mu.Unlock()
	p := c.peer
	p.mu.Lock()
	p.queue = append(p.queue, packet{at: at, data: data})
	p.mu.Unlock()
	p.poke()
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	closed, broken, late := c.closed, c.broken, !c.until.IsZero() && !time.Now().Before(c.until)
	c.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case broken:
		return 0, io.ErrClosedPipe
	case late:
		return 0, os.ErrDeadlineExceeded
	}
	c.send(append([]byte{}, b...))
	return len(b), nil
}

func (c *conn) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return nil
	}
	c.send(nil)
	c.poke()
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.until = t
	c.mu.Unlock()
	c.poke()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil }
func (c *conn) LocalAddr() net.Addr               { return address(c.local) }
func (c *conn) RemoteAddr() net.Addr              { return address(c.remote) }
