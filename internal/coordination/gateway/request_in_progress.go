package gateway

import (
	"net/http"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/metrics"
	"quillshunt/internal/transport"
)

// requestInProgress is a user's request in progress.
type requestInProgress struct {
	route     userRoute
	body      []byte
	arrivedAt time.Time
	response  response // set before the response is sent
}

// recordDelivery counts a user's request by what the user has got of the response, and records whether a poll was
// answered. It runs on the server's event loop.
func (g *Gateway) recordDelivery(request *requestInProgress, delivery transport.Delivery) {
	outcome := request.outcome(delivery)
	g.countRequest(metricActions[request.route.action], outcome, delivery.Elapsed)
	if request.route.action != actionStatus {
		return
	}
	if outcome == metrics.OutcomeAbandoned || outcome == metrics.OutcomeLate ||
		request.response.status == http.StatusServiceUnavailable {
		g.recordUnanswered(request.route.jobID, request.arrivedAt, outcome)
		return
	}
	g.questions.recordAnswer(request.route.jobID)
}

// outcome returns how the request ended for its user. Without a written response, the request may still be in
// progress.
func (r *requestInProgress) outcome(delivery transport.Delivery) metrics.Outcome {
	patience := limits.UserSubmitPatience
	if r.route.action == actionStatus {
		patience = limits.UserPollPatience
	}
	switch {
	case !delivery.Written:
		return metrics.OutcomeAbandoned
	case delivery.Elapsed > patience:
		return metrics.OutcomeLate
	}
	return r.response.outcome
}
