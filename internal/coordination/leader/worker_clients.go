package leader

import (
	"math"

	"quillshunt/internal/limits"
	"quillshunt/internal/transport"
)

// workerClient returns the client of a worker's address.
func (t *term) workerClient(addr string) *transport.Client {
	c := t.workerClients[addr]
	if c == nil {
		if len(t.workerClients) >= t.maxWorkerClients {
			t.closeWorkerClients(1)
		}
		c = transport.NewClient(addr, 1, limits.MaxBodyBytes).WithSockets(t.dispatcher.sockets).WithDialer(t.dispatcher.dialer)
		t.workerClients[addr] = c
	}
	return c
}

// releaseSockets gives up connections to workers where what comes in needs the sockets.
func (t *term) releaseSockets() { t.closeWorkerClients(t.dispatcher.sockets.Excess()) }

// closeWorkerClients drops at least n kept connections to workers, any ones; a connection is cheap
// to make again.
func (t *term) closeWorkerClients(n int) {
	for addr, c := range t.workerClients {
		if n <= 0 {
			return
		}
		n -= max(c.Close(), 1)
		delete(t.workerClients, addr)
	}
}

// closeAllWorkerClients drops the kept connections to workers.
func (t *term) closeAllWorkerClients() { t.closeWorkerClients(math.MaxInt) }
