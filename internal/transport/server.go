package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
	"quillshunt/internal/watchdog"
)

// Handler handles a request on the server's event loop. It must not block. The response may be sent
// later, from any goroutine.
type Handler func(req *Message, rsp *Responder)

// ServerOptions configure a Server.
type ServerOptions struct {
	Addr               string        // the address to listen on
	MaxConns           int           // maximum number of open connections
	MaxMachineConns    int           // maximum number of these from machines; 0: no separate limit
	MachineIdleTimeout time.Duration // idle timeout for machines, at most ConnIdleTimeout; 0: ConnIdleTimeout
	Sockets            *SocketBudget // the budget that connections count against; nil: none
	Handle             Handler
	Log                *slog.Logger
}

// Server serves HTTP on one address with a gnet event loop.
//
// gnet ends its event loop when accept fails. Run therefore restarts the loop, and MaxConns and the socket
// budget keep the process below its socket limit, so that accept does not fail for lack of sockets.
//
// The server handles one request of a connection at a time. If the client sends the next request before
// the last response is written to the socket, the connection is closed. A client that reads slowly thus
// takes up the memory of one response at most.
//
// A server is used either with Run or with ServeConn.
type Server struct {
	options      ServerOptions
	machineConns atomic.Int64 // open connections from machines
	loopWatchdog *watchdog.Watchdog
	activity     activityRecorder

	handlerMu sync.Mutex // held by ServeConn while the handler runs; Run has one goroutine for it
}

// NewServer returns a server; Run makes it listen.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, loopWatchdog: newLoopWatchdog(options.Log, options.Addr)}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.options.Addr }

// ServeConn serves one connection until it is closed. It works without the event loop and is meant for
// in-memory networks. As on the event loop, only one goroutine at a time runs the handler.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	c := &serverConn{decoder: NewRequestDecoder(limits.MaxBodyBytes)}
	defer func() {
		c.finishDelivery(false)
		if c.fromMachine {
			s.machineConns.Add(-1)
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
		c.requestArrivedAt = time.Now()
		response, closing := s.handleAndAwaitResponse(c, req)
		_, err = conn.Write(response)
		c.finishDelivery(err == nil)
		if err != nil || closing {
			return
		}
	}
}

// handleAndAwaitResponse passes a request to the handler and waits for the response. It reports whether
// the connection is to be closed after the response.
func (s *Server) handleAndAwaitResponse(c *serverConn, req *Message) (response []byte, closing bool) {
	responded := make(chan struct{})
	r := &Responder{conn: c, wake: func() { close(responded) }, server: s}
	c.setCloseAfterResponse(req.Close)
	s.handlerMu.Lock()
	s.options.Handle(req, r)
	s.handlerMu.Unlock()
	<-responded
	c.mu.Lock()
	defer c.mu.Unlock()
	response, closing = c.response, c.closeAfterResponse
	c.response, c.responseReady = nil, false
	return response, closing
}

// Run serves until the context is done, and then returns nil. It restarts the event loop when that
// ends. It returns an error if the loop has ended right after its start more than
// limits.MaxServerLoopFailures times in a row, for example because the address is in use.
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
			return fmt.Errorf("server loop on %s failed %d times in a row: %w", s.options.Addr, failures, err)
		}
		s.options.Log.Warn("server loop ended; restarting", "addr", s.options.Addr, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(limits.RetryBackoffMin):
		}
	}
}

// runLoop runs gnet's event loop until it ends.
func (s *Server) runLoop(ctx context.Context) error {
	if err := s.checkAddressFree(ctx); err != nil {
		return err
	}
	handler := newEventHandler(ctx, s)
	defer handler.releaseConns()
	// WithReusePort gives the event loop its own listener, on which it accepts connections itself. Without
	// it, gnet accepts connections in a second loop, which wakes the event loop for each.
	return gnet.Run(handler, "tcp://"+s.options.Addr,
		gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithTicker(true),
		gnet.WithReadBufferCap(limits.ReadBufferBytes), gnet.WithLogger(gnetLogger{s.options.Log}))
}

// release releases the socket of a connection of the event loop that is closed.
func (s *Server) release(c *serverConn) {
	s.options.Sockets.releaseInbound()
	if c.fromMachine {
		s.machineConns.Add(-1)
	}
}

// LoopStalledFor returns for how long the event loop has been found not to run, at the last check, or 0 if it
// runs. No request is answered then. It may be called by any goroutine.
func (s *Server) LoopStalledFor() time.Duration { return s.loopWatchdog.StalledFor() }

// checkAddressFree returns an error if another process listens on the address. The event loop would not
// fail then: with SO_REUSEPORT it would share the address with that process.
func (s *Server) checkAddressFree(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Addr)
	if err != nil {
		return err
	}
	return listener.Close()
}

// idleLimit returns how long a connection may go on as it is: without a request, or with an incomplete one.
func (s *Server) idleLimit(c *serverConn) time.Duration {
	if c.discardingInput || (!c.requestInProgress && c.decoder.HasPartialMessage()) {
		return limits.RequestReadTimeout
	}
	if c.fromMachine && s.options.MachineIdleTimeout > 0 {
		return min(limits.ConnIdleTimeout, s.options.MachineIdleTimeout)
	}
	return limits.ConnIdleTimeout
}

// handleBytes passes newly arrived bytes to the decoder and the next complete request, if no other is in
// progress, to the handler. It returns the response to the current request if it is ready. in is empty
// after a wake-up of the connection. It runs on the event loop.
func (s *Server) handleBytes(conn gnet.Conn, c *serverConn, in []byte) ([]byte, gnet.Action) {
	if c.discardingInput {
		return nil, gnet.None
	}
	if len(in) > 0 {
		if !c.decoder.HasPartialMessage() {
			c.lastActive = time.Now()
		}
		c.decoder.Feed(in)
		if c.requestInProgress && c.decoder.Buffered() > limits.MaxHeadBytes+limits.MaxBodyBytes {
			return nil, gnet.Close
		}
	}
	if !c.requestInProgress {
		req, err := c.decoder.Next()
		if err != nil {
			return c.rejectMalformed(err)
		}
		if req == nil {
			return nil, gnet.None
		}
		s.handle(conn, c, req)
	}
	return c.takeResponse()
}

// handle passes a request to the handler. The response may be ready when it returns.
func (s *Server) handle(conn gnet.Conn, c *serverConn, req *Message) {
	c.requestInProgress, c.hasRequested = true, true
	c.requestArrivedAt = c.lastActive
	r := &Responder{conn: c, wake: func() { _ = conn.Wake(nil) }, server: s, onEventLoop: true}
	c.setCloseAfterResponse(req.Close)
	s.options.Handle(req, r)
	c.mu.Lock()
	r.onEventLoop = false
	c.mu.Unlock()
}
