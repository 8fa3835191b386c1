package standin

import (
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"sync/atomic"
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
	tryNext     = time.Second

	gangWaitFor = 40 * time.Second
	gangPeerFor = 6 * time.Second
)

// worker is a machine of the stand-in cloud. Its tasks only wait for the time that their owner
// reckons with.
type worker struct {
	cloud  *Cloud
	typ    *protocol.MachineType
	cancel context.CancelFunc
	born   time.Time

	mu       sync.Mutex
	rig      protocol.Machine
	shift    uint64 // 0: not up, or gone
	tally    uint64
	baton    uint64
	answered time.Time        // when the last report was sent that was answered
	hungTill atomic.Int64     // in Unix nanoseconds; also read by other workers of a gang
	tasks    map[string]*task // by piece and attempt
}

type task struct {
	protocol.TaskStatus
	ends time.Time
	gang *gang // nil if its job's tasks are independent
}

// run boots the machine and reports until the context ends.
func (w *worker) run(ctx context.Context) {
	if !storage.Sleep(ctx, time.Duration(w.typ.BootS*float64(time.Second))) {
		return
	}
	addr, err := w.listen(ctx)
	if err != nil {
		w.cloud.Log.Error("worker", "err", err)
		return
	}
	w.mu.Lock()
	if ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	w.rig.Address, w.rig.State = addr, protocol.MachineRunning
	w.shift, w.tasks, w.answered = 1, map[string]*task{}, time.Now()
	w.mu.Unlock()
	var names []string
	clients := map[string]*transport.Client{}
	for n, a := range w.cloud.Controllers {
		names = append(names, n)
		clients[n] = transport.NewClient(a, 1, limits.MaxBodyBytes).WithDialer(w.cloud.dialer(w.rig.Name))
		defer clients[n].Close()
	}
	sort.Strings(names)
	at := 0
	for w.awake(ctx) {
		sent := time.Now()
		w.mu.Lock()
		r := w.report()
		w.mu.Unlock()
		status, leader, reply := w.send(ctx, clients[names[at]], r)
		if !w.awake(ctx) {
			return
		}
		pause := limits.Seconds(w.cloud.Times.ReportS)
		switch {
		case status == 200:
			if time.Since(sent) < answerIn {
				w.take(r.Incarnation, reply, sent)
			}
		case status == 421 && leader != "" && leader != names[at]:
			clients[names[at]].Close()
			for i, n := range names {
				if n == leader {
					at = i
				}
			}
			pause = tryNext / 10
		default:
			at = (at + 1) % len(names)
			pause = tryNext
		}
		if !storage.Sleep(ctx, pause) {
			return
		}
	}
}

// listen serves direct commands.
func (w *worker) listen(ctx context.Context) (string, error) {
	options := transport.ServerOptions{MaxConns: 20, Handle: w.handle, Log: w.cloud.Log}
	if w.cloud.Net != nil {
		addr := w.rig.Name + ":9000"
		go Serve(w.cloud.Net.Listen(addr), transport.NewServer(options))
		return addr, nil
	}
	addr, err := freeAddress()
	if err != nil {
		return "", err
	}
	options.Addr = addr
	go func() {
		if err := transport.NewServer(options).Run(ctx); err != nil {
			w.cloud.Log.Error("worker", "machine", w.rig.Name, "err", err)
		}
	}()
	return addr, nil
}

// awake waits while the machine hangs, and then looks at its lease before all else. It returns
// false once the machine is gone.
func (w *worker) awake(ctx context.Context) bool {
	for {
		w.mu.Lock()
		hung := w.hangs()
		if hung <= 0 {
			w.expire()
			w.mu.Unlock()
			return ctx.Err() == nil
		}
		w.mu.Unlock()
		if !storage.Sleep(ctx, hung) {
			return false
		}
	}
}

// hangs is for how long the machine does nothing yet.
func (w *worker) hangs() time.Duration { return time.Until(time.Unix(0, w.hungTill.Load())) }

// lapsed tells whether the lease is over; the caller has the lock.
func (w *worker) lapsed() bool {
	return time.Since(w.answered) > limits.Seconds(w.cloud.Times.LeaseS)
}

// expire ends the session when its lease is over; the caller has the lock.
func (w *worker) expire() {
	if w.shift > 0 && w.lapsed() {
		w.killAll()
		w.shift++
		w.answered = time.Now()
	}
}

// killAll ends and forgets all tasks; the caller has the lock.
func (w *worker) killAll() {
	for _, t := range w.tasks {
		if t.State == protocol.Running || t.State == protocol.Gathering {
			w.watch(t.Task, false)
		}
		if t.gang != nil && t.State != protocol.Ended {
			t.gang.leave(t.Task)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *worker) watch(piece string, runs bool) {
	if w.cloud.Watch != nil {
		w.cloud.Watch(w.rig.Name, piece, runs)
	}
}

// send makes a report.
func (w *worker) send(ctx context.Context, c *transport.Client, r protocol.Heartbeat) (status int, leader string, reply protocol.HeartbeatReply) {
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	body := protocol.Encode(r)
	if after, ok := w.cloud.copied(w.rig.Name); ok {
		time.AfterFunc(after, func() { w.copy(body) })
	}
	m, err := c.Do(ctx, "POST", "/v1/report", body)
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
			leader = to.Leader
		}
	}
	return m.Status, leader, reply
}

// copy brings a report again, to every controller; nobody waits for the answers.
func (w *worker) copy(body []byte) {
	for _, addr := range w.cloud.Controllers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerIn)
			defer cancel()
			c := transport.NewClient(addr, 0, limits.MaxBodyBytes).WithDialer(w.cloud.dialer("copies"))
			_, _ = c.Do(ctx, "POST", "/v1/report", body)
		}()
	}
}

// take executes an answer, unless its token is old or the session has changed.
func (w *worker) take(shift uint64, reply protocol.HeartbeatReply, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.FencingToken < w.baton || shift != w.shift {
		return
	}
	w.baton, w.answered = reply.FencingToken, sent
	w.execute(reply.Commands)
}

// report makes a report; the caller has the lock.
func (w *worker) report() protocol.Heartbeat {
	w.tally++
	r := protocol.Heartbeat{Machine: w.rig.Name, Address: w.rig.Address, MachineType: w.rig.MachineType, Zone: w.rig.Zone, Spot: w.rig.Spot,
		Incarnation: w.shift, Sequence: w.tally, FencingToken: w.baton, Tasks: []protocol.TaskStatus{}}
	var keys []string
	for k := range w.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t := w.tasks[k]
		switch {
		case t.gang != nil && t.State != protocol.Ended:
			w.lookAtGang(t)
		case t.State == protocol.Running && time.Now().After(t.ends):
			w.end(t, protocol.ReasonDone)
		}
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// lookAtGang brings a task in line with its gang; the caller has the lock.
func (w *worker) lookAtGang(t *task) {
	shown := t.gang.look(t.Task)
	t.State, t.Reason, t.Saved = shown.State, shown.Reason, shown.Saved
	if t.State == protocol.Ended {
		w.watch(t.Task, false)
	}
}

// end ends a task that runs; the caller has the lock.
func (w *worker) end(t *task, cause string) {
	t.State, t.Reason = protocol.Ended, cause
	if cause == protocol.ReasonDone {
		w.cloud.complete(t.Task)
	}
	w.watch(t.Task, false)
}

func taskKey(piece string, try uint64) string { return fmt.Sprintf("%s#%d", piece, try) }

// execute carries out orders; the caller has the lock.
func (w *worker) execute(orders []protocol.Command) {
	for _, o := range orders {
		key := taskKey(o.Task, o.Attempt)
		t := w.tasks[key]
		switch {
		case o.Verb == protocol.CommandStart && t == nil:
			w.tasks[key] = w.begin(o)
		case o.Verb == protocol.CommandStop && t != nil && t.State != protocol.Ended:
			if t.gang != nil && o.GraceS != nil && t.gang.stop(t.Task, *o.GraceS) {
				continue // it saves
			}
			w.end(t, protocol.ReasonStopped)
		case o.Verb == protocol.CommandForget && t != nil && t.State == protocol.Ended:
			delete(w.tasks, key)
		}
	}
}

func (w *worker) begin(o protocol.Command) *task {
	t := &task{TaskStatus: protocol.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: protocol.Ended, Reason: protocol.ReasonUnknownTask}}
	id, _, ok := protocol.ParseTaskName(o.Task)
	if !ok {
		return t
	}
	for _, other := range w.tasks {
		if other.Task == o.Task && other.State != protocol.Ended {
			t.Reason = protocol.ReasonBusy
			return t
		}
	}
	spec, ok := w.cloud.spec(id)
	if !ok {
		return t
	}
	if w.cloud.Done(o.Task) {
		t.Reason = protocol.ReasonDone
		return t
	}
	if spec.Gang() {
		t.State, t.Reason = protocol.Gathering, ""
		t.gang = w.cloud.gangs.attempt(spec, o.Attempt, w.cloud.gangTimes())
		t.gang.join(o.Task, func() bool { return w.hangs() > 0 })
		w.watch(o.Task, true)
		return t
	}
	t.State, t.Reason = protocol.Running, ""
	t.ends = time.Now().Add(limits.Seconds(spec.EstimateS))
	w.watch(o.Task, true)
	return t
}

func (c *Cloud) spec(id string) (protocol.Spec, bool) {
	if c.Spec != nil {
		return c.Spec(id)
	}
	p, ok := c.State.Get(storage.OpenJobKey(id))
	var rec storage.OpenJob
	if !ok || protocol.Decode(p.Value, &rec) != nil {
		return rec.Spec, false
	}
	return rec.Spec, true
}

func (w *worker) handle(req *transport.Message, rsp *transport.Responder) {
	if hung := w.hangs(); hung > 0 {
		time.AfterFunc(hung, func() { w.handle(req, rsp) })
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	switch {
	case w.shift == 0: // gone
		rsp.Respond(404, nil, 0)
	case req.Path == "/status" && req.Method == "GET":
		rsp.Respond(200, protocol.Encode(w.report()), 0)
	case req.Path == "/do" && req.Method == "POST":
		var d protocol.DirectCommands
		if err := protocol.Decode(req.Body, &d); err != nil || d.Incarnation == 0 {
			rsp.Respond(400, nil, 0)
			return
		}
		if d.FencingToken < w.baton || d.Incarnation != w.shift {
			rsp.Respond(409, protocol.Encode(w.report()), 0)
			return
		}
		w.baton = d.FencingToken
		w.execute(d.Commands)
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
