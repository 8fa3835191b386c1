package transport

import (
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Responder answers one request, once.
type Responder struct {
	c    *inbound
	wake func() // has the loop look for the answer
	s    *Server
	// sync is true while the handler runs on the loop: then no wake is needed.
	sync bool
	used bool // guarded by c.mu
}

// inbound is what we keep for a connection. It is guarded by the server's turn, but for what its
// own mutex guards because answers come from other goroutines.
type inbound struct {
	dec     *Decoder
	status  int  // of the last answer on this connection, guarded by mu
	busy    bool // a request is being worked on
	last    time.Time
	closing bool
	refused bool // answered, but its sender is not done sending
	fleet   bool // of a machine of the fleet

	mu   sync.Mutex
	out  []byte
	done bool
	end  bool // close after out
}

// refuse answers what is malformed. What is too long is answered 400 as well: any other status
// would make a user try again in vain.
func (c *inbound) refuse(err error) ([]byte, gnet.Action) {
	out := AppendResponse(nil, 400, nil, 0, true)
	if errors.Is(err, ErrTooLarge) {
		// Closing now, with bytes still coming in, would reset the connection before the answer is
		// read. The rest is thrown away until the sender closes, or for a while.
		c.refused = true
		return out, gnet.None
	}
	c.closing = true
	return out, gnet.Close
}

// answer takes the answer to the request at hand if it is ready.
func (c *inbound) answer() ([]byte, gnet.Action) {
	c.mu.Lock()
	out, end, done := c.out, c.end, c.done
	if done {
		c.out, c.done = nil, false
	}
	c.mu.Unlock()
	if !done {
		return nil, gnet.None
	}
	c.busy = false
	c.last = time.Now()
	if end || c.dec.Buffered() > 0 { // nobody pipelines, so a connection that does gets one answer
		c.closing = true
		return out, gnet.Close
	}
	return out, gnet.None
}

// PreviousStatus is the status of the answer before on the same connection, or 0. As nobody
// pipelines, the sender has got that answer.
func (r *Responder) PreviousStatus() int {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.status
}

// FromMachine notes, while the handler runs, that the connection is of a machine of the fleet. It
// returns false, and the connection ends with the answer, if there are as many of these as may be:
// users need the rest.
func (r *Responder) FromMachine() bool {
	if r.c.fleet {
		return true
	}
	if r.s.MaxMachines > 0 && r.s.fleet >= r.s.MaxMachines {
		r.CloseAfter()
		return false
	}
	r.c.fleet = true
	r.s.fleet++
	return true
}

// CloseAfter ends the connection with the answer.
func (r *Responder) CloseAfter() {
	r.c.mu.Lock()
	r.c.end = true
	r.c.mu.Unlock()
}

// Respond answers the request.
func (r *Responder) Respond(status int, body []byte, retryAfter int) {
	c := r.c
	c.mu.Lock()
	if r.used {
		c.mu.Unlock()
		return
	}
	r.used = true
	c.status = status
	c.out = AppendResponse(nil, status, body, retryAfter, c.end)
	c.done = true
	sync := r.sync
	c.mu.Unlock()
	if !sync {
		r.wake()
	}
}
