package leader

import (
	"net/http"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/protocol"
)

// HeartbeatResponderFunc answers a worker's heartbeat over HTTP: 200 with a body, or another status.
// It is called once, by any goroutine.
type HeartbeatResponderFunc func(status int, body []byte)

var _ scheduler.HeartbeatResponder = HeartbeatResponderFunc(nil)

// Accept renews the worker's lease and gives it commands.
func (r HeartbeatResponderFunc) Accept(reply protocol.HeartbeatReply) {
	r(http.StatusOK, protocol.Encode(reply))
}

// Redirect sends the worker to a controller.
func (r HeartbeatResponderFunc) Redirect(redirect protocol.Redirect) {
	r(http.StatusMisdirectedRequest, protocol.Encode(redirect))
}

// Reject renews no lease; the worker may try another controller.
func (r HeartbeatResponderFunc) Reject() { r(http.StatusServiceUnavailable, nil) }
