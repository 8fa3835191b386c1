package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// Handler handles a request on the server's loop. It must not block; the answer may come later from
// any goroutine.
type Handler func(req *Message, rsp *Responder)

// ServerOptions configure a Server.
type ServerOptions struct {
	Addr        string        // to listen on
	MaxConns    int           // connections at once
	MaxMachines int           // of these, connections of machines; 0: all
	MachineIdle time.Duration // closes an idle machine's connection, if less than ConnIdleTimeout; 0: no own limit
	Sockets     *SocketBudget // which connections count against; nil: none
	Handle      Handler
	Log         *slog.Logger
}

// Server serves HTTP on one address by an event loop of gnet.
//
// gnet ends its loop when accept fails, so Run starts it again, and the number of connections is
// kept below the socket limit, so that accept does not fail for want of sockets. A request on a
// connection is handled only after the answer before is written, which bounds what a slow reader
// can hold to one answer.
type Server struct {
	options ServerOptions

	mu           sync.Mutex                // held by whoever serves a connection; guards what follows
	conns        map[gnet.Conn]*serverConn // of the loop
	machineConns int                       // how many connections are of machines
}

// NewServer returns a server that does not listen yet.
func NewServer(options ServerOptions) *Server { return &Server{options: options} }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.options.Addr }

// ServeConn serves one connection until it ends, without the event loop: for networks in memory.
// The handler is called by one goroutine at a time, as on the loop.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	c := &serverConn{decoder: NewRequestDecoder(limits.MaxBodyBytes)}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.fromMachine {
			s.machineConns--
		}
	}()
	buf := make([]byte, limits.ReadBufferBytes)
	for {
		req, err := c.decoder.Next()
		if err != nil {
			_, _ = conn.Write(AppendResponse(nil, http.StatusBadRequest, nil, 0, true))
			return
		}
		if req == nil {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			c.decoder.Feed(buf[:n])
			continue
		}
		answer, closing := s.handleAndWait(c, req)
		if _, err := conn.Write(answer); err != nil || closing {
			return
		}
	}
}

// handleAndWait hands a request to the handler and waits for the answer. It reports whether the
// connection ends with it.
func (s *Server) handleAndWait(c *serverConn, req *Message) (answer []byte, closing bool) {
	answered := make(chan struct{})
	r := &Responder{conn: c, wake: func() { close(answered) }, server: s}
	s.mu.Lock()
	c.closeAfter = req.Close
	s.options.Handle(req, r)
	s.mu.Unlock()
	<-answered
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, closing = c.answer, c.closeAfter
	c.answer, c.answerReady = nil, false
	return answer, closing
}

// Run serves until the context ends, and then returns nil. It returns an error if the address can't
// be listened on, again and again.
func (s *Server) Run(ctx context.Context) error {
	failures := 0
	for {
		started := time.Now()
		err := s.runLoop(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(started) < limits.ConnSweepInterval {
			failures++
		} else {
			failures = 0
		}
		if failures > limits.MaxServerLoopFailures {
			return fmt.Errorf("listen on %s: %w", s.options.Addr, err)
		}
		s.options.Log.Warn("server loop ended, starting again", "addr", s.options.Addr, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(limits.RetryBackoffMin):
		}
	}
}

// runLoop runs gnet's loop once.
func (s *Server) runLoop(ctx context.Context) error {
	if err := s.checkAddressFree(ctx); err != nil {
		return err
	}
	s.resetConns()
	// With a listener of its own the loop accepts connections itself; else that is a second loop,
	// which wakes the first for each.
	return gnet.Run(&eventHandler{server: s, ctx: ctx}, "tcp://"+s.options.Addr,
		gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithTicker(true),
		gnet.WithReadBufferCap(limits.ReadBufferBytes), gnet.WithLogger(gnetLogger{s.options.Log}))
}

// resetConns forgets the connections of a loop that ended.
func (s *Server) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.conns {
		s.options.Sockets.releaseInbound()
	}
	s.conns, s.machineConns = make(map[gnet.Conn]*serverConn), 0
}

// checkAddressFree fails if another process listens on the address: a listener of the loop's kind
// would share it.
func (s *Server) checkAddressFree(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Addr)
	if err != nil {
		return err
	}
	return listener.Close()
}

// closeIdle closes connections that are idle or whose request does not end. The caller holds mu.
func (s *Server) closeIdle() {
	now := time.Now()
	for conn, c := range s.conns {
		limit := limits.ConnIdleTimeout
		if c.fromMachine && s.options.MachineIdle > 0 {
			limit = min(limit, s.options.MachineIdle)
		}
		if c.draining || (!c.handling && c.decoder.Started()) {
			limit = limits.RequestReadTimeout
		}
		if now.Sub(c.lastActive) > limit {
			c.closing = true
			_ = conn.Wake(nil)
		}
	}
}

// handleBytes handles new bytes of a connection (in is nil when the loop was woken): first an answer
// that is ready, then the next request. It runs on the loop; the caller holds mu.
func (s *Server) handleBytes(conn gnet.Conn, c *serverConn, in []byte) ([]byte, gnet.Action) {
	if c.draining {
		return nil, gnet.None
	}
	if len(in) > 0 {
		if !c.decoder.Started() {
			c.lastActive = time.Now()
		}
		c.decoder.Feed(in)
		if c.handling && c.decoder.Buffered() > limits.MaxHeadBytes+limits.MaxBodyBytes {
			return nil, gnet.Close
		}
	}
	if !c.handling {
		req, err := c.decoder.Next()
		if err != nil {
			return c.rejectMalformed(err)
		}
		if req == nil {
			return nil, gnet.None
		}
		s.handle(conn, c, req)
	}
	return c.takeAnswer()
}

// handle calls the handler with a request. Its answer may be ready already when it returns.
func (s *Server) handle(conn gnet.Conn, c *serverConn, req *Message) {
	c.handling = true
	r := &Responder{conn: c, wake: func() { _ = conn.Wake(nil) }, server: s, inline: true}
	c.mu.Lock()
	c.closeAfter = req.Close
	c.mu.Unlock()
	s.options.Handle(req, r)
	c.mu.Lock()
	r.inline = false
	c.mu.Unlock()
}
