package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// Handler takes a request on the server's loop. It must not block; the answer may
// come later from any goroutine.
type Handler func(req *Message, rsp *Responder)

// Server serves HTTP on one address by an event loop of gnet.
//
// gnet ends its loop when accept fails, so Run starts it again, and the number of connections is
// kept below the socket limit, so that accept does not fail for want of sockets. It handles a
// request on a connection only after the answer before is written, which bounds what a slow reader
// can hold to one answer.
type Server struct {
	Addr        string
	MaxConns    int
	MaxMachines int           // of these, connections of machines; 0: all
	MachineIdle time.Duration // closes a machine's connection that has been silent this long, if less than IdleConn
	Sockets     *SocketBudget // or nil
	Handle      Handler
	Log         *slog.Logger

	mu           sync.Mutex                // held by whoever serves a connection; guards what follows
	conns        map[gnet.Conn]*serverConn // of the loop
	machineConns int                       // how many connections are of machines
}

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
	buf := make([]byte, limits.ReadBytes)
	for {
		req, err := c.decoder.Next()
		if err != nil {
			_, _ = conn.Write(AppendResponse(nil, 400, nil, 0, true))
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
		answered := make(chan struct{})
		r := &Responder{conn: c, wake: func() { close(answered) }, server: s}
		s.mu.Lock()
		c.closeAfter = req.Close
		s.Handle(req, r)
		s.mu.Unlock()
		<-answered
		c.mu.Lock()
		out, end := c.answer, c.closeAfter
		c.answer, c.answerReady = nil, false
		c.mu.Unlock()
		if _, err := conn.Write(out); err != nil || end {
			return
		}
	}
}

// Run serves until the context ends.
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
		if failures > limits.LoopFailures {
			return fmt.Errorf("listen on %s: %w", s.Addr, err)
		}
		s.Log.Warn("server loop ended, starting again", "addr", s.Addr, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(limits.RetryMin):
		}
	}
}

func (s *Server) runLoop(ctx context.Context) error {
	if err := s.checkAddressFree(ctx); err != nil {
		return err
	}
	s.resetConns()
	// With a listener of its own the loop accepts connections itself; else that is a second loop,
	// which wakes the first for each.
	return gnet.Run(&eventHandler{server: s, ctx: ctx}, "tcp://"+s.Addr, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
		gnet.WithTicker(true), gnet.WithReadBufferCap(limits.ReadBytes), gnet.WithLogger(gnetLogger{s.Log}))
}

// resetConns forgets the connections of a loop that ended.
func (s *Server) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.conns {
		s.Sockets.releaseInbound()
	}
	s.conns, s.machineConns = make(map[gnet.Conn]*serverConn), 0
}

// checkAddressFree fails if another process listens on the address: a listener of the loop's kind would share it.
func (s *Server) checkAddressFree(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return err
	}
	return listener.Close()
}

// closeIdle closes connections that are idle or whose request does not end. The caller has the turn.
func (s *Server) closeIdle() {
	now := time.Now()
	for ec, c := range s.conns {
		limit := limits.ConnIdleTimeout
		if c.fromMachine && s.MachineIdle > 0 {
			limit = min(limit, s.MachineIdle)
		}
		if c.draining || (!c.handling && c.decoder.Started()) {
			limit = limits.RequestReadTimeout
		}
		if now.Sub(c.lastActive) > limit {
			c.closing = true
			_ = ec.Wake(nil)
		}
	}
}

// handleBytes handles, on the loop and with the turn, new bytes (in is nil on a wake): first an answer
// that is ready, then the next request.
func (s *Server) handleBytes(ec gnet.Conn, c *serverConn, in []byte) ([]byte, gnet.Action) {
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
		s.handle(ec, c, req)
	}
	return c.takeAnswer()
}

// handle hands a request to the handler.
func (s *Server) handle(ec gnet.Conn, c *serverConn, req *Message) {
	c.handling = true
	r := &Responder{conn: c, wake: func() { _ = ec.Wake(nil) }, server: s, inline: true}
	c.mu.Lock()
	c.closeAfter = req.Close
	c.mu.Unlock()
	s.Handle(req, r)
	c.mu.Lock()
	r.inline = false
	c.mu.Unlock()
}
