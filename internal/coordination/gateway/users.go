package gateway

import (
	"context"
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// handleUser handles a user's request in a goroutine. If too many are in progress the user is told
// at once to retry, unless the request can never succeed anyway.
func (g *Gateway) handleUser(req *transport.Message, rsp *transport.Responder) {
	route, ok := findUserRoute(req.Path)
	if !ok {
		rsp.Respond(http.StatusNotFound, nil, 0)
		return
	}
	if req.Method != route.method {
		rsp.Respond(http.StatusMethodNotAllowed, nil, 0)
		return
	}
	select {
	case g.userSlots <- struct{}{}:
		arrivedAt := time.Now()
		go func() {
			defer func() { <-g.userSlots }()
			status := g.answerUser(route, req.Body, rsp)
			g.log.Debug("user request answered", "path", req.Path, "status", status, "after", time.Since(arrivedAt))
		}()
	default:
		g.rejectUser(route, req.Body, rsp)
	}
}

// rejectUser answers a request for which there is no slot.
func (g *Gateway) rejectUser(route userRoute, body []byte, rsp *transport.Responder) {
	switch {
	case route.action != actionSubmit && !protocol.ValidJobID(route.jobID):
		rsp.Respond(http.StatusNotFound, nil, 0)
	case route.action == actionSubmit && g.isMalformed(body):
		rsp.Respond(http.StatusBadRequest, nil, 0)
	default:
		rsp.Respond(http.StatusServiceUnavailable, nil, limits.RetryAfterMin)
	}
}

// answerUser works on a user's request, answers it and returns the status.
func (g *Gateway) answerUser(route userRoute, body []byte, rsp *transport.Responder) int {
	answer := g.executeUserAction(route, body)
	retryAfter := 0
	if answer.status == http.StatusServiceUnavailable {
		failingFor := g.store.FailingFor()
		retryAfter = limits.RetryAfterSeconds(failingFor)
		if failingFor > limits.IsolationThreshold {
			// Perhaps only this controller is cut off, and from the other controllers as well, so that
			// it stays in service. The user's next try must not come here again only because the
			// connection is still open.
			rsp.CloseAfter()
		}
	}
	rsp.Respond(answer.status, answer.body, retryAfter)
	return answer.status
}

// executeUserAction does what a user's request asks for, within its time limit.
func (g *Gateway) executeUserAction(route userRoute, body []byte) response {
	timeout := limits.SubmitTimeout
	if route.action == actionStatus {
		timeout = limits.PollTimeout
	}
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	switch route.action {
	case actionSubmit:
		return g.submitJob(ctx, body)
	case actionCancel:
		return g.cancelJob(ctx, route.jobID)
	default:
		return g.showJob(ctx, route.jobID)
	}
}
