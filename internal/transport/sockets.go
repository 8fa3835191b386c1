package transport

import (
	"fmt"
	"sync/atomic"
)

// ErrSocketBudgetExhausted means that a request was not sent because the remaining sockets are reserved
// for inbound connections. It wraps ErrNotSent.
var ErrSocketBudgetExhausted = fmt.Errorf("%w: socket budget exhausted", ErrNotSent)

// SocketBudget limits the total number of sockets of inbound connections and of outbound connections to
// workers. Inbound connections have priority: outbound ones leave some sockets free, and idle ones are
// closed when inbound ones need their sockets (see ExcessOutbound). Connections to the state service and
// others that must not be refused are not counted here; sockets are reserved for them separately. A nil
// budget has no limit.
type SocketBudget struct {
	total    int64 // maximum of inbound and outbound connections together
	headroom int64 // sockets that outbound connections leave free, as closing idle ones takes some time
	inbound  atomic.Int64
	outbound atomic.Int64
}

// NewSocketBudget returns a budget of total sockets, of which outbound connections leave headroom free.
func NewSocketBudget(total, headroom int) *SocketBudget {
	return &SocketBudget{total: int64(total), headroom: int64(headroom)}
}

// acquireInbound counts an inbound connection, whose socket is open already. It returns false if all
// sockets of the budget are in use; the caller then closes the connection.
func (s *SocketBudget) acquireInbound() bool {
	return s == nil || tryAcquire(&s.inbound, &s.outbound, s.total)
}

// releaseInbound releases the socket of an inbound connection.
func (s *SocketBudget) releaseInbound() {
	if s != nil {
		s.inbound.Add(-1)
	}
}

// acquireOutbound reserves a socket for a connection to a worker. It returns false if only the headroom
// is left.
func (s *SocketBudget) acquireOutbound() bool {
	return s == nil || tryAcquire(&s.outbound, &s.inbound, s.total-s.headroom)
}

// releaseOutbound releases the socket of a connection to a worker.
func (s *SocketBudget) releaseOutbound() {
	if s != nil {
		s.outbound.Add(-1)
	}
}

// tryAcquire increments a count and returns true, unless the sum of both counts would exceed the limit.
func tryAcquire(count, other *atomic.Int64, limit int64) bool {
	if count.Add(1)+other.Load() > limit {
		count.Add(-1)
		return false
	}
	return true
}

// ExcessOutbound returns how many connections to workers should be closed so that the headroom for
// inbound connections is free again.
func (s *SocketBudget) ExcessOutbound() int {
	if s == nil {
		return 0
	}
	return int(max(min(s.inbound.Load()+s.outbound.Load()-(s.total-s.headroom), s.outbound.Load()), 0))
}
