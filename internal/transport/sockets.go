package transport

import (
	"fmt"
	"sync/atomic"
)

// ErrNoSocket marks a call that was not tried because connections coming in need the sockets. It is
// an ErrNotSent.
var ErrSocketBudget = fmt.Errorf("%w: no socket to spare", ErrNotSent)

// SocketBudget shares a number of sockets by need between the connections that come in and those
// that are made to workers. What comes in goes first: a connection that is made may not take the
// last ones, and kept ones are given up for it (see Excess). Calls that must always get through, as
// to the state service, are not counted here and have sockets of their own.
type SocketBudget struct {
	total    int64 // for both together
	headroom int64 // kept free for what comes in, as giving up takes a moment
	inbound  atomic.Int64
	outbound atomic.Int64
}

// NewSocketBudget returns Sockets of which some are kept free for what comes in.
func NewSocketBudget(room, headroom int) *SocketBudget {
	return &SocketBudget{total: int64(room), headroom: int64(headroom)}
}

// acquireInbound takes a socket that is open already for a connection that came in, if there is room for it.
func (s *SocketBudget) acquireInbound() bool {
	return s == nil || tryAcquire(&s.inbound, &s.outbound, s.total)
}

func (s *SocketBudget) releaseInbound() {
	if s != nil {
		s.inbound.Add(-1)
	}
}

// acquireOutbound takes a socket for a connection to a worker.
func (s *SocketBudget) acquireOutbound() bool {
	return s == nil || tryAcquire(&s.outbound, &s.inbound, s.total-s.headroom)
}

func (s *SocketBudget) releaseOutbound() {
	if s != nil {
		s.outbound.Add(-1)
	}
}

func tryAcquire(mine, others *atomic.Int64, room int64) bool {
	if mine.Add(1)+others.Load() > room {
		mine.Add(-1)
		return false
	}
	return true
}

// Excess is how many connections to workers should be given up so that what comes in finds room.
func (s *SocketBudget) Excess() int {
	if s == nil {
		return 0
	}
	return int(max(min(s.inbound.Load()+s.outbound.Load()-(s.total-s.headroom), s.outbound.Load()), 0))
}
