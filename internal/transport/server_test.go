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

// TestUnreadResponsesCloseConnection: a connection that asks on without reading its answers is closed, so that they
// don't pile up.
func TestUnreadResponsesCloseConnection(t *testing.T) {
	const maxUnread = 2000 // answers that no socket holds
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
			return // closed
		}
		select {
		case <-handled: // the next request is on its own, so nothing is pipelined
		case <-time.After(100 * time.Millisecond): // the next write tells whether the connection was closed
		}
	}
	t.Fatalf("%d answers were taken for a connection that reads none", maxUnread)
}

// TestAddressInUse: a second server on an address fails instead of sharing it.
func TestAddressInUse(t *testing.T) {
	server := startServer(t, ServerOptions{MaxConns: 10, Handle: respondOK})
	second := NewServer(ServerOptions{Addr: server.Addr(), Log: server.options.Log})
	if err := second.checkAddressFree(t.Context()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("second server: %v", err)
	}
}

// TestServerClosesConnectionsOnStop: a server whose context ends closes its connections, and its address is free again.
func TestServerClosesConnectionsOnStop(t *testing.T) {
	server, stop := startStoppableServer(t, ServerOptions{MaxConns: 10, Handle: respondOK})
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := stop(); err != nil {
		t.Errorf("stopped: %v", err)
	}
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a connection of a server that ended: %v", err)
	}
	if err := server.checkAddressFree(t.Context()); err != nil {
		t.Errorf("address: %v", err)
	}
}

// respondOK answers every request with 200.
func respondOK(_ *Message, rsp *Responder) { rsp.Respond(http.StatusOK, nil, 0) }

// TestConnectionMemory: a connection that has had its answer holds little memory, so that all workers
// can be connected within a controller's limit.
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
		t.Errorf("%d bytes of heap for each connection", (after-before)/conns)
	}
}

// liveHeapBytes returns the size of the live heap.
func liveHeapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// openServedConn opens a connection, sends a request on it and reads the answer through the buffer.
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

// dialUntilAccepted dials until the server accepts, as its loop may not have begun.
func dialUntilAccepted(addr string) net.Conn {
	for {
		if conn, err := net.Dial("tcp", addr); err == nil {
			return conn
		}
		time.Sleep(time.Millisecond)
	}
}
