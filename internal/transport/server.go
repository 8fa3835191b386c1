package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/tidwall/evio"

	"quillshunt/internal/limits"
)

// Handler takes a request on the server's loop. It must not block; the answer may
// come later from any goroutine.
type Handler func(req *Message, rsp *Responder)

// Responder answers one request, once.
type Responder struct {
	c    *inbound
	wake func()
	s    *Server
	// sync is true while the handler runs on the loop: then no wake is needed.
	sync bool
	used bool // guarded by c.mu
}

// inbound is what we keep for a connection. The loop owns it but for out and
// done, which the mutex guards because answers come from other goroutines.
type inbound struct {
	dec     *Decoder
	status  int  // of the last answer on this connection, guarded by mu
	busy    bool // a request is being worked on
	last    time.Time
	closing bool
	refused bool // answered, but its sender is not done sending
	fleet   bool // of a machine of the fleet

	mu   sync.Mutex
	out  []byte
	done bool
	end  bool // close after out
}

// Before is the status of the answer before on the same connection, or 0. As nobody pipelines, the sender has got that answer.
func (r *Responder) Before() int {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.status
}

// FromFleet notes, while the handler runs on the loop, that the connection is of a machine of the fleet. It returns false, and the connection ends with
// the answer, if there are as many of these as may be: users need the rest.
func (r *Responder) FromFleet() bool {
	if r.c.fleet {
		return true
	}
	if r.s.MaxFleet > 0 && r.s.fleet >= r.s.MaxFleet {
		r.HangUp()
		return false
	}
	r.c.fleet = true
	r.s.fleet++
	return true
}

// HangUp ends the connection with the answer.
func (r *Responder) HangUp() {
	r.c.mu.Lock()
	r.c.end = true
	r.c.mu.Unlock()
}

// Respond answers the request.
func (r *Responder) Respond(status int, body []byte, retryAfter int) {
	c := r.c
	c.mu.Lock()
	if r.used {
		c.mu.Unlock()
		return
	}
	r.used = true
	c.status = status
	c.out = AppendResponse(nil, status, body, retryAfter, c.end)
	c.done = true
	sync := r.sync
	c.mu.Unlock()
	if !sync {
		r.wake()
	}
}

// Server is the evio server of one address.
//
// evio ends its loop when accept fails, so Run starts it again, and the number of connections is kept
// below the socket limit, so that accept does not fail for want of sockets. It reads from a connection
// only after the answer before is written, which bounds what a slow reader can hold to one answer.
type Server struct {
	Addr      string
	MaxConns  int
	MaxFleet  int           // of these, connections of machines; 0: all
	FleetIdle time.Duration // closes a machine's connection that has been silent this long, if less than IdleConn
	Sockets   *Sockets      // or nil
	Handle    Handler
	Log       *slog.Logger

	conns map[evio.Conn]*inbound // owned by the loop, as is
	fleet int                    // how many of them are of machines

	turn sync.Mutex // instead of the loop, where ServeConn is used
}

