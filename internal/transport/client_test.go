package transport

import (
	"context"
	"errors"
	"net/http"
	"os"
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// TestResponseReadAfterDeadline checks that the client returns a response that has arrived but was not
// read before the deadline, because the process got too little CPU time.
func TestResponseReadAfterDeadline(t *testing.T) {
	server := startServer(t, ServerOptions{
		MaxConns: 10,
		Handle:   func(_ *Message, rsp *Responder) { rsp.Respond(http.StatusOK, []byte("held"), 0) },
	})
	c := NewClient(server.Addr(), 1, limits.MaxBodyBytes)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := c.acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.close()
	timeout := os.ErrDeadlineExceeded
	if m, err := conn.receiveAfterDeadline(timeout); m != nil || !errors.Is(err, timeout) {
		t.Fatalf("before a request was sent: got %v, error %v; want the timeout error", m, err)
	}
	if _, err := conn.conn.Write(AppendRequest(nil, "GET", "/", server.Addr(), nil)); err != nil {
		t.Fatal(err)
	}
	for ctx.Err() == nil {
		m, err := conn.receiveAfterDeadline(timeout)
		if m != nil {
			if string(m.Body) != "held" || !m.Close {
				t.Errorf("body %q, Close %v; want body \"held\" and Close", m.Body, m.Close)
			}
			return
		}
		if !errors.Is(err, timeout) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the response was not returned")
}

// TestRequestLargerThanSocketBuffer checks that a request is sent completely when the socket does not
// take it in one write, and that the connection can be used again.
func TestRequestLargerThanSocketBuffer(t *testing.T) {
	server := startServer(t, ServerOptions{
		MaxConns: 10,
		Handle:   func(req *Message, rsp *Responder) { rsp.Respond(http.StatusOK, req.Body, 0) },
	})
	c := NewClient(server.Addr(), 1, limits.MaxBodyBytes)
	defer c.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	body := make([]byte, limits.MaxBodyBytes)
	for i := range body {
		body[i] = byte(i % 251)
	}
	for range 20 {
		m, err := c.Do(ctx, "POST", "/", body)
		if err != nil || string(m.Body) != string(body) {
			t.Fatalf("error %v, or a wrong body: %d bytes, want %d", err, len(m.Body), len(body))
		}
	}
}
