package transport

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Responder answers one request, once. Its methods may be called from any goroutine, but for
// ClaimMachineSlot.
type Responder struct {
	conn   *serverConn
	wake   func() // has the loop look for the answer
	server *Server
	// inline is true while the handler runs on the loop: then no wake is needed.
	inline    bool
	responded bool // guarded by conn.mu
}

// serverConn is the state of an inbound connection. It is guarded by the server's mutex, but for
// what its own mutex guards because answers come from other goroutines.
type serverConn struct {
	decoder           *Decoder
	lastStatus        int  // of the last answer, or 0; guarded by mu
	requestInProgress bool // a request is being worked on
	lastActive        time.Time
	closing           bool
	discardingInput   bool // rejected, but its sender is still sending
	fromMachine       bool // counts among the connections of machines

	mu                 sync.Mutex
	response           []byte
	responseReady      bool
	closeAfterResponse bool // close once the answer is written
}

// rejectMalformed answers a malformed request. One that is too large is answered 400 as well: any
// other status would make a user retry in vain.
func (c *serverConn) rejectMalformed(err error) ([]byte, gnet.Action) {
	out := AppendResponse(nil, http.StatusBadRequest, nil, 0, true)
	if errors.Is(err, ErrTooLarge) {
		// Closing now, with bytes still coming in, would reset the connection before the answer is
		// read. The rest is thrown away until the sender closes, or for a while.
		c.discardingInput = true
		return out, gnet.None
	}
	c.closing = true
	return out, gnet.Close
}

// takeResponse returns the answer to the current request if it is ready.
func (c *serverConn) takeResponse() ([]byte, gnet.Action) {
	c.mu.Lock()
	response, closing, ready := c.response, c.closeAfterResponse, c.responseReady
	if ready {
		c.response, c.responseReady = nil, false
	}
	c.mu.Unlock()
	if !ready {
		return nil, gnet.None
	}
	c.requestInProgress = false
	c.lastActive = time.Now()
	if closing || c.decoder.Buffered() > 0 { // nobody pipelines, so a connection that does gets one answer
		c.closing = true
		return response, gnet.Close
	}
	return response, gnet.None
}

// PreviousStatus returns the status of the previous answer on the same connection, or 0. As nobody
// pipelines, the sender has received that answer.
func (r *Responder) PreviousStatus() int {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.conn.lastStatus
}

// ClaimMachineSlot counts the connection among those of machines; it is called while the handler
// runs. It returns false, and the connection ends with the answer, if there are MaxMachineConns of these
// already: users need the rest.
func (r *Responder) ClaimMachineSlot() bool {
	if r.conn.fromMachine {
		return true
	}
	if r.server.options.MaxMachineConns > 0 && r.server.machineConns >= r.server.options.MaxMachineConns {
		r.CloseAfterResponse()
		return false
	}
	r.conn.fromMachine = true
	r.server.machineConns++
	return true
}

// CloseAfterResponse makes the connection end with the answer.
func (r *Responder) CloseAfterResponse() {
	r.conn.mu.Lock()
	r.conn.closeAfterResponse = true
	r.conn.mu.Unlock()
}

// Respond answers the request; a second call has no effect. A retryAfter above 0, in seconds, tells
// the sender when to come back.
func (r *Responder) Respond(status int, body []byte, retryAfter int) {
	c := r.conn
	c.mu.Lock()
	if r.responded {
		c.mu.Unlock()
		return
	}
	r.responded = true
	c.lastStatus = status
	c.response = AppendResponse(nil, status, body, retryAfter, c.closeAfterResponse)
	c.responseReady = true
	inline := r.inline
	c.mu.Unlock()
	if !inline {
		r.wake()
	}
}
