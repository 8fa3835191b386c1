package gateway

import (
	"net/http"
	"strings"

	"quillshunt/internal/metrics"
	"quillshunt/internal/transport"
)

// Request paths.
const (
	healthPath    = "/healthz"
	heartbeatPath = "/v1/report"
	jobsPath      = "/v2/runs" // for one job: followed by /ID, or by /ID/cancel
	cancelSegment = "cancel"
)

// userAction is the operation that a user requests.
type userAction uint8

const (
	actionSubmit userAction = iota
	actionStatus
	actionCancel
)

// metricActions holds the name of each user action in the metrics.
var metricActions = [...]metrics.Action{
	actionSubmit: metrics.ActionSubmit,
	actionStatus: metrics.ActionPoll,
	actionCancel: metrics.ActionCancel,
}

// userRoute is the operation that a request path of the user API selects.
type userRoute struct {
	action userAction
	method string // the only HTTP method that the path allows
	jobID  string // not validated; "" for a submission
}

// Handle handles a request of a user, a worker or a health check. It runs on the server's event loop and
// never blocks.
func (g *Gateway) Handle(req *transport.Message, rsp *transport.Responder) {
	switch req.Path {
	case healthPath:
		if req.Method != http.MethodGet {
			rsp.Respond(http.StatusMethodNotAllowed, nil, 0)
			return
		}
		g.answerHealthCheck(rsp)
	case heartbeatPath:
		if req.Method != http.MethodPost {
			rsp.Respond(http.StatusMethodNotAllowed, nil, 0)
			return
		}
		if !rsp.ClaimMachineSlot() {
			rsp.Respond(http.StatusServiceUnavailable, nil, 0)
			return
		}
		g.handleHeartbeat(req, rsp)
	default:
		g.handleUserRequest(req, rsp)
	}
}

// matchUserRoute returns the route for a path of the user API. It returns false for any other path.
func matchUserRoute(path string) (userRoute, bool) {
	rest, ok := strings.CutPrefix(path, jobsPath)
	if !ok {
		return userRoute{}, false
	}
	if rest == "" {
		return userRoute{action: actionSubmit, method: http.MethodPost}, true
	}
	if rest[0] != '/' {
		return userRoute{}, false
	}
	id, segment, hasSegment := strings.Cut(rest[1:], "/")
	switch {
	case id == "":
		return userRoute{}, false
	case !hasSegment:
		return userRoute{action: actionStatus, method: http.MethodGet, jobID: id}, true
	case segment == cancelSegment:
		return userRoute{action: actionCancel, method: http.MethodPost, jobID: id}, true
	}
	return userRoute{}, false
}
