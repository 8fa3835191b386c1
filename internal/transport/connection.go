package transport

import (
	"errors"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Responder answers one request, once.
type Responder struct {
	conn   *serverConn
	wake   func() // has the loop look for the answer
	server *Server
	// inline is true while the handler runs on the loop: then no wake is needed.
	inline   bool
	answered bool // guarded by c.mu
}

// serverConn is what we keep for a connection. It is guarded by the server's turn, but for what its
// own mutex guards because answers come from other goroutines.
type serverConn struct {
	decoder     *Decoder
	lastStatus  int  // of the last answer on this connection, guarded by mu
	handling    bool // a request is being worked on
	lastActive  time.Time
	closing     bool
	draining    bool // answered, but its sender is not done sending
	fromMachine bool // of a machine of the fleet

	mu          sync.Mutex
	answer      []byte
	answerReady bool
	closeAfter  bool // close after out
}

// rejectMalformed answers what is malformed. What is too long is answered 400 as well: any other status
// would make a user try again in vain.
func (c *serverConn) rejectMalformed(err error) ([]byte, gnet.Action) {
	out := AppendResponse(nil, 400, nil, 0, true)
	if errors.Is(err, ErrTooLarge) {
		// Closing now, with bytes still coming in, would reset the connection before the answer is
		// read. The rest is thrown away until the sender closes, or for a while.
		c.draining = true
		return out, gnet.None
	}
	c.closing = true
	return out, gnet.Close
}

// takeAnswer takes the answer to the request at hand if it is ready.
func (c *serverConn) takeAnswer() ([]byte, gnet.Action) {
	c.mu.Lock()
	out, end, done := c.answer, c.closeAfter, c.answerReady
	if done {
		c.answer, c.answerReady = nil, false
	}
	c.mu.Unlock()
	if !done {
		return nil, gnet.None
	}
	c.handling = false
	c.lastActive = time.Now()
	if end || c.decoder.Buffered() > 0 { // nobody pipelines, so a connection that does gets one answer
		c.closing = true
		return out, gnet.Close
	}
	return out, gnet.None
}

// PreviousStatus is the status of the answer before on the same connection, or 0. As nobody
// pipelines, the sender has got that answer.
func (r *Responder) PreviousStatus() int {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.conn.lastStatus
}

// ClaimMachineSlot notes, while the handler runs, that the connection is of a machine of the fleet. It
// returns false, and the connection ends with the answer, if there are as many of these as may be:
// users need the rest.
func (r *Responder) ClaimMachineSlot() bool {
	if r.conn.fromMachine {
		return true
	}
	if r.server.MaxMachines > 0 && r.server.machineConns >= r.server.MaxMachines {
		r.CloseAfter()
		return false
	}
	r.conn.fromMachine = true
	r.server.machineConns++
	return true
}

// CloseAfter ends the connection with the answer.
func (r *Responder) CloseAfter() {
	r.conn.mu.Lock()
	r.conn.closeAfter = true
	r.conn.mu.Unlock()
}

// Respond answers the request.
func (r *Responder) Respond(status int, body []byte, retryAfter int) {
	c := r.conn
	c.mu.Lock()
	if r.answered {
		c.mu.Unlock()
		return
	}
	r.answered = true
	c.lastStatus = status
	c.answer = AppendResponse(nil, status, body, retryAfter, c.closeAfter)
	c.answerReady = true
	sync := r.inline
	c.mu.Unlock()
	if !sync {
		r.wake()
	}
}
