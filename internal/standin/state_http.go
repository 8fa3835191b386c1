package standin

import (
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

const (
	stateMaxConns      = 1000
	maxListedKeys      = 1000             // maximum number of keys in a page, given by the protocol
	minLeaseMs         = 100              // shortest lease that the protocol allows
	lostReplyDelay     = 20 * time.Second // after which a lost reply is sent all the same; no caller waits as long
	pathKeys           = "/kv"
	pathKey            = "/kv/"
	pathTransaction    = "/txn"
	pathLeases         = "/holds"
	pathLease          = "/holds/"
	pathWatch          = "/watch"
	leaseRenewalSuffix = "/touch"
)

// Server returns an HTTP server of the state service on an address, for any caller.
func (s *StateService) Server(addr string, log *slog.Logger) *transport.Server {
	return s.ServerFor("", addr, log)
}

// ServerFor returns an HTTP server for one caller, so that SetRejectedCaller can reject it separately.
func (s *StateService) ServerFor(caller, addr string, log *slog.Logger) *transport.Server {
	return transport.NewServer(transport.ServerOptions{
		Addr: addr, MaxConns: stateMaxConns, Log: log,
		Handle: func(req *transport.Message, rsp *transport.Responder) { s.handle(caller, req, rsp) },
	})
}

// handle responds to one request of a caller. If the caller is rejected it responds with 503, except to a
// watch, for which handleWatch checks the rejection.
func (s *StateService) handle(caller string, req *transport.Message, rsp *transport.Responder) {
	if !s.isServing(caller) && !strings.HasPrefix(req.Path, pathWatch) {
		rsp.Respond(http.StatusServiceUnavailable, nil, 0)
		return
	}
	if !s.isWithinRequestRate() {
		rsp.Respond(http.StatusTooManyRequests, nil, 0)
		return
	}
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		rsp.Respond(http.StatusBadRequest, nil, 0)
		return
	}
	switch path := req.Path; {
	case path == pathKeys:
		s.handleList(query, rsp)
	case strings.HasPrefix(path, pathKey):
		s.handleGet(strings.TrimPrefix(path, pathKey), rsp)
	case path == pathTransaction:
		s.handleTransaction(req.Body, rsp)
	case path == pathLeases:
		s.handleCreateLease(req.Body, rsp)
	case strings.HasPrefix(path, pathLease):
		s.handleLease(req.Method, strings.TrimPrefix(path, pathLease), rsp)
	case path == pathWatch:
		go s.handleWatch(caller, query, rsp)
	default:
		rsp.Respond(http.StatusNotFound, nil, 0)
	}
}

func (s *StateService) handleList(query url.Values, rsp *transport.Responder) {
	limit := int(queryNumber(query, "Limit"))
	if limit == 0 || limit > maxListedKeys {
		limit = maxListedKeys
	}
	page := s.List(query.Get("Starts"), query.Get("Since"), limit)
	rsp.Respond(http.StatusOK, protocol.Encode(page), 0)
}

func (s *StateService) handleGet(key string, rsp *transport.Responder) {
	pair, ok := s.Get(key)
	if !ok {
		revision := s.List("", "", 1).Revision
		rsp.Respond(http.StatusNotFound, protocol.Encode(map[string]uint64{"Ledger": revision}), 0)
		return
	}
	rsp.Respond(http.StatusOK, protocol.Encode(pair), 0)
}

func (s *StateService) handleTransaction(body []byte, rsp *transport.Responder) {
	var t protocol.Transaction
	if err := protocol.Decode(body, &t); err != nil {
		rsp.Respond(http.StatusBadRequest, nil, 0)
		return
	}
	if !s.isWithinOperationRate(len(t.Operations)) {
		rsp.Respond(http.StatusTooManyRequests, nil, 0)
		return
	}
	if delay, delayed := s.transactionDelay(); delayed {
		time.AfterFunc(delay, func() {
			s.CompareAndSwap(t)
			rsp.Respond(http.StatusServiceUnavailable, nil, 0) // the caller has timed out by now
		})
		return
	}
	status, reply := s.CompareAndSwap(t)
	if s.losesReply() {
		time.AfterFunc(lostReplyDelay, func() { rsp.Respond(http.StatusServiceUnavailable, nil, 0) })
		return
	}
	rsp.Respond(status, protocol.Encode(reply), 0)
}

func (s *StateService) handleCreateLease(body []byte, rsp *transport.Responder) {
	var request protocol.LeaseRequest
	if err := protocol.Decode(body, &request); err != nil || request.DurationMs < minLeaseMs {
		rsp.Respond(http.StatusBadRequest, nil, 0)
		return
	}
	id := s.CreateLease(time.Duration(request.DurationMs) * time.Millisecond)
	rsp.Respond(http.StatusOK, protocol.Encode(protocol.LeaseReply{Lease: id}), 0)
}

// handleLease renews or revokes the lease whose ID is in rest, the part of the path after pathLease.
func (s *StateService) handleLease(method, rest string, rsp *transport.Responder) {
	id, err := strconv.ParseUint(strings.TrimSuffix(rest, leaseRenewalSuffix), 10, 64)
	if err != nil {
		rsp.Respond(http.StatusBadRequest, nil, 0)
		return
	}
	if method == http.MethodDelete {
		s.RevokeLease(id)
	} else if !s.RenewLease(id) {
		rsp.Respond(http.StatusNotFound, nil, 0)
		return
	}
	rsp.Respond(http.StatusOK, nil, 0)
}

// handleWatch responds when a key with the prefix has changed after the revision, or when the time limit of
// the request has passed. A caller whose requests are rejected gets a response without changes, after the
// time limit.
func (s *StateService) handleWatch(caller string, query url.Values, rsp *transport.Responder) {
	prefix, since := query.Get("Starts"), queryNumber(query, "Since")
	timeout := time.NewTimer(time.Duration(queryNumber(query, "HoldMs")) * time.Millisecond)
	defer timeout.Stop()
	for {
		reply, changed := s.Changes(prefix, since)
		if len(reply.Changes) > 0 && s.isServing(caller) {
			rsp.Respond(http.StatusOK, protocol.Encode(reply), 0)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			if !s.isServing(caller) {
				reply = protocol.WatchReply{Revision: since, Changes: []protocol.Change{}}
			}
			rsp.Respond(http.StatusOK, protocol.Encode(reply), 0)
			return
		}
	}
}

// queryNumber returns the value of a numeric query parameter, or 0 if it is missing or malformed.
func queryNumber(query url.Values, name string) uint64 {
	n, _ := strconv.ParseUint(query.Get(name), 10, 64)
	return n
}
