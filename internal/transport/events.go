package transport

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// events is what a server does on gnet's events. OnTick has a goroutine of its own, so each takes
// the server's turn.
type events struct {
	gnet.BuiltinEventEngine
	s   *Server
	ctx context.Context
}

// OnBoot ends the loop with the context.
func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	context.AfterFunc(e.ctx, func() { _ = engine.Stop(context.Background()) })
	return gnet.None
}

// OnOpen takes a connection, or closes it if there are too many.
func (e *events) OnOpen(ec gnet.Conn) ([]byte, gnet.Action) {
	s := e.s
	s.turn.Lock()
	defer s.turn.Unlock()
	if len(s.conns) >= s.MaxConns || !s.Sockets.admit() {
		return nil, gnet.Close
	}
	c := &inbound{dec: NewRequestDecoder(limits.MaxBodyBytes), last: time.Now()}
	ec.SetContext(c)
	s.conns[ec] = c
	return nil, gnet.None
}

// OnClose forgets a connection.
func (e *events) OnClose(ec gnet.Conn, _ error) gnet.Action {
	s := e.s
	s.turn.Lock()
	defer s.turn.Unlock()
	if c := s.conns[ec]; c != nil {
		delete(s.conns, ec)
		s.Sockets.leave()
		if c.fleet {
			s.fleet--
		}
	}
	return gnet.None
}

// OnTraffic takes what has arrived on a connection, or writes an answer for which the loop was woken.
func (e *events) OnTraffic(ec gnet.Conn) gnet.Action {
	e.s.turn.Lock()
	defer e.s.turn.Unlock()
	c, ok := ec.Context().(*inbound)
	if !ok || c.closing {
		return gnet.Close
	}
	in, err := ec.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if len(in) > 0 && ec.OutboundBuffered() > 0 {
		return gnet.Close // it asks on and does not read its answers, which must not pile up here
	}
	out, action := e.s.data(ec, c, in)
	if len(out) == 0 {
		return action
	}
	if _, err := ec.Write(out); err != nil { // what the socket does not take at once is written later
		return gnet.Close
	}
	return action
}

// OnTick sweeps.
func (e *events) OnTick() (time.Duration, gnet.Action) {
	e.s.turn.Lock()
	defer e.s.turn.Unlock()
	e.s.sweep()
	return limits.ConnSweepInterval, gnet.None
}

// logger hands gnet's log lines on.
type logger struct{ log *slog.Logger }

func (l logger) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l logger) Infof(format string, args ...any)  { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l logger) Warnf(format string, args ...any)  { l.log.Warn(fmt.Sprintf(format, args...)) }
func (l logger) Errorf(format string, args ...any) { l.log.Warn(fmt.Sprintf(format, args...)) }
func (l logger) Fatalf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
