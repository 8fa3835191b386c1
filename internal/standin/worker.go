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
	heartbeatInterval = time.Second
	leaseDuration     = 10 * time.Second
	answerTimeout     = 4 * time.Second
	retryInterval     = time.Second

	gangWaitTimeout = 40 * time.Second
	gangPeerTimeout = 6 * time.Second
)

// worker is a machine of the stand-in cloud. Its tasks only wait for the time that their owner
// reckons with.
type worker struct {
	cloud       *Cloud
	machineType *protocol.MachineType
	cancel      context.CancelFunc
	createdAt   time.Time

	mu           sync.Mutex
	machine      protocol.Machine
	incarnation  uint64 // 0: not up, or gone
	sequence     uint64
	fencingToken uint64
	leaseStart   time.Time        // when the last report was sent that was answered
	hungUntil    atomic.Int64     // in Unix nanoseconds; also read by other workers of a gang
	tasks        map[string]*task // by piece and attempt
}

type task struct {
	protocol.TaskStatus
	doneAt time.Time
	gang   *gangAttempt // nil if its job's tasks are independent
}

// run boots the machine and reports until the context ends.
func (w *worker) run(ctx context.Context) {
	if !storage.Sleep(ctx, time.Duration(w.machineType.BootS*float64(time.Second))) {
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
	w.machine.Address, w.machine.State = addr, protocol.MachineRunning
	w.incarnation, w.tasks, w.leaseStart = 1, map[string]*task{}, time.Now()
	w.mu.Unlock()
	var names []string
	clients := map[string]*transport.Client{}
	for n, a := range w.cloud.Controllers {
		names = append(names, n)
		clients[n] = transport.NewClient(a, 1, limits.MaxBodyBytes).WithDialer(w.cloud.dialer(w.machine.Name))
		defer clients[n].Close()
	}
	sort.Strings(names)
	at := 0
	for w.waitWhileHung(ctx) {
		sent := time.Now()
		w.mu.Lock()
		r := w.heartbeat()
		w.mu.Unlock()
		status, leader, reply := w.sendHeartbeat(ctx, clients[names[at]], r)
		if !w.waitWhileHung(ctx) {
			return
		}
		pause := limits.Seconds(w.cloud.WorkerTimes.ReportS)
		switch {
		case status == 200:
			if time.Since(sent) < answerTimeout {
				w.applyReply(r.Incarnation, reply, sent)
			}
		case status == 421 && leader != "" && leader != names[at]:
			clients[names[at]].Close()
			for i, n := range names {
				if n == leader {
					at = i
				}
			}
			pause = retryInterval / 10
		default:
			at = (at + 1) % len(names)
			pause = retryInterval
		}
		if !storage.Sleep(ctx, pause) {
			return
		}
	}
}

// listen serves direct commands.
func (w *worker) listen(ctx context.Context) (string, error) {
	options := transport.ServerOptions{MaxConns: 20, Handle: w.handle, Log: w.cloud.Log}
	if w.cloud.Network != nil {
		addr := w.machine.Name + ":9000"
		go ServeListener(w.cloud.Network.Listen(addr), transport.NewServer(options))
		return addr, nil
	}
	addr, err := freeAddress()
	if err != nil {
		return "", err
	}
	options.Addr = addr
	go func() {
		if err := transport.NewServer(options).Run(ctx); err != nil {
			w.cloud.Log.Error("worker", "machine", w.machine.Name, "err", err)
		}
	}()
	return addr, nil
}

// waitWhileHung waits while the machine hangs, and then looks at its lease before all else. It returns
// false once the machine is gone.
func (w *worker) waitWhileHung(ctx context.Context) bool {
	for {
		w.mu.Lock()
		hung := w.hungFor()
		if hung <= 0 {
			w.endExpiredIncarnation()
			w.mu.Unlock()
			return ctx.Err() == nil
		}
		w.mu.Unlock()
		if !storage.Sleep(ctx, hung) {
			return false
		}
	}
}

// hungFor is for how long the machine does nothing yet.
func (w *worker) hungFor() time.Duration { return time.Until(time.Unix(0, w.hungUntil.Load())) }

// leaseExpired tells whether the lease is over; the caller has the lock.
func (w *worker) leaseExpired() bool {
	return time.Since(w.leaseStart) > limits.Seconds(w.cloud.WorkerTimes.LeaseS)
}

// endExpiredIncarnation ends the session when its lease is over; the caller has the lock.
func (w *worker) endExpiredIncarnation() {
	if w.incarnation > 0 && w.leaseExpired() {
		w.killAll()
		w.incarnation++
		w.leaseStart = time.Now()
	}
}

// killAll ends and forgets all tasks; the caller has the lock.
func (w *worker) killAll() {
	for _, t := range w.tasks {
		if t.State == protocol.Running || t.State == protocol.Gathering {
			w.notifyTaskChange(t.Task, false)
		}
		if t.gang != nil && t.State != protocol.Ended {
			t.gang.leave(t.Task)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *worker) notifyTaskChange(piece string, runs bool) {
	if w.cloud.OnTaskChange != nil {
		w.cloud.OnTaskChange(w.machine.Name, piece, runs)
	}
}

// sendHeartbeat makes a report.
func (w *worker) sendHeartbeat(ctx context.Context, c *transport.Client, r protocol.Heartbeat) (status int, leader string, reply protocol.HeartbeatReply) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	body := protocol.Encode(r)
	if after, ok := w.cloud.heartbeatRepetition(w.machine.Name); ok {
		time.AfterFunc(after, func() { w.repeatHeartbeat(body) })
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

// repeatHeartbeat brings a report again, to every controller; nobody waits for the answers.
func (w *worker) repeatHeartbeat(body []byte) {
	for _, addr := range w.cloud.Controllers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
			defer cancel()
			c := transport.NewClient(addr, 0, limits.MaxBodyBytes).WithDialer(w.cloud.dialer("copies"))
			_, _ = c.Do(ctx, "POST", "/v1/report", body)
		}()
	}
}

// applyReply executes an answer, unless its token is old or the session has changed.
func (w *worker) applyReply(shift uint64, reply protocol.HeartbeatReply, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.FencingToken < w.fencingToken || shift != w.incarnation {
		return
	}
	w.fencingToken, w.leaseStart = reply.FencingToken, sent
	w.execute(reply.Commands)
}

// heartbeat makes a report; the caller has the lock.
func (w *worker) heartbeat() protocol.Heartbeat {
	w.sequence++
	r := protocol.Heartbeat{Machine: w.machine.Name, Address: w.machine.Address, MachineType: w.machine.MachineType, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: []protocol.TaskStatus{}}
	var keys []string
	for k := range w.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t := w.tasks[k]
		switch {
		case t.gang != nil && t.State != protocol.Ended:
			w.updateFromGang(t)
		case t.State == protocol.Running && time.Now().After(t.doneAt):
			w.endTask(t, protocol.ReasonDone)
		}
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// updateFromGang brings a task in line with its gang; the caller has the lock.
func (w *worker) updateFromGang(t *task) {
	shown := t.gang.observe(t.Task)
	t.State, t.Reason, t.Saved = shown.State, shown.Reason, shown.Saved
	if t.State == protocol.Ended {
		w.notifyTaskChange(t.Task, false)
	}
}

// endTask ends a task that runs; the caller has the lock.
func (w *worker) endTask(t *task, cause string) {
	t.State, t.Reason = protocol.Ended, cause
	if cause == protocol.ReasonDone {
		w.cloud.markDone(t.Task)
	}
	w.notifyTaskChange(t.Task, false)
}

func taskKey(piece string, try uint64) string { return fmt.Sprintf("%s#%d", piece, try) }

// execute carries out orders; the caller has the lock.
func (w *worker) execute(orders []protocol.Command) {
	for _, o := range orders {
		key := taskKey(o.Task, o.Attempt)
		t := w.tasks[key]
		switch {
		case o.Verb == protocol.CommandStart && t == nil:
			w.tasks[key] = w.startTask(o)
		case o.Verb == protocol.CommandStop && t != nil && t.State != protocol.Ended:
			if t.gang != nil && o.GraceS != nil && t.gang.stop(t.Task, *o.GraceS) {
				continue // it saves
			}
			w.endTask(t, protocol.ReasonStopped)
		case o.Verb == protocol.CommandForget && t != nil && t.State == protocol.Ended:
			delete(w.tasks, key)
		}
	}
}

func (w *worker) startTask(o protocol.Command) *task {
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
	spec, ok := w.cloud.jobSpec(id)
	if !ok {
		return t
	}
	if w.cloud.TaskDone(o.Task) {
		t.Reason = protocol.ReasonDone
		return t
	}
	if spec.Gang() {
		t.State, t.Reason = protocol.Gathering, ""
		t.gang = w.cloud.gangBoard.attempt(spec, o.Attempt, w.cloud.gangTimes())
		t.gang.join(o.Task, func() bool { return w.hungFor() > 0 })
		w.notifyTaskChange(o.Task, true)
		return t
	}
	t.State, t.Reason = protocol.Running, ""
	t.doneAt = time.Now().Add(limits.Seconds(spec.EstimateS))
	w.notifyTaskChange(o.Task, true)
	return t
}

func (c *Cloud) jobSpec(id string) (protocol.Spec, bool) {
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
	if hung := w.hungFor(); hung > 0 {
		time.AfterFunc(hung, func() { w.handle(req, rsp) })
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredIncarnation()
	switch {
	case w.incarnation == 0: // gone
		rsp.Respond(404, nil, 0)
	case req.Path == "/status" && req.Method == "GET":
		rsp.Respond(200, protocol.Encode(w.heartbeat()), 0)
	case req.Path == "/do" && req.Method == "POST":
		var d protocol.DirectCommands
		if err := protocol.Decode(req.Body, &d); err != nil || d.Incarnation == 0 {
			rsp.Respond(400, nil, 0)
			return
		}
		if d.FencingToken < w.fencingToken || d.Incarnation != w.incarnation {
			rsp.Respond(409, protocol.Encode(w.heartbeat()), 0)
			return
		}
		w.fencingToken = d.FencingToken
		w.execute(d.Commands)
		rsp.Respond(200, protocol.Encode(w.heartbeat()), 0)
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
