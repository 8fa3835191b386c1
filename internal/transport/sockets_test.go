package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// startServer runs a server on a free address until the test ends.
func startServer(t testing.TB, options ServerOptions) *Server {
	t.Helper()
	server, _ := startStoppableServer(t, options)
	return server
}

// startStoppableServer runs a server on a free address until the test ends or stop is called. stop waits
// for Server.Run to return, and returns its error.
func startStoppableServer(t testing.TB, options ServerOptions) (server *Server, stop func() error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options.Addr, options.Log = ln.Addr().String(), slog.New(slog.DiscardHandler)
	ln.Close()
	server = NewServer(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	for !isServing(server.Addr()) {
		time.Sleep(time.Millisecond)
	}
	return server, func() error {
		cancel()
		return <-ended
	}
}

// isServing reports whether the server rejects a malformed request, which no handler sees, and has closed the
// connection. A connection alone shows nothing: before its event loop runs, the server listens for a moment to
// find out whether its address is free.
func isServing(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET\r\n\r\n")); err != nil {
		return false
	}
	response, err := io.ReadAll(conn)
	return err == nil && len(response) > 0
}

// getStatus sends a GET request for a path on a new connection. It returns the status of the response, or
// 0 if there is none, and the client, which keeps the connection.
func getStatus(addr, path string) (int, *Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := NewClient(addr, 1, limits.MaxBodyBytes)
	m, err := c.Do(ctx, "GET", path, nil)
	if err != nil {
		return 0, c
	}
	return m.Status, c
}

// TestSocketBudgetExhausted opens more connections than the socket budget and the server's limits allow.
// It checks that machines get no more connections than MaxMachineConns, that users can still connect, that
// inbound connections replace idle connections to workers, and that the server keeps running.
func TestSocketBudgetExhausted(t *testing.T) {
	const total, headroom, maxConns, maxMachines = 60, 5, 50, 30
	sockets := NewSocketBudget(total, headroom)
	server := startServer(t, ServerOptions{
		MaxConns: maxConns, MaxMachineConns: maxMachines, Sockets: sockets,
		Handle: func(req *Message, rsp *Responder) {
			if req.Path == "/v1/report" && !rsp.ClaimMachineSlot() {
				rsp.Respond(http.StatusServiceUnavailable, nil, 0)
				return
			}
			rsp.Respond(http.StatusOK, nil, 0)
		},
	})
	worker := startServer(t, ServerOptions{MaxConns: 2 * total, Handle: respondOK})

	// Connections to workers use all sockets except the headroom. Further ones fail before a request is
	// sent.
	workerClients := connectUntilExhausted(t, worker.Addr(), sockets)
	if n := len(workerClients); n < total-headroom-1 || n > total-headroom {
		t.Fatalf("%d connections to workers, of %d sockets with a headroom of %d", n, total, headroom)
	}

	inboundClients := &retryingClients{t: t, addr: server.Addr(), sockets: sockets, workerClients: workerClients}
	var kept []*Client
	served := 0
	for range 2 * maxMachines {
		if status, c := inboundClients.connect("/v1/report"); status == http.StatusOK {
			served++
			kept = append(kept, c)
		}
	}
	if served != maxMachines {
		t.Errorf("%d machines got status 200, want %d", served, maxMachines)
	}
	for range maxConns - maxMachines - 1 {
		status, c := inboundClients.connect("/v2/runs/job-1")
		if status != http.StatusOK {
			t.Fatalf("a user got status %d, want 200", status)
		}
		kept = append(kept, c)
	}
	// Once a machine's connection is closed, another machine can use its slot.
	kept[0].CloseIdleConnections()
	for status := 0; status != http.StatusOK; {
		status, _ = getStatus(server.Addr(), "/v1/report")
	}
	for _, c := range append(kept, inboundClients.workerClients...) {
		c.CloseIdleConnections()
	}
}

// connectUntilExhausted opens connections to a worker until the socket budget refuses one, and returns
// their clients.
func connectUntilExhausted(t *testing.T, addr string, sockets *SocketBudget) []*Client {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var clients []*Client
	for {
		c := NewClient(addr, 1, limits.MaxBodyBytes).WithSockets(sockets)
		if _, err := c.Do(ctx, "GET", "/status", nil); err != nil {
			if !errors.Is(err, ErrSocketBudgetExhausted) || !errors.Is(err, ErrNotSent) {
				t.Fatalf("connection beyond the budget: error %v, want ErrSocketBudgetExhausted and ErrNotSent", err)
			}
			return clients
		}
		clients = append(clients, c)
	}
}

// retryingClients open inbound connections. If the server closes one because the socket budget is
// exhausted, they close idle connections to workers, as a controller does, and try again.
type retryingClients struct {
	t             *testing.T
	addr          string
	sockets       *SocketBudget
	workerClients []*Client // with idle connections to workers
}

// connect sends a GET request for a path, on new connections until one gets a response. It returns the
// status of the response and the client with the connection.
func (p *retryingClients) connect(path string) (int, *Client) {
	p.t.Helper()
	for {
		if status, c := getStatus(p.addr, path); status != 0 {
			return status, c
		}
		n := p.sockets.ExcessOutbound()
		if n == 0 {
			p.t.Fatalf("%s: connection closed, although ExcessOutbound is 0", path)
		}
		for n > 0 && len(p.workerClients) > 0 {
			n -= p.workerClients[0].CloseIdleConnections()
			p.workerClients = p.workerClients[1:]
		}
	}
}
