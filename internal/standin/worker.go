package standin

import (
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// The times that stand-in workers keep.
const (
	reportEvery = time.Second
	leaseFor    = 10 * time.Second
	answerIn    = 4 * time.Second
)

// worker is a machine of the stand-in cloud. Its tasks only wait for the time that their owner reckons with.
type worker struct {
	cloud  *Cloud
	typ    *protocol.Rigkind
	cancel context.CancelFunc
	born   time.Time

	mu    sync.Mutex
	rig   protocol.Rig
	shift uint64
	tally uint64
	baton uint64
	tasks map[string]*task // by piece and attempt
}

type task struct {
	protocol.TaskReport
	ends time.Time
}

// run boots the machine and reports until the context ends.
func (w *worker) run(ctx context.Context) {
	if !storage.Sleep(ctx, time.Duration(w.typ.StartupS*float64(time.Second))) {
		return
	}
	addr, err := freeAddress()
	if err != nil {
		w.cloud.Log.Error("worker", "err", err)
		return
	}
	w.mu.Lock()
	w.rig.Address, w.rig.Standing = addr, protocol.RigRunning
	w.shift, w.tasks = 1, map[string]*task{}
	w.mu.Unlock()
	server := &transport.Server{Addr: addr, MaxConns: 20, Handle: w.handle, Log: w.cloud.Log}
	go func() {
		if err := server.Run(ctx); err != nil {
			w.cloud.Log.Error("worker", "machine", w.rig.NameId, "err", err)
		}
	}()
	var names []string
	for n := range w.cloud.Controllers {
		names = append(names, n)
	}
	sort.Strings(names)
	at, answered := 0, time.Now()
	for ctx.Err() == nil {
		if time.Since(answered) > leaseFor {
			w.mu.Lock()
			w.shift++
			w.tasks = map[string]*task{}
			w.mu.Unlock()
			answered = time.Now()
		}
		sent := time.Now()
		w.mu.Lock()
		r := w.report()
		w.mu.Unlock()
		status, leader, reply := w.send(ctx, w.cloud.Controllers[names[at]], r)
		pause := reportEvery
		switch {
		case status == 200 && w.take(r.Shift, reply):
			answered = sent
		case status == 421 && leader != "" && leader != names[at]:
			for i, n := range names {
				if n == leader {
					at = i
				}
			}
			pause = reportEvery / 10
		default:
			at = (at + 1) % len(names)
		}
		if !storage.Sleep(ctx, pause) {
			return
		}
	}
}

// send makes one report over a connection of its own.
func (w *worker) send(ctx context.Context, addr string, r protocol.Report) (status int, leader string, reply protocol.ReportReply) {
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	c := transport.NewClient(addr, 0, limits.MaxBodyBytes)
	m, err := c.Do(ctx, "POST", "/v1/report", protocol.Encode(r))
	if err != nil {
		return 0, "", reply
	}
	switch m.Status {
	case 200:
		if protocol.Decode(m.Body, &reply) != nil {
			return 0, "", reply
		}
	case 421:
		var to protocol.Redirect
		if protocol.Decode(m.Body, &to) == nil {
			leader = to.Foreman
		}
	}
	return m.Status, leader, reply
}

// take executes an answer, unless its token is old or the session has changed.
func (w *worker) take(shift uint64, reply protocol.ReportReply) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Baton < w.baton || shift != w.shift {
		return false
	}
	w.baton = reply.Baton
	w.execute(reply.Orders)
	return true
}

// report makes a report; the caller has the lock.
func (w *worker) report() protocol.Report {
	w.tally++
	r := protocol.Report{Rig: w.rig.NameId, Address: w.rig.Address, Rigkind: w.rig.Rigkind, Yard: w.rig.Yard, Lendable: w.rig.Lendable,
		Shift: w.shift, Tally: w.tally, Baton: w.baton, Pieces: []protocol.TaskReport{}}
	var keys []string
	for k := range w.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t := w.tasks[k]
		if t.Standing == protocol.Running && time.Now().After(t.ends) {
			t.Standing, t.Cause = protocol.Ended, protocol.CauseDone
		}
		r.Pieces = append(r.Pieces, t.TaskReport)
	}
	return r
}

func taskKey(piece string, try uint64) string { return fmt.Sprintf("%s#%d", piece, try) }

// execute carries out orders; the caller has the lock.
func (w *worker) execute(orders []protocol.Order) {
	for _, o := range orders {
		key := taskKey(o.Piece, o.Try)
		t := w.tasks[key]
		switch {
		case o.Verb == protocol.VerbStart && t == nil:
			w.tasks[key] = w.begin(o)
		case o.Verb == protocol.VerbStop && t != nil && t.Standing != protocol.Ended:
			t.Standing, t.Cause = protocol.Ended, protocol.CauseHalted
		case o.Verb == protocol.VerbForget && t != nil && t.Standing == protocol.Ended:
			delete(w.tasks, key)
		}
	}
}

func (w *worker) begin(o protocol.Order) *task {
	t := &task{TaskReport: protocol.TaskReport{Piece: o.Piece, Try: o.Try, Standing: protocol.Ended, Cause: protocol.CauseNoSuch}}
	id, _, ok := protocol.ParsePiece(o.Piece)
	if !ok {
		return t
	}
	p, ok := w.cloud.State.Get(storage.OpenKey(id))
	var rec storage.Open
	if !ok || protocol.Decode(p.Data, &rec) != nil {
		return t
	}
	t.Standing, t.Cause = protocol.Running, ""
	t.ends = time.Now().Add(time.Duration(rec.Spec.ReckonS * float64(time.Second)))
	return t
}

func (w *worker) handle(req *transport.Message, rsp *transport.Responder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case req.Path == "/status" && req.Method == "GET":
		rsp.Respond(200, protocol.Encode(w.report()), 0)
	case req.Path == "/do" && req.Method == "POST":
		var d protocol.Direct
		if err := protocol.Decode(req.Body, &d); err != nil || d.Shift == 0 {
			rsp.Respond(400, nil, 0)
			return
		}
		if d.Baton < w.baton || d.Shift != w.shift {
			rsp.Respond(409, protocol.Encode(w.report()), 0)
			return
		}
		w.baton = d.Baton
		w.execute(d.Orders)
		rsp.Respond(200, protocol.Encode(w.report()), 0)
	default:
		rsp.Respond(404, nil, 0)
	}
}

// freeAddress finds a free port on the loopback.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
