package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// Connection attempts of the load balancer, from the protocol.
const (
	connectTimeout     = 500 * time.Millisecond
	connectAttempts    = 3
	failuresUntilSkip  = 3 // failed connections in a row after which a node is skipped
	skipTime           = 3 * time.Second
	resetCheckInterval = 500 * time.Millisecond
)

// ErrNoNode means that the load balancer has found no node for a connection.
var ErrNoNode = errors.New("no healthy node takes the connection")

// LoadBalancer passes connections of users to the nodes, as the protocol describes it: to a healthy node with few
// connections, and with the health checks, removals, pauses, growing shares and resets described there. It works
// on connections and does not look into requests. It is safe for concurrent use.
type LoadBalancer struct {
	dial transport.Dialer

	mu     sync.Mutex
	random *rand.Rand
	nodes  []*balancedNode
}

// balancedNode is a node behind a load balancer.
type balancedNode struct {
	name, address string
	health        nodeHealth
	conns         map[*balancedConn]struct{}
	failures      int // failed connections in a row
	skippedUntil  time.Time
}

// balancedConn is a connection of a user to a node.
type balancedConn struct {
	net.Conn
	balancer *LoadBalancer
	node     *balancedNode
}

// NewLoadBalancer returns a load balancer for nodes with the given addresses, by name. It opens connections with a
// dialer; nil dials TCP. Run must be called before the first connection.
func NewLoadBalancer(addresses map[string]string, dial transport.Dialer, seed uint64) *LoadBalancer {
	b := &LoadBalancer{dial: dial, random: rand.New(rand.NewPCG(seed, 21))}
	for name, address := range addresses {
		b.nodes = append(b.nodes, &balancedNode{name: name, address: address, conns: map[*balancedConn]struct{}{}})
	}
	slices.SortFunc(b.nodes, func(x, y *balancedNode) int { return strings.Compare(x.name, y.name) })
	return b
}

// Run checks the nodes until the context ends, and returns when all checks have ended.
func (b *LoadBalancer) Run(ctx context.Context) {
	var checks sync.WaitGroup
	for _, node := range b.nodes {
		checks.Go(func() { b.checkPeriodically(ctx, node) })
	}
	ticker := time.NewTicker(resetCheckInterval)
	defer ticker.Stop()
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.resetConnsOfRemovedNodes()
		}
	}
}

// checkPeriodically makes the health checks of a node.
func (b *LoadBalancer) checkPeriodically(ctx context.Context, node *balancedNode) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		passed := b.check(ctx, node)
		b.mu.Lock()
		node.health.record(passed, time.Now())
		b.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(healthCheckInterval - time.Since(startedAt)):
		}
	}
}

// check makes one health check.
func (b *LoadBalancer) check(ctx context.Context, node *balancedNode) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	client := transport.NewClient(node.address, 0, limits.MaxBodyBytes).WithDialer(b.dial)
	reply, err := client.Do(ctx, http.MethodGet, "/healthz", nil)
	return err == nil && reply.Status == http.StatusOK
}

// Dial opens a connection of a user to a node. It is a transport.Dialer; the address is ignored. The error is
// ErrNoNode if no node takes the connection.
func (b *LoadBalancer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	var tried []*balancedNode
	for len(tried) < connectAttempts {
		node := b.choose(tried)
		if node == nil {
			return nil, ErrNoNode
		}
		tried = append(tried, node)
		if conn := b.connect(ctx, node); conn != nil {
			return conn, nil
		}
	}
	return nil, ErrNoNode
}

// choose returns the healthy node with the fewest connections that was not tried, or nil if there is none. A node
// that has returned a short time ago is passed over at random, if there is another.
func (b *LoadBalancer) choose(tried []*balancedNode) *balancedNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best, passedOver *balancedNode
	for _, node := range b.nodes {
		switch {
		case !node.health.healthy || now.Before(node.skippedUntil) || slices.Contains(tried, node):
		case b.random.Float64() >= node.health.share(now):
			passedOver = node
		case best == nil || len(node.conns) < len(best.conns):
			best = node
		}
	}
	if best == nil {
		return passedOver
	}
	return best
}

// connect opens a connection to a node. It returns nil if the node refuses it or does not accept it in time.
func (b *LoadBalancer) connect(ctx context.Context, node *balancedNode) net.Conn {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := b.dial.Dial(ctx, node.address)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		node.failures++
		if node.failures >= failuresUntilSkip {
			node.failures, node.skippedUntil = 0, time.Now().Add(skipTime)
		}
		return nil
	}
	node.failures = 0
	conn := &balancedConn{Conn: raw, balancer: b, node: node}
	node.conns[conn] = struct{}{}
	return conn
}

// Close closes the connection.
func (c *balancedConn) Close() error {
	c.balancer.mu.Lock()
	delete(c.node.conns, c)
	c.balancer.mu.Unlock()
	return c.Conn.Close()
}

// resetConnsOfRemovedNodes closes the connections of nodes that have been out of service for some time.
func (b *LoadBalancer) resetConnsOfRemovedNodes() {
	b.mu.Lock()
	var reset []*balancedConn
	for _, node := range b.nodes {
		if node.health.mustReset(time.Now()) {
			for conn := range node.conns {
				reset = append(reset, conn)
			}
		}
	}
	b.mu.Unlock()
	for _, conn := range reset {
		_ = conn.Close()
	}
}

// NodesInService returns the names of the healthy nodes.
func (b *LoadBalancer) NodesInService() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for _, node := range b.nodes {
		if node.health.healthy {
			names = append(names, node.name)
		}
	}
	return names
}

// LongestPause returns the longest pause after the last removal of a node.
func (b *LoadBalancer) LongestPause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := time.Duration(0)
	for _, node := range b.nodes {
		longest = max(longest, node.health.pause)
	}
	return longest
}
