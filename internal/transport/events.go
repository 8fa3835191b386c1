package transport

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// eventHandler handles gnet's events for a server. OnTick and the events of connections lock the server's
// mutex, as gnet calls OnTick in a goroutine of its own.
type eventHandler struct {
	gnet.BuiltinEventEngine
	server *Server
	ctx    context.Context
}

// OnBoot makes the event loop stop once the context is done.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	context.AfterFunc(e.ctx, func() { _ = engine.Stop(context.Background()) })
	return gnet.None
}

// OnOpen registers a new connection, or closes it if MaxConns are open or the socket budget is exhausted.
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

// OnClose removes a closed connection and releases its socket in the budget.
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

// OnTraffic handles bytes that have arrived. It also runs after a wake-up of the connection, and then
// writes the response that is ready or closes the connection.
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
		// The client sends requests without reading the responses, which would accumulate in memory.
		return gnet.Close
	}
	out, action := e.server.handleBytes(conn, c, in)
	if len(out) == 0 {
		return action
	}
	// gnet buffers what the socket does not take at once and writes it later.
	if _, err := conn.Write(out); err != nil {
		return gnet.Close
	}
	return action
}

// OnTick closes connections that have timed out.
func (e *eventHandler) OnTick() (time.Duration, gnet.Action) {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	e.server.closeTimedOutConns()
	return limits.ConnSweepInterval, gnet.None
}

// gnetLogger writes gnet's log lines to the server's log. gnet's informational lines become debug lines,
// and its errors warnings.
type gnetLogger struct{ logger *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Errorf(format string, args ...any) { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }
