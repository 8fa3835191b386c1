package leader

import (
	"net/http"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
)

// HeartbeatResponderFunc sends the HTTP reply to a worker's heartbeat. It is called exactly once, from
// any goroutine.
type HeartbeatResponderFunc func(status int, body []byte)

var _ scheduler.HeartbeatResponder = HeartbeatResponderFunc(nil)

// Accept replies with 200 and the commands for the worker. This reply renews the worker lease.
func (r HeartbeatResponderFunc) Accept(reply protocol.HeartbeatReply) {
	r(http.StatusOK, protocol.Encode(reply))
}

// Redirect replies with 421 and names the leader, to which the worker is to send its heartbeats.
func (r HeartbeatResponderFunc) Redirect(redirect protocol.Redirect) {
	r(http.StatusMisdirectedRequest, protocol.Encode(redirect))
}

// Reject replies with 503, which does not renew the worker lease. The worker may try another controller.
func (r HeartbeatResponderFunc) Reject() { r(http.StatusServiceUnavailable, nil) }
