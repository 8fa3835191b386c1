package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestUnreadAnswers: a connection that asks on without reading its answers is closed, so that they
// don't pile up.
func TestUnreadAnswers(t *testing.T) {
	const enough = 2000 // answers that no socket holds
	handled := make(chan struct{}, 1)
	server := startServer(t, &Server{MaxConns: 10, Handle: func(_ *Message, r *Responder) {
		r.Respond(200, make([]byte, limits.MaxBodyBytes), 0)
		handled <- struct{}{}
	}})
	conn, err := net.Dial("tcp", server.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	req := AppendRequest(nil, "GET", "/", server.Addr, nil)
	for range enough {
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
	t.Fatalf("%d answers were taken for a connection that reads none", enough)
}

// TestAddressInUse: a second server on an address fails instead of sharing it.
func TestAddressInUse(t *testing.T) {
	server := startServer(t, &Server{MaxConns: 10, Handle: func(_ *Message, r *Responder) { r.Respond(200, nil, 0) }})
	second := &Server{Addr: server.Addr, Log: server.Log}
	if err := second.checkAddressFree(t.Context()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("second server: %v", err)
	}
}

// TestServerStops: a server whose context ends closes its connections, and its address is free again.
func TestServerStops(t *testing.T) {
	server := &Server{MaxConns: 10, Handle: func(_ *Message, r *Responder) { r.Respond(200, nil, 0) }}
	stop := startStoppableServer(t, server)
	conn, err := net.Dial("tcp", server.Addr)
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
