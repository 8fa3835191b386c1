package transport

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Responder sends the response to one request. Its methods may be called from any goroutine, except
// ClaimMachineSlot.
type Responder struct {
	conn   *serverConn
	wake   func() // notifies the event loop that the response is ready
	server *Server
	// onEventLoop is set while the handler runs on the event loop. The loop takes the response when the
	// handler returns, so that wake is not needed. Guarded by conn.mu.
	onEventLoop bool
	responded   bool // guarded by conn.mu
}

// serverConn is the state of an inbound connection. The goroutine that reads the connection owns it: the event
// loop, or the one in ServeConn. The fields below mu are guarded by mu, as responses may come from any
// goroutine.
type serverConn struct {
	decoder           *Decoder
	requestInProgress bool // a request was passed to the handler and its response is not taken yet
	lastActive        time.Time
	closing           bool // no more requests are read; the event loop closes the connection
	discardingInput   bool // a request was rejected as too large; what still arrives is discarded
	fromMachine       bool // counted in Server.machineConns
	hasRequested      bool // a request has arrived
	openedAt          time.Time
	requestArrivedAt  time.Time      // when the first bytes of the current request were read
	onDelivery        func(Delivery) // of the current request, or nil

	mu                 sync.Mutex // not held while a method of gnet is called
	lastStatus         int        // status of the last response, or 0 before the first
	response           []byte
	responseReady      bool
	closeAfterResponse bool // close the connection once the response is written
}

// setCloseAfterResponse sets whether the connection is to be closed after the response to a new request.
func (c *serverConn) setCloseAfterResponse(closeAfterResponse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAfterResponse = closeAfterResponse
}

// rejectMalformed returns the response to a request that cannot be decoded. A request that is too large
// gets status 400 as well: users would retry after any other status, although a retry cannot succeed.
func (c *serverConn) rejectMalformed(err error) ([]byte, gnet.Action) {
	out := AppendResponse(nil, http.StatusBadRequest, nil, 0, true)
	if errors.Is(err, ErrTooLarge) {
		// If the connection were closed while the client is still sending, TCP would reset it, and the
		// client might not read the response. What arrives is discarded until the client closes the
		// connection, or closeTimedOutConns does.
		c.discardingInput = true
		return out, gnet.None
	}
	c.closing = true
	return out, gnet.Close
}

// takeResponse returns the response to the current request if it is ready.
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
	// Bytes after the request mean that the client pipelines requests, which is not supported: the
	// connection is closed after this response.
	if closing || c.decoder.Buffered() > 0 {
		c.closing = true
		return response, gnet.Close
	}
	return response, gnet.None
}

// PreviousStatus returns the status of the previous response on the same connection, or 0 if there is
// none. As requests are not pipelined, the client had received that response when it sent this request.
func (r *Responder) PreviousStatus() int {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.conn.lastStatus
}

// ClaimMachineSlot counts the connection as one from a machine. If there are
// ServerOptions.MaxMachineConns of these already, it returns false, and the connection is closed after
// the response: the other connections are for users. It may be called only while the handler runs.
func (r *Responder) ClaimMachineSlot() bool {
	if r.conn.fromMachine {
		return true
	}
	limit := int64(r.server.options.MaxMachineConns)
	if n := r.server.machineConns.Add(1); limit > 0 && n > limit {
		r.server.machineConns.Add(-1)
		r.CloseAfterResponse()
		return false
	}
	r.conn.fromMachine = true
	return true
}

// CloseAfterResponse makes the server close the connection once the response is written. It is called
// before Respond, which announces the close in a header.
func (r *Responder) CloseAfterResponse() {
	r.conn.mu.Lock()
	r.conn.closeAfterResponse = true
	r.conn.mu.Unlock()
}

// Respond sends the response; a second call has no effect. A retryAfter above 0 is sent as a Retry-After
// header, in seconds.
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
	inline := r.onEventLoop
	c.mu.Unlock()
	if !inline {
		r.wake()
	}
}
