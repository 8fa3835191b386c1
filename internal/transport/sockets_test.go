package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"quillshunt/internal/limits"
)

// startServer runs a server on a free address for as long as the test lasts.
func startServer(t *testing.T, s *Server) *Server {
	t.Helper()
	startStoppableServer(t, s)
	return s
}

// startStoppableServer does the same until stop is called, which returns what Run returned.
func startStoppableServer(t *testing.T, s *Server) (stop func() error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Addr, s.Log = ln.Addr().String(), slog.New(slog.DiscardHandler)
	ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	for {
		if c, err := net.Dial("tcp", s.Addr); err == nil {
			c.Close()
			return func() error {
				cancel()
				return <-ended
			}
		}
		time.Sleep(time.Millisecond)
	}
}

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

// TestSocketBudgetExhausted drives a server past its bounds: machines take no more than their share, users
// still get through, kept connections to workers give way to what comes in, and nothing ends.
func TestSocketBudgetExhausted(t *testing.T) {
	const room, headroom, most, fleet = 60, 5, 50, 30
	sockets := NewSocketBudget(room, headroom)
	front := startServer(t, &Server{MaxConns: most, MaxMachines: fleet, Sockets: sockets, Handle: func(req *Message, rsp *Responder) {
		if req.Path == "/v1/report" && !rsp.ClaimMachineSlot() {
			rsp.Respond(503, nil, 0)
			return
		}
		rsp.Respond(200, nil, 0)
	}})
	worker := startServer(t, &Server{MaxConns: 2 * room, Handle: func(_ *Message, rsp *Responder) { rsp.Respond(200, nil, 0) }})

	// Direct connections take what is free, but for the headroom, and then fail before anything is sent.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var direct []*Client
	for {
		c := NewClient(worker.Addr, 1, limits.MaxBodyBytes).WithSockets(sockets)
		if _, err := c.Do(ctx, "GET", "/status", nil); err != nil {
			if !errors.Is(err, ErrSocketBudget) || !errors.Is(err, ErrNotSent) {
				t.Fatalf("past the sockets: %v", err)
			}
			break
		}
		direct = append(direct, c)
	}
	if n := len(direct); n < room-headroom-1 || n > room-headroom {
		t.Fatalf("%d direct connections, of a room of %d with %d kept free", n, room, headroom)
	}

	// What comes in and finds no room is closed and comes again, while kept connections are given up.
	come := func(path string) (int, *Client) {
		for {
			if status, c := getStatus(front.Addr, path); status != 0 {
				return status, c
			}
			n := sockets.Excess()
			if n == 0 {
				t.Fatalf("%s: closed, but no connection should be given up", path)
			}
			for n > 0 && len(direct) > 0 {
				n -= direct[0].Close()
				direct = direct[1:]
			}
		}
	}
	var kept []*Client
	served := 0
	for range 2 * fleet {
		if status, c := come("/v1/report"); status == 200 {
			served++
			kept = append(kept, c)
		}
	}
	if served != fleet {
		t.Errorf("%d machines served, of %d", served, fleet)
	}
	for range most - fleet - 1 {
		status, c := come("/v2/runs/job-1")
		if status != 200 {
			t.Fatalf("a user got %d", status)
		}
		kept = append(kept, c)
	}
	// What machines give back other machines may take.
	kept[0].Close()
	for status := 0; status != 200; {
		status, _ = getStatus(front.Addr, "/v1/report")
	}
	for _, c := range append(kept, direct...) {
		c.Close()
	}
}
