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

// TestResponseReadAfterDeadline: an answer that was there before the deadline is taken, although the
// process came to read it only after that.
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
		t.Fatalf("nothing was asked: %v, %v", m, err)
	}
	if _, err := conn.conn.Write(AppendRequest(nil, "GET", "/", server.Addr(), nil)); err != nil {
		t.Fatal(err)
	}
	for ctx.Err() == nil {
		m, err := conn.receiveAfterDeadline(timeout)
		if m != nil {
			if string(m.Body) != "held" || !m.Close {
				t.Errorf("answer %q, connection ends: %v", m.Body, m.Close)
			}
			return
		}
		if !errors.Is(err, timeout) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the answer was not seen")
}

// TestRequestLargerThanSocketBuffer: a request that the socket does not take at once is sent whole, and the
// connection can be used again.
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
			t.Fatalf("%v, %d bytes of %d", err, len(m.Body), len(body))
		}
	}
}
