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
	Node       string
	Store      *storage.Store
	Dispatcher *leader.Dispatcher
	Peers      *peer.Peers
	Leader     func() string // name of the leading node, or ""
	Settings   *config.Settings
	UserSlots  int // most users' requests worked on at once
	Log        *slog.Logger

	ctx          context.Context
	userSlots    chan struct{}
	machineTypes atomic.Pointer[[]protocol.MachineType]
	finalStates  finalStateCache

	relaySlots             chan struct{}
	isolated               atomic.Bool // another node reaches the state service and we do not
	checkingIsolation      atomic.Bool
	leaderUnreachableUntil atomic.Int64 // until when the leader is taken to be out of our reach, in Unix nanoseconds
}

// Start prepares the gateway; its work ends with the context.
func (g *Gateway) Start(ctx context.Context) {
	g.ctx = ctx
	g.userSlots = make(chan struct{}, g.UserSlots)
	g.relaySlots = make(chan struct{}, limits.RelaySlots)
	g.finalStates.states = map[string]string{}
	go g.followMachineTypes(ctx)
}

// followMachineTypes keeps the machine types up to date.
func (g *Gateway) followMachineTypes(ctx context.Context) {
	var back storage.Backoff
	for {
		stored, err := g.Store.ReadMachineTypes(ctx)
		if err == nil {
			g.machineTypes.Store(&stored.Types)
			back.Reset()
			select {
			case <-ctx.Done():
				return
			case <-time.After(limits.MachineTypesInterval):
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
		if !rsp.ClaimMachineSlot() {
			rsp.Respond(503, nil, 0)
			return
		}
		g.handleHeartbeat(req, rsp)
	default:
		g.handleUser(req, rsp)
	}
}

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
		rsp.Respond(503, nil, limits.RetryAfter)
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

// parseSubmission reads a submission. Where the workers know no gangs, there is no such shape.
func (g *Gateway) parseSubmission(body []byte) (*protocol.Spec, error) {
	spec, err := protocol.ParseSpec(body)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	if spec.Gang() && !g.Settings.Facts.Workers.Gangs() {
		return nil, fmt.Errorf("%w: Shape: %s is not known to the workers here", protocol.ErrInvalid, spec.Shape)
	}
	return spec, nil
}

func (g *Gateway) isMalformed(body []byte) bool {
	_, err := g.parseSubmission(body)
	return err != nil
}

// health is 503 while we alone do not reach the state service: then users are better served by
// another node. In an outage for all it stays 200, as it would help nobody if all nodes were taken
// out; a node that hears of no other either cannot tell which it is.
func (g *Gateway) health() int {
	if g.Store.FailingFor() < limits.IsolatedAfter {
		g.isolated.Store(false)
		return 200
	}
	if g.checkingIsolation.CompareAndSwap(false, true) {
		go func() {
			defer g.checkingIsolation.Store(false)
			g.isolated.Store(g.Peers.FindConnected(g.ctx) != "")
			// Nobody may call while we are out of service, so look for ourselves whether it is over.
			_, _ = g.Store.Get(g.ctx, storage.KeyTerm)
		}()
	}
	if g.isolated.Load() {
		return 503
	}
	return 200
}

type userAction uint8

const (
	actionSubmit userAction = iota
	actionShow
	actionCancel
)

// route finds the method and action of a users' path.
func route(path string) (method, id string, a userAction, ok bool) {
	rest, ok := strings.CutPrefix(path, "/v2/runs")
	if !ok {
		return "", "", 0, false
	}
	if rest == "" {
		return "POST", "", actionSubmit, true
	}
	if rest[0] != '/' {
		return "", "", 0, false
	}
	id, verb, more := strings.Cut(rest[1:], "/")
	switch {
	case id == "":
		return "", "", 0, false
	case !more:
		return "GET", id, actionShow, true
	case verb == "cancel":
		return "POST", id, actionCancel, true
	}
	return "", "", 0, false
}

// handleHeartbeat hands a worker's report to the leader here, or sends the worker to where the
// leader is.
func (g *Gateway) handleHeartbeat(req *transport.Message, rsp *transport.Responder) {
	if !g.Dispatcher.IsLeader() {
		name := g.Leader()
		if name == g.Node {
			name = ""
		}
		if name == "" || time.Now().UnixNano() < g.leaderUnreachableUntil.Load() {
			// We know of no leader or cannot reach it either, so the worker may try another node.
			redirect(rsp, "")
			return
		}
		select {
		case g.relaySlots <- struct{}{}:
			go g.relayHeartbeat(name, req.Body, rsp)
		default:
			redirect(rsp, name)
		}
		return
	}
	g.Dispatcher.Heartbeat(req.Body, rsp.PreviousStatus() == 200, func(status int, body []byte) { rsp.Respond(status, body, 0) })
}

// relayHeartbeat asks the leader about a worker that came here. Mostly the leader wants it to come
// itself; if it cannot, as when the network between its zone and the leader's is cut, the leader
// answers its reports through us.
func (g *Gateway) relayHeartbeat(name string, body []byte, rsp *transport.Responder) {
	defer func() { <-g.relaySlots }()
	status, answer, err := g.Peers.RelayHeartbeat(g.ctx, name, body, rsp.PreviousStatus() == 200)
	if err != nil {
		g.leaderUnreachableUntil.Store(time.Now().Add(limits.LeaderUnreachablePause).UnixNano())
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

type errorBody struct {
	Error string `cbor:"error"`
}

func (g *Gateway) retryLater(err error) (int, any) {
	g.Log.Debug("user told to come back", "err", err)
	return 503, errorBody{Error: "not now"}
}

// submitJob accepts a job: the answer is given only after the record is known to be written.
func (g *Gateway) submitJob(ctx context.Context, body []byte) (int, any) {
	spec, err := g.parseSubmission(body)
	if err != nil {
		return 400, errorBody{Error: err.Error()}
	}
	if st, over := g.finalState(spec.ID); over {
		return 200, st
	}
	types := g.machineTypes.Load()
	if types == nil {
		return g.retryLater(errors.New("machine types not known yet"))
	}
	if why := g.rejectionReason(spec, *types); why != "" {
		return g.rejectUnlessAccepted(ctx, spec.ID, 422, why)
	}
	rec := storage.OpenJob{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
	if !storage.FitsValueLimit(rec, g.Settings.Facts.State.ValueKB) {
		return g.rejectUnlessAccepted(ctx, spec.ID, 400, "too long")
	}
	txn := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.OpenJobKey(spec.ID)}, {Key: storage.FinalJobKey(spec.ID)}},
		Operations: []protocol.Operation{{Put: storage.OpenJobKey(spec.ID), Value: protocol.Encode(rec)}},
	}
	_, err = g.Store.CompareAndSwap(ctx, txn)
	var conflict *storage.ConflictError
	switch {
	case err == nil:
		return 201, protocol.JobStatus{ID: spec.ID, State: protocol.Pending}
	case errors.As(err, &conflict), errors.Is(err, storage.ErrOutcomeUnknown):
		// It is there already, or may have been written just now. What is not there yet may still
		// be: the user asks again, and the guards make sure that it is written once.
		st, known, rerr := g.readJobStatus(ctx, spec.ID)
		if rerr != nil {
			return g.retryLater(rerr)
		}
		if known {
			return 200, st
		}
		return g.retryLater(err)
	case errors.Is(err, storage.ErrBadRequest):
		g.Log.Error("submission not storable", "job", spec.ID, "err", err)
		return 400, errorBody{Error: "cannot be stored"}
	}
	return g.retryLater(err)
}

// rejectUnlessAccepted refuses a submission. A job that was accepted stays accepted, even if
// machine types or limits have changed since.
func (g *Gateway) rejectUnlessAccepted(ctx context.Context, id string, status int, why string) (int, any) {
	st, known, err := g.readJobStatus(ctx, id)
	if err != nil {
		return g.retryLater(err)
	}
	if known {
		return 200, st
	}
	return status, errorBody{Error: why}
}

// rejectionReason says why a job can never run, or "".
func (g *Gateway) rejectionReason(spec *protocol.Spec, types []protocol.MachineType) string {
	for _, t := range g.Settings.Facts.Teams {
		if t.Name == spec.Team {
			if !scheduler.CanEverRun(spec, types, t.CPUsMax, t.GPUsMax) {
				return "no allowed machine type holds a task, or the team's limit is below one task, or below all tasks of a gang"
			}
			return ""
		}
	}
	return "unknown team"
}

// finalState tells what became of a job, if that is known here to be so for good.
func (g *Gateway) finalState(id string) (protocol.JobStatus, bool) {
	f, ok := g.finalStates.get(id)
	return protocol.JobStatus{ID: id, State: f}, ok
}

// readJobStatus reads a job's state. It looks at the open record first and then at the final one;
// as a job moves from the one to the other in one transaction, it is never missed.
func (g *Gateway) readJobStatus(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	if st, over := g.finalState(id); over {
		return st, true, nil
	}
	st := protocol.JobStatus{ID: id}
	p, err := g.Store.Get(ctx, storage.OpenJobKey(id))
	if err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	if p.Version != 0 {
		var o storage.OpenJob
		if err := protocol.Decode(p.Value, &o); err != nil {
			return st, false, fmt.Errorf("read %s: %w", id, err)
		}
		st.State = protocol.Pending
		if o.Cancelled {
			// "aborted" is a confirmation, also to a poll. "pending" may be an older answer than
			// another controller's.
			if !g.confirmCancellation(ctx, id, p) {
				return st, false, errUnconfirmed
			}
			st.State = protocol.Aborted
		}
		return st, true, nil
	}
	p, err = g.Store.Get(ctx, storage.FinalJobKey(id))
	if err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	if p.Version == 0 {
		return st, false, nil
	}
	var f storage.FinalJob
	if err := protocol.Decode(p.Value, &f); err != nil {
		return st, false, fmt.Errorf("read %s: %w", id, err)
	}
	g.finalStates.put(id, f.State)
	st.State = f.State
	return st, true, nil
}

// showJob answers a poll.
func (g *Gateway) showJob(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return 404, errorBody{Error: "no such job"}
	}
	st, known, err := g.readJobStatus(ctx, id)
	if err != nil {
		return g.retryLater(err)
	}
	if !known {
		return 404, errorBody{Error: "no such job"}
	}
	if st.State == protocol.Pending {
		if c, ok := g.taskCounts(ctx, id); ok {
			st.Done, st.Running = &c.Done, &c.Running
			if c.Running > 0 {
				st.State = protocol.Running
			}
		}
	}
	return 200, st
}

func (g *Gateway) taskCounts(ctx context.Context, id string) (peer.TaskCounts, bool) {
	if g.Dispatcher.IsLeader() {
		return g.Dispatcher.TaskCounts(ctx, id)
	}
	return g.Peers.TaskCounts(ctx, g.Leader(), id)
}

var errUnconfirmed = errors.New("cancellation not confirmed yet")

// confirmCancellation tells whether a cancellation that is in the state service binds whoever may
// lead, so that the user may be told. The leader's own watch does not see to that: if the state
// service refuses the leader alone and then everybody, it goes on by pledges and hears nothing of
// the cancellation until cancel_s is long over. So one of these must hold, after the record was
// there:
//   - the leader says that it knows, and was entitled then. No other was, and later ones read the record;
//   - the leader has written a heartbeat that covers the record. Such a write succeeds only while no later term has begun;
//   - there is no leader key. Its hold is over, so no leader is entitled, and the next one reads the record.
func (g *Gateway) confirmCancellation(ctx context.Context, id string, p protocol.KeyValue) bool {
	known := g.Dispatcher.ConfirmCancellation(ctx, id, p.Version, p.Value) || g.Peers.ConfirmCancellation(ctx, g.Leader(), id, p.Version, p.Value) || g.coveredByHeartbeat(ctx, p.Version)
	if known {
		g.finalStates.put(id, protocol.Aborted) // it stays so, whatever leader comes
	}
	return known
}

func (g *Gateway) coveredByHeartbeat(ctx context.Context, stamp uint64) bool {
	p, err := g.Store.Get(ctx, storage.KeyLeaderHeartbeat)
	if err != nil {
		return false
	}
	var heartbeat storage.LeaderHeartbeat
	if p.Version != 0 && protocol.Decode(p.Value, &heartbeat) == nil && heartbeat.ObservedRevision >= stamp {
		return true
	}
	p, err = g.Store.Get(ctx, storage.KeyLeader)
	return err == nil && p.Version == 0
}

// answerCancelled answers a cancellation whose record is there.
func (g *Gateway) answerCancelled(ctx context.Context, id string, p protocol.KeyValue) (int, any) {
	if !g.confirmCancellation(ctx, id, p) {
		return g.retryLater(errUnconfirmed)
	}
	return 200, protocol.JobStatus{ID: id, State: protocol.Aborted}
}

// cancelJob marks a job as cancelled, and has the leader know of it before the user does.
func (g *Gateway) cancelJob(ctx context.Context, id string) (int, any) {
	if !protocol.ValidJobID(id) {
		return 404, errorBody{Error: "no such job"}
	}
	if st, over := g.finalState(id); over {
		return 200, st
	}
	for {
		p, err := g.Store.Get(ctx, storage.OpenJobKey(id))
		if err != nil {
			return g.retryLater(err)
		}
		if p.Version == 0 {
			st, known, err := g.readJobStatus(ctx, id)
			switch {
			case err != nil:
				return g.retryLater(err)
			case !known:
				return 404, errorBody{Error: "no such job"}
			case st.State == protocol.Done || st.State == protocol.Aborted:
				return 200, st
			}
			continue // submitted between the two reads
		}
		var o storage.OpenJob
		if err := protocol.Decode(p.Value, &o); err != nil {
			return g.retryLater(err)
		}
		if o.Cancelled {
			return g.answerCancelled(ctx, id, p)
		}
		o.Cancelled, o.CancelledAtMs = true, time.Now().UnixMilli()
		data := protocol.Encode(o.Shortened(g.Settings.Facts.State.ValueKB))
		rev, err := g.Store.CompareAndSwap(ctx, protocol.Transaction{
			Conditions: []protocol.Condition{{Key: storage.OpenJobKey(id), Version: p.Version}},
			Operations: []protocol.Operation{{Put: storage.OpenJobKey(id), Value: data}},
		})
		if err == nil {
			return g.answerCancelled(ctx, id, protocol.KeyValue{Version: rev, Value: data})
		}
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, storage.ErrOutcomeUnknown) {
			return g.retryLater(err)
		}
		// It finished or was cancelled meanwhile, or this write was carried out and its answer
		// lost: look again, within the user's time. The context ends the loop.
	}
}

// finalStateCache caches final states, which never change.
type finalStateCache struct {
	mu     sync.Mutex
	states map[string]string
	ring   []string
	next   int
}

func (f *finalStateCache) get(id string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[id]
	return s, ok
}

func (f *finalStateCache) put(id, standing string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.states[id]; ok {
		return
	}
	f.states[id] = standing
	if len(f.ring) < limits.FinalCache {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.states, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % limits.FinalCache
}
