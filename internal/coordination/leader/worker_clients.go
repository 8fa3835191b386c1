package leader

import (
	"math"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// workerClientPool keeps the clients, and with them the idle connections, of workers to which direct
// commands are sent. Only the actor's goroutine may use the pool; the clients are safe for concurrent
// use.
type workerClientPool struct {
	newClient  func(address string) *transport.Client
	byAddress  map[string]*transport.Client
	maxClients int
}

// newWorkerClient returns a client of a worker. It keeps at most one idle connection.
func (d *Dispatcher) newWorkerClient(address string) *transport.Client {
	return transport.NewClient(address, 1, limits.MaxBodyBytes).WithSockets(d.sockets).WithDialer(d.dialer)
}

// get returns the client for a worker's address. It creates one if needed, and evicts another if the
// pool is full.
func (p *workerClientPool) get(address string) *transport.Client {
	client := p.byAddress[address]
	if client == nil {
		if len(p.byAddress) >= p.maxClients {
			p.evict(1)
		}
		client = p.newClient(address)
		p.byAddress[address] = client
	}
	return client
}

// evict removes clients in any order until it has closed n idle connections. A client without an idle
// connection counts as one. Any client will do, as a new connection costs little.
func (p *workerClientPool) evict(n int) {
	for address, client := range p.byAddress {
		if n <= 0 {
			return
		}
		n -= max(client.CloseIdleConnections(), 1)
		delete(p.byAddress, address)
	}
}

// closeAll removes all clients and closes their idle connections.
func (p *workerClientPool) closeAll() { p.evict(math.MaxInt) }
