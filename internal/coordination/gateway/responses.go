package gateway

import (
	"net/http"

	"quillshunt/internal/protocol"
)

// response is the response to a user request: an HTTP status and a CBOR body.
type response struct {
	status int
	body   []byte
}

// errorBody is the body of a response that reports an error.
type errorBody struct {
	Error string `cbor:"error"`
}

// statusResponse returns a response with a job's status in the body.
func statusResponse(status int, job protocol.JobStatus) response {
	return response{status: status, body: protocol.Encode(job)}
}

// errorResponse returns a response with the reason of an error in the body.
func errorResponse(status int, reason string) response {
	return response{status: status, body: protocol.Encode(errorBody{Error: reason})}
}

// jobNotFoundResponse returns the response to a request for a job that does not exist.
func jobNotFoundResponse() response {
	return errorResponse(http.StatusNotFound, "no such job")
}

// retryLaterResponse logs an error and returns a response that asks the user to retry. The error itself is
// not part of the response.
func (g *Gateway) retryLaterResponse(err error) response {
	g.log.Debug("user request failed; user asked to retry", "err", err)
	return errorResponse(http.StatusServiceUnavailable, "not now")
}
