package leader

import (
	"math"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// workerClientPool keeps a client, with its connection, for each worker that direct commands are
// sent to. It is owned by the term's actor; the clients are safe for concurrent use.
type workerClientPool struct {
	newClient  func(address string) *transport.Client
	byAddress  map[string]*transport.Client
	maxClients int
}

// newWorkerClient returns a client of a worker that keeps one connection.
func (d *Dispatcher) newWorkerClient(address string) *transport.Client {
	return transport.NewClient(address, 1, limits.MaxBodyBytes).WithSockets(d.sockets).WithDialer(d.dialer)
}

// get returns the client of a worker's address.
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

// evict drops clients in any order until at least n kept connections are closed; a client without
// one counts as well. Connections are cheap to make again.
func (p *workerClientPool) evict(n int) {
	for address, client := range p.byAddress {
		if n <= 0 {
			return
		}
		n -= max(client.Close(), 1)
		delete(p.byAddress, address)
	}
}

// closeAll drops all clients.
func (p *workerClientPool) closeAll() { p.evict(math.MaxInt) }
