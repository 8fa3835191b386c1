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

// LinkState says how a network treats packets from one host to another.
type LinkState uint8

const (
	// Open delivers packets.
	Open LinkState = iota
	// Refuse refuses new connections and resets open ones.
	Refuse
	// Delay holds packets back and delivers them in order once the link is open again, including those of
	// connections that the sender has closed meanwhile. Connection attempts block.
	Delay
	// Drop discards packets that are sent while the link is in this state. Connection attempts block.
	Drop
)

// acceptBacklog is the maximum number of connections of a listener that wait to be accepted.
const acceptBacklog = 64

var errConnectionRefused = errors.New("connection refused")

// linkKey identifies the link from one host to another.
type linkKey struct{ from, to string }

// Network is an in-memory network that connects hosts. The state of each link can be set separately for each
// direction. Addresses have the form host:port. It is safe for concurrent use.
type Network struct {
	mu           sync.Mutex
	latency      time.Duration
	extraLatency map[string]time.Duration // for packets from or to a host
	listeners    map[string]*listener     // by address
	links        map[linkKey]LinkState    // only those that are not open
	conns        map[*conn]bool           // both ends of the open connections
	changed      chan struct{}            // closed at the next change of the state of any link
}

// NewNetwork returns a network on which all links are open and all packets have the given latency.
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

// SetLink sets the state of the link from one host to another. The opposite direction stays as it is, but
// Refuse resets all connections between the two hosts, as each of them uses both directions.
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

// SetLinkBothWays sets the state of the links between two hosts in both directions.
func (n *Network) SetLinkBothWays(a, b string, state LinkState) {
	n.SetLink(a, b, state)
	n.SetLink(b, a, state)
}

// resetConnsBetween resets all connections between two hosts. The caller holds mu.
func (n *Network) resetConnsBetween(a, b string) {
	for c := range n.conns {
		if (c.local == a && c.remote == b) || (c.local == b && c.remote == a) {
			c.reset()
		}
	}
}

// linkState returns the state of a link, and a channel that is closed when the state of any link changes.
func (n *Network) linkState(from, to string) (LinkState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[linkKey{from, to}], n.changed
}

// SetLatency sets the latency of packets that are sent from now on.
func (n *Network) SetLatency(latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// SetExtraLatency sets the latency that is added to packets from or to a host that are sent from now on.
func (n *Network) SetExtraLatency(host string, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraLatency[host] = latency
}

// arrivalTime returns when a packet that is sent now arrives if the link is open.
func (n *Network) arrivalTime(from, to string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.latency + n.extraLatency[from] + n.extraLatency[to])
}

// Listen returns a listener for connections to an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newListener(addr)
	n.listeners[addr] = l
	return l
}

// StopListening closes the listener of an address. Open connections stay open.
func (n *Network) StopListening(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeListener(addr)
}

// closeListener closes and removes the listener of an address, if there is one. The caller holds mu.
func (n *Network) closeListener(addr string) {
	if l := n.listeners[addr]; l != nil {
		l.close()
		delete(n.listeners, addr)
	}
}

// RemoveHost closes the listeners of a host and resets its connections.
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

// Dialer returns a dialer for connections from a host.
func (n *Network) Dialer(from string) transport.Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if err := n.waitForLinks(ctx, from, hostOf(addr)); err != nil {
			return nil, err
		}
		return n.connect(from, addr)
	}
}

// waitForLinks waits until the links between two hosts are open in both directions. It returns
// errConnectionRefused if one of them is in state Refuse, and the context's error if the context ends first.
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

// connect opens a connection from a host to an address. It returns errConnectionRefused if there is no
// listener or its backlog is full.
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

// removeConn removes one end of a connection after it was closed.
func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// ServeListener serves the connections of a listener until the listener is closed.
func ServeListener(l net.Listener, s *transport.Server) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.ServeConn(c)
	}
}

// hostOf returns the host part of an address.
func hostOf(addr string) string {
	host, _, _ := strings.Cut(addr, ":")
	return host
}

// address is the address of a listener (host:port) or of one end of a connection (host). It implements
// net.Addr.
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
