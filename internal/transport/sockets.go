package transport

import (
	"fmt"
	"sync/atomic"
)

// ErrSocketBudgetExhausted means that a call was not tried because inbound connections need the sockets. It
// wraps ErrNotSent.
var ErrSocketBudgetExhausted = fmt.Errorf("%w: no socket to spare", ErrNotSent)

// SocketBudget shares a number of sockets by need between inbound connections and outbound ones to
// workers. Inbound connections go first: outbound ones may not take the last sockets, and idle ones
// are closed to make room (see ExcessOutbound). Calls that must always get through, such as those to the
// state service, are not counted here and have sockets of their own. A nil budget has no limit.
type SocketBudget struct {
	total    int64 // for both together
	headroom int64 // kept free for inbound connections, as closing idle ones takes a moment
	inbound  atomic.Int64
	outbound atomic.Int64
}

// NewSocketBudget returns a budget of total sockets; outbound connections leave headroom of them free.
func NewSocketBudget(total, headroom int) *SocketBudget {
	return &SocketBudget{total: int64(total), headroom: int64(headroom)}
}

// acquireInbound counts an inbound connection, whose socket is open already, if there is room for it.
func (s *SocketBudget) acquireInbound() bool {
	return s == nil || tryAcquire(&s.inbound, &s.outbound, s.total)
}

// releaseInbound gives back the socket of an inbound connection.
func (s *SocketBudget) releaseInbound() {
	if s != nil {
		s.inbound.Add(-1)
	}
}

// acquireOutbound reserves a socket for a connection to a worker.
func (s *SocketBudget) acquireOutbound() bool {
	return s == nil || tryAcquire(&s.outbound, &s.inbound, s.total-s.headroom)
}

// releaseOutbound gives back the socket of a connection to a worker.
func (s *SocketBudget) releaseOutbound() {
	if s != nil {
		s.outbound.Add(-1)
	}
}

// tryAcquire raises a count unless it and the other would pass the limit together.
func tryAcquire(count, other *atomic.Int64, limit int64) bool {
	if count.Add(1)+other.Load() > limit {
		count.Add(-1)
		return false
	}
	return true
}

// ExcessOutbound returns how many connections to workers should be closed so that inbound ones find room.
func (s *SocketBudget) ExcessOutbound() int {
	if s == nil {
		return 0
	}
	return int(max(min(s.inbound.Load()+s.outbound.Load()-(s.total-s.headroom), s.outbound.Load()), 0))
}
