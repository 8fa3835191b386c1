// Package gateway is the front door: it sorts what arrives, answers users from the state service, and
// sends workers to the leader.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/coordination/leader"
	"quillshunt/internal/coordination/peer"
	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Gateway handles requests. Handle runs on the server's loop and never blocks; users' requests
// are worked on in a stage of bounded size.
type Gateway struct {
	Node     string
	Store    *storage.Store
	Runner   *leader.Runner
	Peers    *peer.Peers
	Leader   func() string // name of the leading node, or ""
	Settings *config.Settings
	Stage    int // most users' requests worked on at once
	Log      *slog.Logger

	ctx    context.Context
	stage  chan struct{}
	types  atomic.Pointer[[]protocol.MachineType]
	finals finals

	relays  chan struct{}
	alone   atomic.Bool // another node reaches the state service and we do not
	asking  atomic.Bool
	cutTill atomic.Int64 // until when the leader is taken to be out of our reach, in Unix nanoseconds
}

// Start prepares the gateway; its work ends with the context.
func (g *Gateway) Start(ctx context.Context) {
	g.ctx = ctx
	g.stage = make(chan struct{}, g.Stage)
	g.relays = make(chan struct{}, limits.RelayStage)
	g.finals.m = map[string]string{}
	go g.followTypes(ctx)
}

// followTypes keeps the machine types up to date.
func (g *Gateway) followTypes(ctx context.Context) {
	var back storage.Backoff
	for {
		stored, err := g.Store.ReadTypes(ctx)
		if err == nil {
			g.types.Store(&stored.Types)
			back.Reset()
			select {
			case <-ctx.Done():
				return
			case <-time.After(limits.TypesEvery):
			}
			continue
		}
		if !back.Wait(ctx) {
			return
		}
	}
}

// Handle takes a request.
func (g *Gateway) Handle(req *transport.Message, rsp *transport.Responder) {
	switch req.Path {
	case "/healthz":
		if req.Method != "GET" {
			rsp.Respond(405, nil, 0)
			return
		}
		rsp.Respond(g.health(), nil, 0)
	case "/v1/report":
		if req.Method != "POST" {
			rsp.Respond(405, nil, 0)
			return
		}
		if !rsp.FromFleet() {
			rsp.Respond(503, nil, 0)
			return
		}
		g.report(req, rsp)
	default:
		g.handleUser(req, rsp)
	}
}

// handleUser takes a user's request into the users' stage. What a full stage can't take is told at once to come back, unless nothing can
// become of it anyway.
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
	case g.stage <- struct{}{}:
		arrived := time.Now()
		go func() {
			defer func() { <-g.stage }()
			status := g.answerUser(action, id, req.Body, rsp)
			g.Log.Debug("user answered", "path", req.Path, "status", status, "after", time.Since(arrived))
		}()
	default:
		g.refuseUser(action, id, req.Body, rsp)
	}
}

// refuseUser answers a request for which the stage has no room.
func (g *Gateway) refuseUser(action action, id string, body []byte, rsp *transport.Responder) {
	switch {
	case action != submit && !protocol.ValidJobID(id):
		rsp.Respond(404, nil, 0)
	case action == submit && g.malformed(body):
		rsp.Respond(400, nil, 0)
	default:
		rsp.Respond(503, nil, limits.RetryAfter)
	}
}

// answerUser works on a user's request and answers it. It returns the status.
func (g *Gateway) answerUser(action action, id string, body []byte, rsp *transport.Responder) (status int) {
	limit := limits.SubmitAnswer
	if action == show {
		limit = limits.UserAnswer
	}
	ctx, cancel := context.WithTimeout(g.ctx, limit)
	defer cancel()
	var answer any
	switch action {
	case submit:
		status, answer = g.submit(ctx, body)
	case show:
		status, answer = g.show(ctx, id)
	case cancelRun:
		status, answer = g.cancel(ctx, id)
	}
	var encoded []byte
	if answer != nil {
		encoded = protocol.Encode(answer)
	}
	retryAfter := 0
	if status == 503 {
		failing := g.Store.Failing()
		retryAfter = limits.RetryAfterSeconds(failing)
		if failing > limits.AloneAfter {
			// Perhaps only we are cut off, from the other controllers as well, so that we stay in service. The user's next try should not
			// come here again only because the connection is still open.
			rsp.CloseAfter()
		}
	}
	rsp.Respond(status, encoded, retryAfter)
	return status
}

