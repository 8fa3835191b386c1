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

// LinkState is what a network does with packets from one host to another.
type LinkState uint8

const (
	// Open delivers.
	Open LinkState = iota
	// Refuse refuses connections and resets open ones.
	Refuse
	// Delay keeps packets back and delivers them in order once it is over, also of connections given
	// up meanwhile. A connection attempt hangs.
	Delay
	// Drop drops packets for good.
	Drop
)

var errRefused = errors.New("connection refused")

// Network is a network in memory, whose links can be cut one by one and in one direction. Addresses
// are host:port.
type Network struct {
	mu           sync.Mutex
	latency      time.Duration
	extraLatency map[string]time.Duration // what it takes longer from or to a host
	listeners    map[string]*listener
	links        map[[2]string]LinkState
	conns        map[*conn]bool
	changed      chan struct{} // closed at the next change of a cut
}

// NewNetwork returns a Network without cuts.
func NewNetwork(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: map[string]*listener{}, links: map[[2]string]LinkState{}, extraLatency: map[string]time.Duration{}, conns: map[*conn]bool{}, changed: make(chan struct{})}
}

func host(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}

// SetLink cuts the way from one host to another, or opens it.
func (n *Network) SetLink(from, to string, cut LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut == Open {
		delete(n.links, [2]string{from, to})
	} else {
		n.links[[2]string{from, to}] = cut
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

// SetExtraLatency sets how much longer packets from or to a host take from now on.
func (n *Network) SetExtraLatency(name string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraLatency[name] = d
}

// SetLinkBothWays cuts both ways between two hosts.
func (n *Network) SetLinkBothWays(a, b string, cut LinkState) {
	n.SetLink(a, b, cut)
	n.SetLink(b, a, cut)
}

// StopListening takes no more connections to an address; those that are open go on.
func (n *Network) StopListening(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[addr]; l != nil {
		l.close()
		delete(n.listeners, addr)
	}
}

// RemoveHost ends a host: its listeners and connections are gone.
func (n *Network) RemoveHost(name string) {
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

// link is the state of the way from one host to another, and a channel that closes when any changes.
func (n *Network) link(from, to string) (LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[[2]string{from, to}], n.changed
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
			there, changed := n.link(from, to)
			back, _ := n.link(to, from)
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
		a := &conn{network: n, local: from, remote: to, wakeUp: make(chan struct{}, 1)}
		b := &conn{network: n, local: to, remote: from, wakeUp: make(chan struct{}, 1)}
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

// ServeListener serves a listener's connections until it is closed.
func ServeListener(l net.Listener, s *transport.Server) {
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
	addr      address
	accept    chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) close()         { l.closeOnce.Do(func() { close(l.done) }) }
func (l *listener) Close() error   { l.close(); return nil }
func (l *listener) Addr() net.Addr { return l.addr }

type packet struct {
	deliverAt time.Time
	data      []byte // nil: the sender has closed
}

// conn is one end of a connection. What comes to it lies in its queue until its time has come and
// the way is open.
type conn struct {
	network       *Network
	local, remote string
	peer          *conn
	wakeUp        chan struct{}

	mu         sync.Mutex
	queue      []packet
	unread     []byte
	peerClosed bool // the other side has closed
	closed     bool
	wasReset   bool // reset
	packetLost bool // a packet to the other side was lost; what comes after it is of no use there
	deadline   time.Time
}

func (c *conn) notify() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}

func (c *conn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	c.notify()
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		way, changed := c.network.link(c.remote, c.local)
		c.mu.Lock()
		if len(c.unread) > 0 {
			k := copy(b, c.unread)
			c.unread = c.unread[k:]
			c.mu.Unlock()
			return k, nil
		}
		now, next := time.Now(), c.deadline // next: when there is something to do without being woken
		switch {
		case c.closed:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case c.wasReset:
			c.mu.Unlock()
			return 0, fmt.Errorf("%w: connection reset", io.ErrUnexpectedEOF)
		case !c.deadline.IsZero() && !now.Before(c.deadline):
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case c.peerClosed:
			c.mu.Unlock()
			return 0, io.EOF
		case way == Open && len(c.queue) > 0:
			p := c.queue[0]
			if p.deliverAt.After(now) {
				if next.IsZero() || p.deliverAt.Before(next) {
					next = p.deliverAt
				}
				break
			}
			c.queue = c.queue[1:]
			c.unread, c.peerClosed = p.data, p.data == nil
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
	case <-c.wakeUp:
	case <-changed:
	case <-due:
	}
}

// send queues a packet at the other side.
func (c *conn) send(data []byte) {
	way, _ := c.network.link(c.local, c.remote)
	c.mu.Lock()
	c.packetLost = c.packetLost || way == Drop
	gap := c.packetLost
	c.mu.Unlock()
	if gap {
		return
	}
	c.network.mu.Lock()
	at := time.Now().Add(c.network.latency + c.network.extraLatency[c.local] + c.network.extraLatency[c.remote])
	c.network.mu.Unlock()
	p := c.peer
	p.mu.Lock()
	p.queue = append(p.queue, packet{deliverAt: at, data: data})
	p.mu.Unlock()
	p.notify()
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	closed, broken, late := c.closed, c.wasReset, !c.deadline.IsZero() && !time.Now().Before(c.deadline)
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
	c.notify()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.notify()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil }
func (c *conn) LocalAddr() net.Addr               { return address(c.local) }
func (c *conn) RemoteAddr() net.Addr              { return address(c.remote) }
