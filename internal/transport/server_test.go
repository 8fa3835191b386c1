package transport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestUnreadResponsesCloseConnection checks that the server closes a connection that sends requests
// without reading the responses. Otherwise unread responses would accumulate in the server's memory.
func TestUnreadResponsesCloseConnection(t *testing.T) {
	const maxUnread = 2000 // their size exceeds the socket buffers
	handled := make(chan struct{}, 1)
	server := startServer(t, ServerOptions{MaxConns: 10, Handle: func(_ *Message, r *Responder) {
		r.Respond(200, make([]byte, limits.MaxBodyBytes), 0)
		handled <- struct{}{}
	}})
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	req := AppendRequest(nil, "GET", "/", server.Addr(), nil)
	for range maxUnread {
		if _, err := conn.Write(req); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
			return // the server has closed the connection
		}
		select {
		case <-handled: // the next request is sent after this one was handled, so none are pipelined
		case <-time.After(100 * time.Millisecond): // the next write fails if the connection was closed
		}
	}
	t.Fatalf("the connection is still open after %d responses that were not read", maxUnread)
}

// TestAddressInUse checks that a server detects that another server listens on its address. Without the
// check both would share the address.
func TestAddressInUse(t *testing.T) {
	server := startServer(t, ServerOptions{MaxConns: 10, Handle: respondOK})
	second := NewServer(ServerOptions{Addr: server.Addr(), Log: server.options.Log})
	if err := second.checkAddressFree(t.Context()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("second server on the address: error %v, want EADDRINUSE", err)
	}
}

// TestServerClosesConnectionsOnStop checks that a server closes its connections and stops listening on its
// address when its context is cancelled.
func TestServerClosesConnectionsOnStop(t *testing.T) {
	server, stop := startStoppableServer(t, ServerOptions{MaxConns: 10, Handle: respondOK})
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := stop(); err != nil {
		t.Errorf("Run returned %v after its context was cancelled", err)
	}
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from a connection of the stopped server: error %v, want end of file or reset", err)
	}
	if err := server.checkAddressFree(t.Context()); err != nil {
		t.Errorf("the address is not free after the stop: %v", err)
	}
}

// respondOK responds to every request with status 200.
func respondOK(_ *Message, rsp *Responder) { rsp.Respond(http.StatusOK, nil, 0) }

// TestConnectionMemory checks that a connection keeps at most limits.MaxIdleConnBytes of the heap after
// its response, so that the connections of all workers fit into a controller's memory.
func TestConnectionMemory(t *testing.T) {
	const conns = 200
	server := startServer(t, ServerOptions{
		MaxConns: conns + 1,
		Handle:   func(_ *Message, rsp *Responder) { rsp.Respond(http.StatusOK, make([]byte, 2000), 0) },
	})
	req := AppendRequest(nil, "POST", "/v1/report", server.Addr(), make([]byte, 20_000))
	buffer := make([]byte, 8192)
	defer openServedConn(t, server.Addr(), req, buffer).Close()
	before := liveHeapBytes()
	for range conns {
		defer openServedConn(t, server.Addr(), req, buffer).Close()
	}
	if after := liveHeapBytes(); after > before+conns*limits.MaxIdleConnBytes {
		t.Errorf("%d bytes of heap per idle connection, want at most %d", (after-before)/conns, limits.MaxIdleConnBytes)
	}
}

// liveHeapBytes returns the size of the heap after a garbage collection, in bytes.
func liveHeapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// openServedConn opens a connection, sends a request on it, reads the whole response in pieces of
// the buffer's size, and returns the connection.
func openServedConn(t *testing.T, addr string, req, buffer []byte) net.Conn {
	t.Helper()
	conn := dialUntilAccepted(addr)
	if _, err := conn.Write(req); err != nil {
		t.Fatal(err)
	}
	decoder := NewResponseDecoder(limits.MaxBodyBytes)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		decoder.Feed(buffer[:n])
		m, err := decoder.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m != nil {
			return conn
		}
	}
}

// dialUntilAccepted dials until the server accepts a connection. Its event loop may not listen yet.
func dialUntilAccepted(addr string) net.Conn {
	for {
		if conn, err := net.Dial("tcp", addr); err == nil {
			return conn
		}
		time.Sleep(time.Millisecond)
	}
}
