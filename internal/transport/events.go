package transport

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// eventHandler is what a server does on gnet's events. OnTick has a goroutine of its own, so each takes
// the server's turn.
type eventHandler struct {
	gnet.BuiltinEventEngine
	server *Server
	ctx    context.Context
}

// OnBoot ends the loop with the context.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	context.AfterFunc(e.ctx, func() { _ = engine.Stop(context.Background()) })
	return gnet.None
}

// OnOpen takes a connection, or closes it if there are too many.
func (e *eventHandler) OnOpen(ec gnet.Conn) ([]byte, gnet.Action) {
	s := e.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.MaxConns || !s.Sockets.acquireInbound() {
		return nil, gnet.Close
	}
	c := &serverConn{decoder: NewRequestDecoder(limits.MaxBodyBytes), lastActive: time.Now()}
	ec.SetContext(c)
	s.conns[ec] = c
	return nil, gnet.None
}

// OnClose forgets a connection.
func (e *eventHandler) OnClose(ec gnet.Conn, _ error) gnet.Action {
	s := e.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[ec]; c != nil {
		delete(s.conns, ec)
		s.Sockets.releaseInbound()
		if c.fromMachine {
			s.machineConns--
		}
	}
	return gnet.None
}

// OnTraffic takes what has arrived on a connection, or writes an answer for which the loop was woken.
func (e *eventHandler) OnTraffic(ec gnet.Conn) gnet.Action {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	c, ok := ec.Context().(*serverConn)
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
	out, action := e.server.handleBytes(ec, c, in)
	if len(out) == 0 {
		return action
	}
	if _, err := ec.Write(out); err != nil { // what the socket does not take at once is written later
		return gnet.Close
	}
	return action
}

// OnTick sweeps.
func (e *eventHandler) OnTick() (time.Duration, gnet.Action) {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	e.server.closeIdle()
	return limits.ConnSweepInterval, gnet.None
}

// gnetLogger hands gnet's log lines on.
type gnetLogger struct{ logger *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Errorf(format string, args ...any) { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }
