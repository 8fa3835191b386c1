package gateway

import (
	"net/http"

	"quillshunt/internal/protocol"
)

// response is the answer to a user's request: an HTTP status and a CBOR body.
type response struct {
	status int
	body   []byte
}

// errorBody is the body of an answer that is not a job's status.
type errorBody struct {
	Error string `cbor:"error"`
}

// statusResponse answers with a job's status.
func statusResponse(status int, job protocol.JobStatus) response {
	return response{status: status, body: protocol.Encode(job)}
}

// errorResponse answers with a reason.
func errorResponse(status int, reason string) response {
	return response{status: status, body: protocol.Encode(errorBody{Error: reason})}
}

// jobNotFoundResponse answers a request for a job that does not exist.
func jobNotFoundResponse() response {
	return errorResponse(http.StatusNotFound, "no such job")
}

// retryLaterResponse tells the user to send the request again. The error is only logged.
func (g *Gateway) retryLaterResponse(err error) response {
	g.log.Debug("user told to retry", "err", err)
	return errorResponse(http.StatusServiceUnavailable, "not now")
}