// parse reads a submission. Where the workers know no gangs, there is no such shape.
func (g *Gateway) parse(body []byte) (*protocol.Spec, error) {
	spec, err := protocol.ParseSpec(body)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	if spec.Gang() && !g.Settings.Facts.Workers.Gangs() {
		return nil, fmt.Errorf("%w: Shape: %s is not known to the workers here", protocol.ErrInvalid, spec.Shape)
	}
	return spec, nil
}

func (g *Gateway) malformed(body []byte) bool {
	_, err := g.parse(body)
	return err != nil
}

// health is 503 while we alone do not reach the state service: then users are better served by another node. In an outage for all it stays
// 200, as it would help nobody if all nodes were taken out; a node that hears of no other either cannot tell which it is.
func (g *Gateway) health() int {
	if g.Store.Failing() < limits.AloneAfter {
		g.alone.Store(false)
		return 200
	}
	if g.asking.CompareAndSwap(false, true) {
		go func() {
			defer g.asking.Store(false)
			g.alone.Store(g.Peers.Able(g.ctx) != "")
			// Nobody may call while we are out of service, so look for ourselves whether it is over.
			_, _ = g.Store.Get(g.ctx, storage.KeyTerm)
		}()
	}
	if g.alone.Load() {
		return 503
	}
	return 200
}

type action uint8

const (
	submit action = iota
	show
	cancelRun
)

// route finds the method and action of a users' path.
func route(path string) (method, id string, a action, ok bool) {
	rest, ok := strings.CutPrefix(path, "/v2/runs")
	if !ok {
		return "", "", 0, false
	}
	if rest == "" {
		return "POST", "", submit, true
	}
	if rest[0] != '/' {
		return "", "", 0, false
	}
	id, verb, more := strings.Cut(rest[1:], "/")
	switch {
	case id == "":
		return "", "", 0, false
	case !more:
		return "GET", id, show, true
	case verb == "cancel":
		return "POST", id, cancelRun, true
	}
	return "", "", 0, false
}

// report hands a worker's report to the leader here, or sends the worker to where the leader is.
func (g *Gateway) report(req *transport.Message, rsp *transport.Responder) {
	if !g.Runner.Leads() {
		name := g.Leader()
		if name == g.Node {
			name = ""
		}
		if name == "" || time.Now().UnixNano() < g.cutTill.Load() {
			// We know of no leader or cannot reach it either, so the worker may try another node.
			redirect(rsp, "")
			return
		}
		select {
		case g.relays <- struct{}{}:
			go g.relay(name, req.Body, rsp)
		default:
			redirect(rsp, name)
		}
		return
	}
	g.Runner.Report(req.Body, rsp.Before() == 200, func(status int, body []byte) { rsp.Respond(status, body, 0) })
}

// relay asks the leader about a worker that came here. Mostly the leader wants it to come itself; if it cannot, as when the
// network between its zone and the leader's is cut, the leader answers its reports through us.
func (g *Gateway) relay(name string, body []byte, rsp *transport.Responder) {
	defer func() { <-g.relays }()
	status, answer, err := g.Peers.Relay(g.ctx, name, body, rsp.Before() == 200)
	if err != nil {
		g.cutTill.Store(time.Now().Add(limits.CutPause).UnixNano())
		g.Log.Debug("leader not reached", "leader", name, "err", err)
		redirect(rsp, "")
		return
	}
	rsp.Respond(status, answer, 0)
}

// redirect sends a worker to a node, or with no name to the next one.
func redirect(rsp *transport.Responder, name string) {
	rsp.Respond(421, protocol.Encode(protocol.Redirect{Leader: name}), 0)
}

type problem struct {
	Error string `cbor:"error"`
}

func (g *Gateway) retryLater(err error) (int, any) {
	g.Log.Debug("user told to come back", "err", err)
	return 503, problem{Error: "not now"}
}

