package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// TestNodeHealthFollowsProtocol guards against a stand-in that removes nodes less readily, or returns them sooner,
// than the users' load balancer, so that tests see answers where users have no node.
func TestNodeHealthFollowsProtocol(t *testing.T) {
	const f, p = false, true
	for _, c := range []struct {
		name    string
		checks  []bool // one a second
		healthy bool
	}{
		{"first success", []bool{f, f, p}, true},
		{"one failure", []bool{p, p, f}, true},
		{"two failures in a row", []bool{p, f, f}, false},
		{"three failures among six", []bool{p, f, p, f, p, f}, false},
		{"three failures among seven", []bool{p, f, p, p, f, p, p, p, f}, true},
		{"two successes before the pause is over", []bool{p, f, f, p, p}, false},
		{"two successes after the pause", []bool{p, f, f, p, p, p}, true},
		{"one success after the pause", []bool{p, f, f, f, f, f, p}, false},
		{"second removal: pause of 6 s", []bool{p, f, f, p, p, p, f, f, p, p, p, p, p}, false},
		{"after the second pause", []bool{p, f, f, p, p, p, f, f, p, p, p, p, p, p}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h nodeHealth
			now := time.Unix(1000, 0)
			for _, passed := range c.checks {
				h.record(passed, now)
				now = now.Add(time.Second)
			}
			if h.healthy != c.healthy {
				t.Errorf("healthy: %v, want %v", h.healthy, c.healthy)
			}
		})
	}
}

// TestReturnPauseIsBounded guards against a stand-in that keeps a node out for longer than the users' load balancer.
func TestReturnPauseIsBounded(t *testing.T) {
	var h nodeHealth
	now := time.Unix(1000, 0)
	for range 10 {
		h.remove(now)
		now = now.Add(removalMemory)
	}
	if h.pause != MaxReturnPause {
		t.Errorf("pause %v after ten removals, want %v", h.pause, MaxReturnPause)
	}
	if h.remove(now.Add(time.Minute)); h.pause != firstReturnPause {
		t.Errorf("pause %v after a removal three minutes later, want %v", h.pause, firstReturnPause)
	}
}

// startTestNode serves health checks and other requests on a host of a network.
func startTestNode(network *Network, name string) {
	server := transport.NewServer(transport.ServerOptions{
		Addr: name + ":1", MaxConns: 100,
		Handle: func(_ *transport.Message, rsp *transport.Responder) { rsp.Respond(http.StatusOK, nil, 0) },
	})
	go ServeListener(network.Listen(name+":1"), server)
}

// TestConnectionsOfRemovedNodeAreReset checks that connections go to the node with the fewest, and to another one
// while a node is out of service, whose open connections are reset.
func TestConnectionsOfRemovedNodeAreReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(time.Millisecond)
		startTestNode(network, "a")
		startTestNode(network, "b")
		b := NewLoadBalancer(map[string]string{"a": "a:1", "b": "b:1"}, network.Dialer("users"), 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.Run(ctx)
		}()
		time.Sleep(2 * rampUpTime) // both have their full share
		nodes := map[string]net.Conn{}
		for range 2 {
			conn, err := b.Dial(ctx, "")
			if err != nil {
				t.Fatal(err)
			}
			nodes[conn.(*balancedConn).node.name] = conn
		}
		if len(nodes) != 2 {
			t.Fatalf("two connections went to %d nodes, want 2", len(nodes))
		}
		network.SetLinkBothWays("users", "a", Drop)
		time.Sleep(4*healthCheckInterval + resetAfterRemovalTime + resetCheckInterval)
		if _, err := nodes["a"].Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("read from a connection of a removed node: %v, want that it is closed", err)
		}
		client := transport.NewClient("balancer", 0, limits.MaxBodyBytes).WithDialer(b.Dial)
		if _, err := client.Do(ctx, http.MethodGet, "/x", nil); err != nil {
			t.Errorf("request while one of two nodes is out of service: %v", err)
		}
		network.RemoveHost("b")
		time.Sleep(4 * healthCheckInterval)
		if _, err := b.Dial(ctx, ""); !errors.Is(err, ErrNoNode) {
			t.Errorf("connection without a node in service: %v, want %v", err, ErrNoNode)
		}
		nodes["b"].Close()
		cancel()
		network.RemoveHost("a")
		network.RemoveHost("users")
		<-ended
		time.Sleep(time.Minute)
	})
}