// ServeConn serves one connection until it ends, without evio: for networks in memory. The handler is called by one goroutine at a time, as on the loop.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	c := &inbound{dec: NewRequestDecoder(limits.MaxBodyBytes)}
	defer func() {
		s.turn.Lock()
		defer s.turn.Unlock()
		if c.fleet {
			s.fleet--
		}
	}()
	buf := make([]byte, 4096)
	for {
		req, err := c.dec.Next()
		if err != nil {
			_, _ = conn.Write(AppendResponse(nil, 400, nil, 0, true))
			return
		}
		if req == nil {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			c.dec.Feed(buf[:n])
			continue
		}
		answered := make(chan struct{})
		r := &Responder{c: c, wake: func() { close(answered) }, s: s}
		s.turn.Lock()
		c.end = req.Close
		s.Handle(req, r)
		s.turn.Unlock()
		<-answered
		c.mu.Lock()
		out, end := c.out, c.end
		c.out, c.done = nil, false
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
		err := s.serve(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(started) < limits.SweepEvery {
			failures++
		} else {
			failures = 0
		}
		if failures > 20 {
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

func (s *Server) serve(ctx context.Context) error {
	for range s.conns { // of a loop that ended
		s.Sockets.left()
	}
	s.conns, s.fleet = make(map[evio.Conn]*inbound), 0
	var ev evio.Events
	ev.NumLoops = 1
	ev.Opened = func(ec evio.Conn) ([]byte, evio.Options, evio.Action) {
		if len(s.conns) >= s.MaxConns || !s.Sockets.admit() {
			return nil, evio.Options{}, evio.Close
		}
		c := &inbound{dec: NewRequestDecoder(limits.MaxBodyBytes), last: time.Now()}
		ec.SetContext(c)
		s.conns[ec] = c
		return nil, evio.Options{ReuseInputBuffer: true}, evio.None
	}
	ev.Closed = func(ec evio.Conn, _ error) evio.Action {
		if c := s.conns[ec]; c != nil {
			delete(s.conns, ec)
			s.Sockets.left()
			if c.fleet {
				s.fleet--
			}
		}
		return evio.None
	}
	ev.Data = func(ec evio.Conn, in []byte) ([]byte, evio.Action) {
		c, ok := ec.Context().(*inbound)
		if !ok || c.closing {
			return nil, evio.Close
		}
		return s.data(ec, c, in)
	}
	ev.Tick = func() (time.Duration, evio.Action) {
		if ctx.Err() != nil {
			return 0, evio.Shutdown
		}
		s.sweep()
		return limits.SweepEvery, evio.None
	}
	return evio.Serve(ev, "tcp://"+s.Addr)
}

// sweep closes connections that are idle or whose request does not end.
func (s *Server) sweep() {
	now := time.Now()
	for ec, c := range s.conns {
		limit := limits.IdleConn
		if c.fleet && s.FleetIdle > 0 {
			limit = min(limit, s.FleetIdle)
		}
		if c.refused || (!c.busy && c.dec.Started()) {
			limit = limits.SlowRequest
		}
		if now.Sub(c.last) > limit {
			c.closing = true
			ec.Wake()
		}
	}
}

// data handles new bytes (in is nil on a wake): first an answer that is ready, then the next request.
func (s *Server) data(ec evio.Conn, c *inbound, in []byte) ([]byte, evio.Action) {
	if c.refused {
		return nil, evio.None
	}
	if len(in) > 0 {
		if !c.dec.Started() {
			c.last = time.Now()
		}
		c.dec.Feed(in)
		if c.busy && c.dec.Buffered() > limits.MaxHeadBytes+limits.MaxBodyBytes {
			return nil, evio.Close
		}
	}
	for {
		if c.busy {
			c.mu.Lock()
			if !c.done {
				c.mu.Unlock()
				return nil, evio.None
			}
			out := c.out
			end := c.end
			c.out, c.done = nil, false
			c.mu.Unlock()
			c.busy = false
			c.last = time.Now()
			if end || c.dec.Buffered() > 0 {
				// Nobody pipelines. evio would overwrite an answer that is not out
				// yet with the next one, so a pipelining connection gets one answer.
				c.closing = true
				return out, evio.Close
			}
			return out, evio.None
		}
		req, err := c.dec.Next()
		if err != nil {
			// Also for what is too long: any other status would make a user try again in vain.
			out := AppendResponse(nil, 400, nil, 0, true)
			if errors.Is(err, ErrTooLarge) {
				// Closing now, with bytes still coming in, would reset the connection before the answer is read. The
				// rest is thrown away until the sender closes, or for a while.
				c.refused = true
				return out, evio.None
			}
			c.closing = true
			return out, evio.Close
		}
		if req == nil {
			return nil, evio.None
		}
		c.busy = true
		r := &Responder{c: c, wake: func() { ec.Wake() }, s: s, sync: true}
		c.mu.Lock()
		c.end = req.Close
		c.mu.Unlock()
		s.Handle(req, r)
		c.mu.Lock()
		r.sync = false
		done := c.done
		c.mu.Unlock()
		if !done {
			return nil, evio.None
		}
	}
}
