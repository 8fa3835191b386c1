package transport

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"quillshunt/internal/limits"
)

// eventHandler handles gnet's events for one run of a server's event loop. See the package comment for the
// goroutines that own its fields.
type eventHandler struct {
	gnet.BuiltinEventEngine
	server *Server
	ctx    context.Context

	conns map[gnet.Conn]*serverConn // owned by the event loop

	loop     atomic.Pointer[gnet.EventLoop] // nil until the first connection is opened
	watchdog *loopWatchdog                  // owned by the ticker's goroutine

	lastTickAt time.Time // owned by the ticker's goroutine
}

// newEventHandler returns the handler for one run of the event loop, which ends when ctx is done.
func newEventHandler(ctx context.Context, server *Server) *eventHandler {
	server.loopWatchdog.Reset() // of an earlier run
	return &eventHandler{
		server:   server,
		ctx:      ctx,
		conns:    map[gnet.Conn]*serverConn{},
		watchdog: &loopWatchdog{watchdog: server.loopWatchdog},
	}
}

// OnBoot makes the event loop stop once the context is done.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	context.AfterFunc(e.ctx, func() { _ = engine.Stop(context.Background()) })
	return gnet.None
}

// OnOpen registers a new connection, or closes it if MaxConns are open or the socket budget is exhausted.
func (e *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if e.loop.Load() == nil {
		loop := conn.EventLoop()
		e.loop.Store(&loop)
	}
	options := &e.server.options
	if len(e.conns) >= options.MaxConns || !options.Sockets.acquireInbound() {
		e.server.activity.recordRefused()
		return nil, gnet.Close
	}
	now := time.Now()
	c := &serverConn{decoder: NewRequestDecoder(limits.MaxBodyBytes), openedAt: now, lastActive: now}
	conn.SetContext(c)
	e.conns[conn] = c
	return nil, gnet.None
}

// OnClose removes a closed connection and releases its socket in the budget. gnet calls it on the event loop,
// also from within a write that fails.
func (e *eventHandler) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if c := e.conns[conn]; c != nil {
		delete(e.conns, conn)
		e.server.release(c)
		c.finishDelivery(false)
	}
	return gnet.None
}

// OnTraffic handles bytes that have arrived. It also runs after a wake-up of the connection, and then
// writes the response that is ready or closes the connection.
func (e *eventHandler) OnTraffic(conn gnet.Conn) gnet.Action {
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
	// gnet buffers what the socket does not take at once and writes it later. If the write fails, gnet has
	// closed the connection and called OnClose when Write returns.
	if _, err := conn.Write(out); err != nil {
		return gnet.Close
	}
	c.finishDelivery(true)
	return action
}

// OnTick makes the event loop close the connections that have timed out, and checks that the loop has done
// so since the tick before. gnet calls it in the ticker's goroutine.
func (e *eventHandler) OnTick() (time.Duration, gnet.Action) {
	loop := e.loop.Load()
	tickedAt := time.Now()
	timerDelay := time.Duration(0)
	if !e.lastTickAt.IsZero() {
		timerDelay = max(0, tickedAt.Sub(e.lastTickAt)-limits.ConnSweepInterval)
	}
	e.lastTickAt = tickedAt
	if loop != nil && e.watchdog.beginTurn() {
		_ = (*loop).Execute(e.ctx, gnet.RunnableFunc(func(context.Context) error {
			e.server.activity.recordDelays(time.Since(tickedAt), timerDelay)
			e.closeTimedOutConns(*loop)
			e.watchdog.endTurn()
			return nil
		}))
	}
	return limits.ConnSweepInterval, gnet.None
}

// closeTimedOutConns closes connections that have been idle too long, and those on which a request takes
// too long to arrive. It runs on the event loop.
func (e *eventHandler) closeTimedOutConns(loop gnet.EventLoop) {
	now := time.Now()
	var counted Activity
	for conn, c := range e.conns {
		counted.count(c, now)
		if now.Sub(c.lastActive) > e.server.idleLimit(c) {
			_ = loop.Close(conn)
		}
	}
	e.server.activity.recordConnections(counted)
}

// releaseConns releases the sockets of the connections that are still registered after the event loop has
// ended.
func (e *eventHandler) releaseConns() {
	for conn, c := range e.conns {
		delete(e.conns, conn)
		e.server.release(c)
		c.finishDelivery(false)
	}
}

// gnetLogger writes gnet's log lines to the server's log. gnet's informational lines become debug lines,
// and its errors warnings.
type gnetLogger struct{ logger *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.logger.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Errorf(format string, args ...any) { l.logger.Warn(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.logger.Error(fmt.Sprintf(format, args...)) }
