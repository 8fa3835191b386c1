package soak

import (
	"net"
	"sync"
	"time"
)

// linkState is what a link does with the bytes of its connections.
type linkState struct {
	holdForward  bool // bytes from the client to the server wait until the link is open again
	holdBackward bool // bytes from the server to the client wait
	refuse       bool // connections are reset, and new ones too
	delay        time.Duration
}

// link is a network link to a server: a TCP proxy on the loopback interface whose connections can be
// interrupted and delayed.
type link struct {
	listener net.Listener
	upstream string

	mu      sync.Mutex
	state   linkState
	changed chan struct{} // closed when the state changes
	conns   map[net.Conn]struct{}
}

// newLink returns an open link to a server.
func newLink(upstream string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, upstream: upstream, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.listener.Addr().String() }

// set changes the state. Refused links lose their connections.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state.refuse {
		l.resetAll()
	}
}

// resetAll resets all connections. The caller holds mu.
func (l *link) resetAll() {
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// close ends the link with all its connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.set(linkState{refuse: true})
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

// serve connects a client to the server and passes bytes both ways until one side ends.
func (l *link) serve(client net.Conn) {
	defer l.forget(client)
	if !l.remember(client) {
		return
	}
	l.waitUntilOpen(true)
	server, err := net.DialTimeout("tcp", l.upstream, time.Second)
	if err != nil {
		return
	}
	defer l.forget(server)
	if !l.remember(server) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.pass(server, client, true)
		_ = server.(*net.TCPConn).CloseWrite()
	}()
	l.pass(client, server, false)
	_ = client.Close()
	<-done
}

// remember adds a connection. It returns false if connections are refused.
func (l *link) remember(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return !l.state.refuse
}

func (l *link) forget(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// pass copies bytes in one direction until the source ends. Bytes that were read are delivered also if the
// source has ended since.
func (l *link) pass(to, from net.Conn, forward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.waitUntilOpen(forward)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			l.waitUntilOpen(forward)
			return
		}
	}
}

// waitUntilOpen waits while the link holds bytes of a direction, and then for its delay.
func (l *link) waitUntilOpen(forward bool) {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		held := (forward && state.holdForward) || (!forward && state.holdBackward)
		if !held || state.refuse {
			time.Sleep(state.delay)
			return
		}
		<-changed
	}
}
