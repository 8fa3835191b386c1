package standin

import (
	"context"
	"errors"
	"net"
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
	// Delay keeps packets and delivers them in order once the link is open again, also those of
	// connections given up meanwhile. A connection attempt hangs.
	Delay
	// Drop loses packets for good.
	Drop
)

// acceptBacklog is how many connections wait to be accepted at most.
const acceptBacklog = 64

var errConnectionRefused = errors.New("connection refused")

// linkKey names a link by the hosts at its ends.
type linkKey struct{ from, to string }

// Network is a network in memory whose links can be cut one by one and in one direction. Addresses
// are host:port. It is safe for concurrent use.
type Network struct {
	mu           sync.Mutex
	latency      time.Duration
	extraLatency map[string]time.Duration // of packets from or to a host
	listeners    map[string]*listener     // by address
	links        map[linkKey]LinkState    // those that are not open
	conns        map[*conn]bool
	changed      chan struct{} // closed when the state of a link changes next
}

// NewNetwork returns a network whose links are all open.
func NewNetwork(latency time.Duration) *Network {
	return &Network{
		latency:      latency,
		extraLatency: map[string]time.Duration{},
		listeners:    map[string]*listener{},
		links:        map[linkKey]LinkState{},
		conns:        map[*conn]bool{},
		changed:      make(chan struct{}),
	}
}

// SetLink sets the state of the link from one host to another.
func (n *Network) SetLink(from, to string, state LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state == Open {
		delete(n.links, linkKey{from, to})
	} else {
		n.links[linkKey{from, to}] = state
	}
	if state == Refuse {
		n.resetConnsBetween(from, to)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetLinkBothWays sets the state of both links between two hosts.
func (n *Network) SetLinkBothWays(a, b string, state LinkState) {
	n.SetLink(a, b, state)
	n.SetLink(b, a, state)
}

// resetConnsBetween resets the connections between two hosts. The caller holds mu.
func (n *Network) resetConnsBetween(a, b string) {
	for c := range n.conns {
		if (c.local == a && c.remote == b) || (c.local == b && c.remote == a) {
			c.reset()
		}
	}
}

// linkState returns the state of a link, and a channel that closes when the state of any changes.
func (n *Network) linkState(from, to string) (LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[linkKey{from, to}], n.changed
}

// SetLatency sets how long packets take from now on.
func (n *Network) SetLatency(latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// SetExtraLatency sets how much longer packets from or to a host take from now on.
func (n *Network) SetExtraLatency(host string, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraLatency[host] = latency
}

// arrivalTime returns when a packet that is sent now arrives over an open link.
func (n *Network) arrivalTime(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.latency + n.extraLatency[from] + n.extraLatency[to])
}

// Listen accepts connections to an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newListener(addr)
	n.listeners[addr] = l
	return l
}

// StopListening accepts no more connections to an address; those that are open go on.
func (n *Network) StopListening(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeListener(addr)
}

// closeListener closes the listener of an address, if there is one. The caller holds mu.
func (n *Network) closeListener(addr string) {
	if l := n.listeners[addr]; l != nil {
		l.close()
		delete(n.listeners, addr)
	}
}

// RemoveHost removes a host with its listeners and connections.
func (n *Network) RemoveHost(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr := range n.listeners {
		if hostOf(addr) == host {
			n.closeListener(addr)
		}
	}
	for c := range n.conns {
		if c.local == host || c.remote == host {
			c.reset()
		}
	}
}

// Dialer returns a dialer that connects from a host.
func (n *Network) Dialer(from string) transport.Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if err := n.waitForLinks(ctx, from, hostOf(addr)); err != nil {
			return nil, err
		}
		return n.connect(from, addr)
	}
}

// waitForLinks waits until both links between two hosts are open. It fails if one of them refuses
// connections.
func (n *Network) waitForLinks(ctx context.Context, from, to string) error {
	for {
		outbound, changed := n.linkState(from, to)
		inbound, _ := n.linkState(to, from)
		if outbound == Refuse || inbound == Refuse {
			return errConnectionRefused
		}
		if outbound == Open && inbound == Open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect opens a connection from a host to an address.
func (n *Network) connect(from, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return nil, errConnectionRefused
	}
	client, server := newConnPair(n, from, hostOf(addr))
	select {
	case l.accept <- server:
	default:
		return nil, errConnectionRefused
	}
	n.conns[client], n.conns[server] = true, true
	return client, nil
}

// removeConn forgets a connection that is closed.
func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
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

// hostOf returns the host of an address.
func hostOf(addr string) string {
	host, _, _ := strings.Cut(addr, ":")
	return host
}

// address is the address of a listener or of a connection's end.
type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// listener implements net.Listener.
type listener struct {
	addr      address
	accept    chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func newListener(addr string) *listener {
	return &listener{addr: address(addr), accept: make(chan net.Conn, acceptBacklog), done: make(chan struct{})}
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
