package rig

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Gate is a listener whose connections can be cut: while it is cut, open connections are reset and so
// are new ones.
type Gate struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewGate listens on a free port of the loopback.
func NewGate() (*Gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Gate{Listener: l, conns: map[net.Conn]bool{}}, nil
}

// Address returns the address of the listener.
func (g *Gate) Address() string { return g.Addr().String() }

// SetCut cuts the connections, or ends the cut.
func (g *Gate) SetCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	if cut {
		for c := range g.conns {
			reset(c)
		}
		clear(g.conns)
	}
}

// IsCut reports whether connections are cut now.
func (g *Gate) IsCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		if g.cut {
			g.mu.Unlock()
			reset(c)
			continue
		}
		g.conns[c] = true
		g.mu.Unlock()
		return &gateConn{c, g}, nil
	}
}

type gateConn struct {
	net.Conn
	gate *Gate
}

func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c.Conn)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// Serve serves HTTP on a gate until the process ends.
func Serve(g *Gate, h http.HandlerFunc) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(g) }()
}

// Link forwards connections from a gate to an address.
func Link(g *Gate, target string) {
	go func() {
		for {
			in, err := g.Accept()
			if err != nil {
				return
			}
			go forward(in, target)
		}
	}()
}

func forward(in net.Conn, target string) {
	defer in.Close()
	var d net.Dialer
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	out, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		reset(in.(*gateConn).Conn)
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-done
}
