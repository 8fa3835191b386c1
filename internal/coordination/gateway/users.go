package gateway

import (
	"context"
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// handleUserRequest handles a user request in a new goroutine. If too many requests are in progress, it
// rejects the request at once.
func (g *Gateway) handleUserRequest(req *transport.Message, rsp *transport.Responder) {
	route, ok := matchUserRoute(req.Path)
	if !ok {
		rsp.Respond(http.StatusNotFound, nil, 0)
		return
	}
	if req.Method != route.method {
		rsp.Respond(http.StatusMethodNotAllowed, nil, 0)
		return
	}
	slots := g.userSlots
	if route.action == actionStatus {
		slots = g.pollSlots
	}
	request := &requestInProgress{route: route, body: req.Body, arrivedAt: time.Now()}
	select {
	case slots <- struct{}{}:
		rsp.OnDelivery(func(delivery transport.Delivery) { g.recordDelivery(request, delivery) })
		go func() {
			defer func() { <-slots }()
			g.serveUserRequest(request, rsp)
			g.log.Debug("user request handled", "path", req.Path, "status", request.response.status,
				"reason", request.response.outcome, "duration", time.Since(request.arrivedAt))
		}()
	default:
		g.rejectUserRequest(request, rsp)
	}
}

// rejectUserRequest responds to a user request for which there is no free slot. It asks the user to retry,
// unless the request can never succeed.
func (g *Gateway) rejectUserRequest(request *requestInProgress, rsp *transport.Responder) {
	route := request.route
	switch {
	case route.action != actionSubmit && !protocol.IsValidJobID(route.jobID):
		rsp.Respond(http.StatusNotFound, nil, 0)
	case route.action == actionSubmit && g.isMalformed(request.body):
		rsp.Respond(http.StatusBadRequest, nil, 0)
	default:
		rsp.Respond(http.StatusServiceUnavailable, nil, limits.MinRetryAfterSeconds)
		g.countRequest(metricActions[route.action], metrics.OutcomeNoSlot, 0)
		if route.action == actionStatus {
			g.recordUnanswered(route.jobID, request.arrivedAt, metrics.OutcomeNoSlot)
		}
	}
}

// serveUserRequest executes a user request and sends the response.
func (g *Gateway) serveUserRequest(request *requestInProgress, rsp *transport.Responder) {
	response := g.executeUserAction(request.route, request.body)
	request.response = response
	retryAfter := 0
	if response.status == http.StatusServiceUnavailable {
		failingFor := g.store.FailingFor()
		retryAfter = limits.RetryAfterSeconds(failingFor)
		if failingFor > limits.IsolationThreshold {
			// Possibly only this controller cannot reach the state service. If it cannot reach the other
			// controllers either, its health check still passes (see healthStatus). Closing the
			// connection lets the user's retry reach another controller.
			rsp.CloseAfterResponse()
		}
	}
	rsp.Respond(response.status, response.body, retryAfter)
}

// executeUserAction executes the action that a user requests, within the time limit of the action.
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
		return g.getJob(ctx, route.jobID)
	}
}