// submit accepts a job: the answer is given only after the record is known to be written.
func (g *Gateway) submit(ctx context.Context, body []byte) (int, any) {
	spec, err := g.parse(body)
	if err != nil {
		return 400, problem{Error: err.Error()}
	}
	if st, over := g.over(spec.ID); over {
		return 200, st
	}
	types := g.types.Load()
	if types == nil {
		return g.retryLater(errors.New("machine types not known yet"))
	}
	if why := g.refusal(spec, *types); why != "" {
		return g.refuseUnlessKnown(ctx, spec.ID, 422, why)
	}
	rec := storage.Open{Spec: *spec, AtMs: time.Now().UnixMilli()}
	if !storage.Fits(rec, g.Settings.Facts.State.ValueKB) {
		return g.refuseUnlessKnown(ctx, spec.ID, 400, "too long")
	}
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: storage.OpenKey(spec.ID)}, {Key: storage.FinalKey(spec.ID)}},
		Ops:        []protocol.Op{{Put: storage.OpenKey(spec.ID), Value: protocol.Encode(rec)}},
	}
	_, err = g.Store.Txn(ctx, txn)
	var conflict *storage.Conflict
	switch {
	case err == nil:
		return 201, protocol.JobStatus{ID: spec.ID, State: protocol.Pending}
	case errors.As(err, &conflict), errors.Is(err, storage.ErrUnclear):
		// It is there already, or may have been written just now. What is not there yet may still be: the user asks again, and the
		// guards make sure that it is written once.
		st, known, rerr := g.standing(ctx, spec.ID)
		if rerr != nil {
			return g.retryLater(rerr)
		}
		if known {
			return 200, st
		}
		return g.retryLater(err)
	case errors.Is(err, storage.ErrBadRequest):
		g.Log.Error("submission not storable", "job", spec.ID, "err", err)
		return 400, problem{Error: "cannot be stored"}
	}
	return g.retryLater(err)
}

// refuseUnlessKnown refuses a submission. A job that was accepted stays accepted, even if machine types or limits have changed since.
func (g *Gateway) refuseUnlessKnown(ctx context.Context, id string, status int, why string) (int, any) {
	st, known, err := g.standing(ctx, id)
	if err != nil {
		return g.retryLater(err)
	}
	if known {
		return 200, st
	}
	return status, problem{Error: why}
}

// refusal says why a job can never run, or "".
func (g *Gateway) refusal(spec *protocol.Spec, types []protocol.MachineType) string {
	for _, t := range g.Settings.Facts.Teams {
		if t.Name == spec.Team {
			if !scheduler.Runnable(spec, types, t.CPUsMax, t.GPUsMax) {
				return "no allowed machine type holds a task, or the team's limit is below one task, or below all tasks of a gang"
			}
			return ""
		}
	}
	return "unknown team"
}

// over tells what became of a job, if that is known here to be so for good.
func (g *Gateway) over(id string) (protocol.JobStatus, bool) {
	f, ok := g.finals.get(id)
	return protocol.JobStatus{ID: id, State: f}, ok
}

// standing reads a job's state. It looks at the open record first and then at the final one; as a job moves from the one to the other in
// one
// transaction, it is never missed.
func (g *Gateway) standing(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	if st, over := g.over(id); over {
		return st, true, nil
	}
	st := protocol.JobStatus{ID: id}
	p, err := g.Store.Get(ctx, storage.OpenKey(id))
	if err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	if p.Version != 0 {
		var o storage.Open
		if err := protocol.Decode(p.Value, &o); err != nil {
			return st, false, fmt.Errorf("read %s: %w", id, err)
		}
		st.State = protocol.Pending
		if o.Cancelled {
			// "aborted" is a confirmation, also to a poll. "pending" may be an older answer than another controller's.
			if !g.confirm(ctx, id, p) {
				return st, false, errUnconfirmed
			}
			st.State = protocol.Aborted
		}
		return st, true, nil
	}
	p, err = g.Store.Get(ctx, storage.FinalKey(id))
	if err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	if p.Version == 0 {
		return st, false, nil
	}
	var f storage.Final
	if err := protocol.Decode(p.Value, &f); err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	g.finals.put(id, f.State)
	st.State = f.State
	return st, true, nil
}

// show answers a poll.
func (g *Gateway) show(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return 404, problem{Error: "no such job"}
	}
	st, known, err := g.standing(ctx, id)
	if err != nil {
		return g.retryLater(err)
	}
	if !known {
		return 404, problem{Error: "no such job"}
	}
	if st.State == protocol.Pending {
		if c, ok := g.counts(ctx, id); ok {
			st.Done, st.Running = &c.Done, &c.Running
			if c.Running > 0 {
				st.State = protocol.Running
			}
		}
	}
	return 200, st
}

