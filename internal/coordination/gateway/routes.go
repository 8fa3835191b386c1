package gateway

import (
	"net/http"
	"strings"

	"quillshunt/internal/transport"
)

// Paths of the protocol.
const (
	healthPath    = "/healthz"
	heartbeatPath = "/v1/report"
	jobsPath      = "/v2/runs" // of a job: followed by its id, and perhaps by cancelSegment
	cancelSegment = "cancel"
)

// userAction is what a user's request asks for.
type userAction uint8

const (
	actionSubmit userAction = iota
	actionStatus
	actionCancel
)

// userRoute is where the path of a user's request leads.
type userRoute struct {
	action userAction
	method string // the one that the path allows
	jobID  string // not validated; "" for a submission
}

// Handle handles a request. It runs on the server's loop and never blocks.
func (g *Gateway) Handle(req *transport.Message, rsp *transport.Responder) {
	switch req.Path {
	case healthPath:
		if req.Method != http.MethodGet {
			rsp.Respond(http.StatusMethodNotAllowed, nil, 0)
			return
		}
		rsp.Respond(g.healthStatus(), nil, 0)
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

// matchUserRoute returns the route of a user's path.
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
