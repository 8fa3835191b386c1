package leader

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// startServer starts an HTTP server on the loopback interface and returns its address. The server runs
// until the test ends.
func startServer(t *testing.T, handle transport.Handler) string {
	t.Helper()
	server := transport.NewServer(transport.ServerOptions{
		Addr: freeAddress(t), MaxConns: 10, Handle: handle, Log: slog.New(slog.DiscardHandler),
	})
	runServer(t, server)
	return server.Addr()
}

// freeAddress returns an unused address on the loopback interface.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// runServer runs a server until the test ends. It returns once the server accepts connections.
func runServer(t *testing.T, server *transport.Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for {
		conn, err := net.Dial("tcp", server.Addr())
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// alwaysRespond returns a handler that answers every request with the same status and body. It encodes
// the body as CBOR.
func alwaysRespond(status int, body any) transport.Handler {
	return func(_ *transport.Message, rsp *transport.Responder) {
		rsp.Respond(status, protocol.Encode(body), 0)
	}
}

// startWorker starts a server that answers every request with the same status and body, and returns a
// client of it.
func startWorker(t *testing.T, status int, body any) *transport.Client {
	t.Helper()
	worker := transport.NewClient(startServer(t, alwaysRespond(status, body)), 1, limits.MaxBodyBytes)
	t.Cleanup(func() { worker.CloseIdleConnections() })
	return worker
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