func (g *Gateway) counts(ctx context.Context, id string) (peer.Counts, bool) {
	if g.Runner.Leads() {
		return g.Runner.Counts(ctx, id)
	}
	return g.Peers.Counts(ctx, g.Leader(), id)
}

var errUnconfirmed = errors.New("cancellation not confirmed yet")

// confirm tells whether a cancellation that is in the state service binds whoever may lead, so that the user may be told. The leader's
// own watch
// does not see to that: if the state service refuses the leader alone and then everybody, it goes on by pledges and hears nothing of the
// cancellation until cancel_s is long over. So one of these must hold, after the record was there:
//   - the leader says that it knows, and was entitled then. No other was, and later ones read the record;
//   - the leader has written a heartbeat that covers the record. Such a write succeeds only while no later term has begun;
//   - there is no leader key. Its hold is over, so no leader is entitled, and the next one reads the record.
func (g *Gateway) confirm(ctx context.Context, id string, p protocol.Pair) bool {
	known := g.Runner.Confirm(ctx, id, p.Version, p.Value) || g.Peers.Confirm(ctx, g.Leader(), id, p.Version, p.Value) || g.covered(ctx, p.Version)
	if known {
		g.finals.put(id, protocol.Aborted) // it stays so, whatever leader comes
	}
	return known
}

func (g *Gateway) covered(ctx context.Context, stamp uint64) bool {
	p, err := g.Store.Get(ctx, storage.KeyHeartbeat)
	if err != nil {
		return false
	}
	var heartbeat storage.Heartbeat
	if p.Version != 0 && protocol.Decode(p.Value, &heartbeat) == nil && heartbeat.Seen >= stamp {
		return true
	}
	p, err = g.Store.Get(ctx, storage.KeyLeader)
	return err == nil && p.Version == 0
}

// cancelled answers a cancellation whose record is there.
func (g *Gateway) cancelled(ctx context.Context, id string, p protocol.Pair) (int, any) {
	if !g.confirm(ctx, id, p) {
		return g.retryLater(errUnconfirmed)
	}
	return 200, protocol.JobStatus{ID: id, State: protocol.Aborted}
}

// cancel marks a job as cancelled, and has the leader know of it before the user does.
func (g *Gateway) cancel(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return 404, problem{Error: "no such job"}
	}
	if st, over := g.over(id); over {
		return 200, st
	}
	for {
		p, err := g.Store.Get(ctx, storage.OpenKey(id))
		if err != nil {
			return g.retryLater(err)
		}
		if p.Version == 0 {
			st, known, err := g.standing(ctx, id)
			switch {
			case err != nil:
				return g.retryLater(err)
			case !known:
				return 404, problem{Error: "no such job"}
			case st.State == protocol.Done || st.State == protocol.Aborted:
				return 200, st
			}
			continue // submitted between the two reads
		}
		var o storage.Open
		if err := protocol.Decode(p.Value, &o); err != nil {
			return g.retryLater(err)
		}
		if o.Cancelled {
			return g.cancelled(ctx, id, p)
		}
		o.Cancelled, o.CancelMs = true, time.Now().UnixMilli()
		data := protocol.Encode(o.Shortened(g.Settings.Facts.State.ValueKB))
		rev, err := g.Store.Txn(ctx, protocol.Txn{
			Conditions: []protocol.Condition{{Key: storage.OpenKey(id), Version: p.Version}},
			Ops:        []protocol.Op{{Put: storage.OpenKey(id), Value: data}},
		})
		if err == nil {
			return g.cancelled(ctx, id, protocol.Pair{Version: rev, Value: data})
		}
		var conflict *storage.Conflict
		if !errors.As(err, &conflict) && !errors.Is(err, storage.ErrUnclear) {
			return g.retryLater(err)
		}
		// It finished or was cancelled meanwhile, or this write was carried out and its answer lost: look again, within the
		// user's time. The context ends the loop.
	}
}

// finals caches final states, which never change.
type finals struct {
	mu   sync.Mutex
	m    map[string]string
	ring []string
	next int
}

func (f *finals) get(id string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.m[id]
	return s, ok
}

func (f *finals) put(id, standing string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.m[id]; ok {
		return
	}
	f.m[id] = standing
	if len(f.ring) < limits.FinalCache {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.m, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % limits.FinalCache
}
