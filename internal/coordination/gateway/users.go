package gateway

import (
	"context"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// handleUser takes a user's request into the users' stage. What a full stage can't take is told at
// once to come back, unless nothing can become of it anyway.
func (g *Gateway) handleUser(req *transport.Message, rsp *transport.Responder) {
	method, id, action, ok := route(req.Path)
	if !ok {
		rsp.Respond(404, nil, 0)
		return
	}
	if req.Method != method {
		rsp.Respond(405, nil, 0)
		return
	}
	select {
	case g.userSlots <- struct{}{}:
		arrived := time.Now()
		go func() {
			defer func() { <-g.userSlots }()
			status := g.answerUser(action, id, req.Body, rsp)
			g.Log.Debug("user answered", "path", req.Path, "status", status, "after", time.Since(arrived))
		}()
	default:
		g.rejectUser(action, id, req.Body, rsp)
	}
}

// rejectUser answers a request for which the stage has no room.
func (g *Gateway) rejectUser(action userAction, id string, body []byte, rsp *transport.Responder) {
	switch {
	case action != actionSubmit && !protocol.ValidJobID(id):
		rsp.Respond(404, nil, 0)
	case action == actionSubmit && g.isMalformed(body):
		rsp.Respond(400, nil, 0)
	default:
		rsp.Respond(503, nil, limits.RetryAfterMin)
	}
}

// answerUser works on a user's request and answers it. It returns the status.
func (g *Gateway) answerUser(action userAction, id string, body []byte, rsp *transport.Responder) (status int) {
	limit := limits.SubmitTimeout
	if action == actionShow {
		limit = limits.PollTimeout
	}
	ctx, cancel := context.WithTimeout(g.ctx, limit)
	defer cancel()
	var answer any
	switch action {
	case actionSubmit:
		status, answer = g.submitJob(ctx, body)
	case actionShow:
		status, answer = g.showJob(ctx, id)
	case actionCancel:
		status, answer = g.cancelJob(ctx, id)
	}
	var encoded []byte
	if answer != nil {
		encoded = protocol.Encode(answer)
	}
	retryAfter := 0
	if status == 503 {
		failing := g.Store.FailingFor()
		retryAfter = limits.RetryAfterSeconds(failing)
		if failing > limits.IsolatedAfter {
			// Perhaps only we are cut off, from the other controllers as well, so that we stay in
			// service. The user's next try should not come here again only because the connection
			// is still open.
			rsp.CloseAfter()
		}
	}
	rsp.Respond(status, encoded, retryAfter)
	return status
}

type errorBody struct {
	Error string `cbor:"error"`
}

func (g *Gateway) retryLater(err error) (int, any) {
	g.Log.Debug("user told to come back", "err", err)
	return 503, errorBody{Error: "not now"}
}
