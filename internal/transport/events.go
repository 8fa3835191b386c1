package transport

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// eventHandler handles gnet's events for a server. OnTick has a goroutine of its own, so each event
// takes the server's mutex.
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

// OnOpen accepts a connection, or closes it if there are too many.
func (e *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	s := e.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.options.MaxConns || !s.options.Sockets.acquireInbound() {
		return nil, gnet.Close
	}
	c := &serverConn{decoder: NewRequestDecoder(limits.MaxBodyBytes), lastActive: time.Now()}
	conn.SetContext(c)
	s.conns[conn] = c
	return nil, gnet.None
}

// OnClose forgets a connection.
func (e *eventHandler) OnClose(conn gnet.Conn, _ error) gnet.Action {
	s := e.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.conns[conn]; c != nil {
		delete(s.conns, conn)
		s.options.Sockets.releaseInbound()
		if c.fromMachine {
			s.machineConns--
		}
	}
	return gnet.None
}

// OnTraffic handles bytes that have arrived, or writes an answer for which the loop was woken.
func (e *eventHandler) OnTraffic(conn gnet.Conn) gnet.Action {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	c, ok := conn.Context().(*serverConn)
	if !ok || c.closing {
		return gnet.Close
	}
	in, err := conn.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if len(in) > 0 && conn.OutboundBuffered() > 0 {
		return gnet.Close // it keeps asking without reading its answers, which must not pile up here
	}
	out, action := e.server.handleBytes(conn, c, in)
	if len(out) == 0 {
		return action
	}
	if _, err := conn.Write(out); err != nil { // gnet writes later what the socket does not take at once
		return gnet.Close
	}
	return action
}

// OnTick closes idle connections.
func (e *eventHandler) OnTick() (time.Duration, gnet.Action) {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	e.server.closeTimedOutConns()
	return limits.ConnSweepInterval, gnet.None
}

// gnetLogger writes gnet's log lines to the server's log.
type gnetLogger struct{ logger *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Errorf(format string, args ...any) { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }
