package gateway

import (
	"context"
	"errors"
	"net/http"

	"quillshunt/internal/metrics"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// response is the response to a user request: an HTTP status and a CBOR body.
type response struct {
	status  int
	body    []byte
	outcome metrics.Outcome
}

// errorBody is the body of a response that reports an error.
type errorBody struct {
	Error string `cbor:"error"`
}

// statusResponse returns a response with a job's status in the body, as read from the state service.
func statusResponse(status int, job protocol.JobStatus) response {
	return response{status: status, body: protocol.Encode(job), outcome: metrics.OutcomeState}
}

// cachedStatusResponse returns a response with a job's status in the body, as found in memory.
func cachedStatusResponse(job protocol.JobStatus) response {
	return response{status: http.StatusOK, body: protocol.Encode(job), outcome: metrics.OutcomeCache}
}

// errorResponse returns a response with the reason of an error in the body.
func errorResponse(status int, reason string) response {
	return response{status: status, body: protocol.Encode(errorBody{Error: reason}), outcome: metrics.OutcomeRejected}
}

// jobNotFoundResponse returns the response to a request for a job that does not exist.
func jobNotFoundResponse() response {
	return errorResponse(http.StatusNotFound, "no such job")
}

// retryLaterResponse logs an error and returns a response that asks the user to retry. The error itself is
// not part of the response.
func (g *Gateway) retryLaterResponse(err error) response {
	g.log.Debug("user request failed; user asked to retry", "err", err)
	later := errorResponse(http.StatusServiceUnavailable, "not now")
	later.outcome = failureOutcome(err)
	return later
}

// failureOutcome returns why a user request could not be answered.
func failureOutcome(err error) metrics.Outcome {
	switch {
	case errors.Is(err, errCancellationUnconfirmed):
		return metrics.OutcomeCancellationUnconfirmed
	case errors.Is(err, storage.ErrRateLimited):
		return metrics.OutcomeRateLimitState
	case errors.Is(err, storage.ErrShareExhausted):
		return metrics.OutcomeRateLimitHere
	case errors.Is(err, context.DeadlineExceeded):
		return metrics.OutcomeTimeout
	case errors.Is(err, storage.ErrNotExecuted), errors.Is(err, storage.ErrOutcomeUnknown):
		return metrics.OutcomeStateFailing
	}
	return metrics.OutcomeOther
}
