package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"quillshunt/internal/protocol"
)

// Times are the times of the workers, as the settings name them.
type Times struct {
	Report, Lease, Cancel time.Duration
}

// Fleet is what all workers have in common: the controllers, the descriptions of the jobs, and the view
// of what runs where.
type Fleet struct {
	Record      *Record
	Times       Times
	Nodes       []string          // names of the controllers
	Controllers map[string]string // their addresses
	// Regular makes the workers report at exactly the interval.
	Regular bool
	// Hold decides whether a direct command is held up on its way, unanswered, until ReleaseHeld.
	Hold func(w *Worker, d protocol.DirectCommands) bool
	// OnStart checks a task that comes onto a machine, given what is on which machines.
	OnStart func(w *Worker, task string, on map[string]map[string]bool) (broken string)
	// Copy is called with each report that is sent.
	Copy func(w *Worker, h protocol.Heartbeat)
	// OnReport is called after each report that got an answer.
	OnReport func(w *Worker, node string, status int, baton uint64)

	mu      sync.Mutex
	specs   map[string]protocol.Spec
	done    map[string]bool // tasks whose result is kept
	workers []*Worker

	viewMu    sync.Mutex
	on        map[string]map[string]bool // machines by task that is on them
	told      map[string]time.Time       // when the user was told that a job is cancelled
	Twice     []string                   // broken rule ran_twice
	Cancelled []string                   // broken rule ran_cancelled
	Other     []string                   // other broken rules
}

// NewFleet returns a fleet without machines.
func NewFleet(record *Record, times Times) *Fleet {
	f := &Fleet{
		Record: record, Times: times, Controllers: map[string]string{}, specs: map[string]protocol.Spec{},
		done: map[string]bool{}, on: map[string]map[string]bool{}, told: map[string]time.Time{},
	}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			f.checkCancelled()
		}
	}()
	return f
}

// AddSpec gives the workers the description of a job.
func (f *Fleet) AddSpec(s protocol.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs[s.ID] = s
}

// ToldCancelled notes that the user was told now that the job is cancelled.
func (f *Fleet) ToldCancelled(job string) {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	f.told[job] = time.Now()
}

// Break notes that another rule was broken.
func (f *Fleet) Break(text string) {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	f.Other = append(f.Other, text)
	f.Record.Logf("BROKEN %s", text)
}

// Workers returns all workers.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.workers)
}

// Spec returns the description of a job.
func (f *Fleet) Spec(job string) protocol.Spec {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[job]
}

// IsDone reports whether the result of a task is kept.
func (f *Fleet) IsDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

// On returns the machines that a task is on.
func (f *Fleet) On(task string) []string {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	return slices.Sorted(maps.Keys(f.on[task]))
}

// Broken returns the breaches that were seen.
func (f *Fleet) Broken() []string {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	return slices.Concat(f.Twice, f.Cancelled, f.Other)
}

func (f *Fleet) taskOn(w *Worker, task string) {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	f.Record.Logf("%s: task %s is on the machine", w.Name, task)
	if f.on[task] == nil {
		f.on[task] = map[string]bool{}
	}
	if f.OnStart != nil {
		if text := f.OnStart(w, task, f.on); text != "" {
			f.Other = append(f.Other, text)
			f.Record.Logf("BROKEN %s", text)
		}
	}
	if len(f.on[task]) > 0 {
		text := fmt.Sprintf("ran_twice: %s starts on %s while it is on %v", task, w.Name, slices.Sorted(maps.Keys(f.on[task])))
		f.Twice = append(f.Twice, text)
		f.Record.Logf("BROKEN %s", text)
	}
	f.on[task][w.Name] = true
}

func (f *Fleet) taskOff(w *Worker, task, why string) {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	f.Record.Logf("%s: task %s is gone (%s)", w.Name, task, why)
	delete(f.on[task], w.Name)
}

// checkCancelled looks for tasks that are on a machine more than cancel_s after their user was told that
// the job is cancelled. A quarter of a second is allowed for the stand-ins' own timers.
func (f *Fleet) checkCancelled() {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	for job, at := range f.told {
		late := time.Since(at) - f.Times.Cancel
		if late < 250*time.Millisecond {
			continue
		}
		for task, machines := range f.on {
			if !strings.HasPrefix(task, job+"/") || len(machines) == 0 {
				continue
			}
			text := fmt.Sprintf("ran_cancelled: %s is on %v %.1f s after its user was told that the job is cancelled",
				task, slices.Sorted(maps.Keys(machines)), time.Since(at).Seconds())
			if len(f.Cancelled) == 0 || int(late.Seconds()*10)%10 == 0 {
				f.Record.Logf("BROKEN %s", text)
			}
			f.Cancelled = append(f.Cancelled, text)
		}
	}
}

// Worker is a machine and its worker.
type Worker struct {
	protocol.Machine
	fleet *Fleet
	kind  protocol.MachineType
	gate  *Gate // direct commands

	mu          sync.Mutex
	up, gone    bool
	shift       uint64
	tally       uint64
	baton       uint64
	leaseFrom   time.Time
	tasks       map[string]*task
	cutFrom     map[string]bool // controllers that can't be reached from here
	held        []protocol.DirectCommands
	hungUntil   time.Time
	deaf        bool // answers and direct commands are lost
	faulty      bool // every task fails soon
	changed     chan struct{}
	batonChange time.Time
}

type task struct {
	protocol.TaskStatus
	fetched time.Time
	ends    time.Time
	on      bool
	fails   bool
}

func (f *Fleet) boot(m protocol.Machine, kind protocol.MachineType) *Worker {
	w := &Worker{Machine: m, fleet: f, kind: kind, tasks: map[string]*task{}, cutFrom: map[string]bool{}, changed: make(chan struct{}, 1)}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.run()
	return w
}

// Find returns the worker of a machine, or nil.
func (f *Fleet) Find(name string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// IsUp reports whether the machine has booted.
func (w *Worker) IsUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// Address returns the address for direct commands.
func (w *Worker) Address() string { return w.gate.Address() }

// Delete ends the machine and everything on it.
func (w *Worker) Delete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.killAll("machine deleted")
	if w.gate != nil {
		w.gate.SetCut(true)
	}
}

// CutFrom cuts the worker's connections to the named controllers, or heals them.
func (w *Worker) CutFrom(cut bool, nodes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range nodes {
		w.cutFrom[n] = cut
	}
	w.fleet.Record.Logf("TROUBLE network between %s and %v cut: %v", w.Name, nodes, cut)
}

// CutDirect cuts the connections to the worker's own address, or heals them.
func (w *Worker) CutDirect(cut bool) {
	w.gate.SetCut(cut)
	w.fleet.Record.Logf("TROUBLE direct connections to %s cut: %v", w.Name, cut)
}

// Hang makes the machine hang; it goes on later, with its tasks if the lease is not over.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.hungUntil = now.Add(d)
	for _, t := range w.tasks {
		t.fetched, t.ends = t.fetched.Add(d), t.ends.Add(d)
	}
	w.fleet.Record.Logf("TROUBLE %s hangs for %.1f s", w.Name, d.Seconds())
}

// SetDeaf loses the answers and the direct commands to the worker, or ends that.
func (w *Worker) SetDeaf(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = on
	w.fleet.Record.Logf("TROUBLE %s deaf: %v", w.Name, on)
}

// SetFaulty makes every task fail that starts from now on.
func (w *Worker) SetFaulty() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = true
	w.fleet.Record.Logf("TROUBLE %s faulty", w.Name)
}

// waitHung blocks while the machine hangs. The caller does not hold mu.
func (w *Worker) waitHung() {
	for {
		w.mu.Lock()
		left := time.Until(w.hungUntil)
		w.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// LeaseLeft returns how long the lease lasts without another answer.
func (w *Worker) LeaseLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleet.Times.Lease - time.Since(w.leaseFrom)
}

func (w *Worker) run() {
	time.Sleep(time.Duration(w.kind.BootS * float64(time.Second)))
	gate, err := NewGate()
	if err != nil {
		return
	}
	w.mu.Lock()
	w.gate, w.up, w.shift, w.leaseFrom = gate, true, 1, time.Now()
	w.mu.Unlock()
	w.fleet.Record.Logf("%s: up in zone %s at %s", w.Name, w.Zone, gate.Address())
	Serve(gate, w.direct)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	w.reportLoop()
}

// advance brings the tasks and the lease to the present. The caller holds mu.
func (w *Worker) advance() {
	if w.gone || time.Now().Before(w.hungUntil) {
		return
	}
	if time.Since(w.leaseFrom) > w.fleet.Times.Lease {
		w.fleet.Record.Logf("%s: lease over, session %d begins", w.Name, w.shift+1)
		w.killAll("lease over")
		w.shift++
		w.leaseFrom = time.Now()
	}
	for _, t := range w.tasks {
		now := time.Now()
		if t.State == protocol.TaskFetching && now.After(t.fetched) {
			t.State, t.on = protocol.TaskRunning, true
			w.fleet.taskOn(w, t.Task)
			w.signal()
		}
		if t.State == protocol.TaskRunning && now.After(t.ends) {
			if t.fails {
				w.end(t, protocol.ReasonError)
				continue
			}
			w.fleet.mu.Lock()
			w.fleet.done[t.Task] = true
			w.fleet.mu.Unlock()
			w.end(t, protocol.ReasonDone)
		}
		if t.State == protocol.TaskSaving && now.After(t.ends) {
			t.Saved = true
			w.end(t, protocol.ReasonStopped)
		}
	}
}

func (w *Worker) signal() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) end(t *task, why protocol.EndReason) {
	t.State, t.Reason = protocol.TaskEnded, why
	if t.on {
		t.on = false
		w.fleet.taskOff(w, t.Task, string(why))
	}
	w.signal()
}

func (w *Worker) killAll(why string) {
	for _, t := range w.tasks {
		if t.on {
			w.fleet.taskOff(w, t.Task, why)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *Worker) report() protocol.Heartbeat {
	w.tally++
	h := protocol.Heartbeat{
		Machine: w.Name, Address: w.gate.Address(), MachineType: w.MachineType, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.shift, Sequence: w.tally, FencingToken: w.baton, Tasks: []protocol.TaskStatus{},
	}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		h.Tasks = append(h.Tasks, w.tasks[key].TaskStatus)
	}
	return h
}

func (w *Worker) execute(from string, commands []protocol.Command) {
	for _, c := range commands {
		w.fleet.Record.Logf("%s: order from %s: %s %s try %d", w.Name, from, c.Verb, c.Task, c.Attempt)
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := w.tasks[key]
		switch {
		case c.Verb == protocol.CommandStart && t == nil:
			w.tasks[key] = w.start(c)
			w.signal()
		case c.Verb == protocol.CommandStop && t != nil && t.State != protocol.TaskEnded:
			job, _, _ := protocol.ParseTaskName(c.Task)
			w.fleet.mu.Lock()
			spec := w.fleet.specs[job]
			w.fleet.mu.Unlock()
			if t.State == protocol.TaskRunning && spec.CheckpointS > 0 && c.GraceS != nil && *c.GraceS >= spec.SaveS {
				t.State, t.ends = protocol.TaskSaving, time.Now().Add(time.Duration(spec.SaveS*float64(time.Second)))
				w.signal()
			} else if t.State != protocol.TaskSaving || c.GraceS == nil || *c.GraceS == 0 {
				w.end(t, protocol.ReasonStopped)
			}
		case c.Verb == protocol.CommandForget && t != nil && t.State == protocol.TaskEnded:
			delete(w.tasks, key)
		}
	}
}

func (w *Worker) start(c protocol.Command) *task {
	t := &task{TaskStatus: protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskEnded}}
	job, _, ok := protocol.ParseTaskName(c.Task)
	w.fleet.mu.Lock()
	spec, known := w.fleet.specs[job]
	done := w.fleet.done[c.Task]
	w.fleet.mu.Unlock()
	if !ok || !known {
		t.Reason = protocol.ReasonUnknownTask
		return t
	}
	used := spec.CPUs
	for _, other := range w.tasks {
		if other.State == protocol.TaskEnded {
			continue
		}
		if other.Task == c.Task {
			t.Reason = protocol.ReasonAttemptExists
			return t
		}
		j, _, _ := protocol.ParseTaskName(other.Task)
		w.fleet.mu.Lock()
		used += w.fleet.specs[j].CPUs
		w.fleet.mu.Unlock()
	}
	if used > w.kind.CPUs {
		t.Reason = protocol.ReasonNoRoom
		return t
	}
	t.State = protocol.TaskFetching
	t.fetched = time.Now().Add(time.Duration(spec.ImageGB / w.kind.FetchGBPerS * float64(time.Second)))
	t.ends = t.fetched.Add(time.Duration(spec.EstimateS * float64(time.Second)))
	if done {
		t.ends = t.fetched
	} else if w.faulty {
		t.fails, t.ends = true, t.fetched.Add(300*time.Millisecond)
	}
	return t
}

// direct handles /do and /status.
func (w *Worker) direct(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.waitHung()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.gate.IsCut() || w.deaf {
		panic(http.ErrAbortHandler)
	}
	w.advance()
	if r.URL.Path == "/status" {
		send(rw, http.StatusOK, w.report())
		return
	}
	var d protocol.DirectCommands
	if r.URL.Path != "/do" || protocol.Decode(body, &d) != nil || d.Incarnation == 0 {
		send(rw, http.StatusBadRequest, nil)
		return
	}
	if w.fleet.Hold != nil && w.fleet.Hold(w, d) {
		w.held = append(w.held, d)
		w.fleet.Record.Logf("TROUBLE %s: /do token=%d session=%d orders=%d held up on its way", w.Name, d.FencingToken, d.Incarnation, len(d.Commands))
		w.mu.Unlock()
		<-r.Context().Done() // the sender gives up
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	send(rw, w.do(d), w.report())
}

// do executes direct commands. The caller holds mu.
func (w *Worker) do(d protocol.DirectCommands) int {
	status := http.StatusOK
	if d.FencingToken < w.baton || d.Incarnation != w.shift {
		status = http.StatusConflict
	} else {
		w.seeBaton(d.FencingToken)
		w.execute(fmt.Sprintf("/do with token %d", d.FencingToken), d.Commands)
	}
	w.fleet.Record.Logf("%s: /do token=%d session=%d orders=%d -> %d", w.Name, d.FencingToken, d.Incarnation, len(d.Commands), status)
	return status
}

// Held returns how many direct commands are held up.
func (w *Worker) Held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}

// ReleaseHeld lets the direct commands that were held up arrive, in their order.
func (w *Worker) ReleaseHeld() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, d := range w.held {
		w.fleet.Record.Logf("%s: a /do that was held up arrives", w.Name)
		w.do(d)
	}
	w.held = nil
}

func (w *Worker) seeBaton(b uint64) {
	if b > w.baton {
		w.baton = b
		if time.Since(w.batonChange) > w.fleet.Times.Lease/2 {
			w.batonChange = time.Now()
			w.signal()
		}
	}
}

// reportLoop sends reports until the machine is gone.
func (w *Worker) reportLoop() {
	node := 0
	client := newHTTP()
	for {
		w.waitHung()
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.advance()
		h := w.report()
		name := w.fleet.Nodes[node]
		cut := w.cutFrom[name]
		w.mu.Unlock()
		sent := time.Now()
		status, foreman, reply := 0, "", protocol.HeartbeatReply{}
		if !cut {
			if w.fleet.Copy != nil {
				w.fleet.Copy(w, h)
			}
			status, foreman, reply = w.send(client, w.fleet.Controllers[name], h)
		}
		w.waitHung()
		w.mu.Lock()
		w.advance()
		if w.cutFrom[name] || w.deaf || time.Since(sent) > 4*time.Second {
			status = 0 // cut meanwhile: the answer is lost
		}
		w.fleet.Record.Logf("%s: report session=%d tally=%d token=%d tasks=%s to %s -> %s", w.Name, h.Incarnation,
			h.Sequence, h.FencingToken, taskText(h.Tasks), name, answerText(status, foreman, reply))
		pause := time.Second
		switch {
		case status == http.StatusOK:
			if reply.FencingToken >= w.baton && h.Incarnation == w.shift && time.Since(sent) < 4*time.Second && !w.gone {
				w.leaseFrom = sent
				w.seeBaton(reply.FencingToken)
				w.execute(fmt.Sprintf("the answer of %s with token %d", name, reply.FencingToken), reply.Commands)
			}
			pause = w.fleet.Times.Report
			if !w.fleet.Regular {
				pause = time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
			}
		case status == http.StatusMisdirectedRequest && foreman != "" && foreman != name && slices.Contains(w.fleet.Nodes, foreman):
			client.CloseIdleConnections()
			node = slices.Index(w.fleet.Nodes, foreman)
			pause = 100 * time.Millisecond
		default:
			client.CloseIdleConnections()
			node = (node + 1) % len(w.fleet.Nodes)
		}
		w.mu.Unlock()
		if status != 0 && w.fleet.OnReport != nil {
			w.fleet.OnReport(w, name, status, reply.FencingToken)
		}
		w.wait(pause, status == http.StatusOK)
	}
}

// wait waits until the next report is due; a change makes it due early, but not within half a second.
func (w *Worker) wait(pause time.Duration, mayBeEarly bool) {
	if !mayBeEarly {
		time.Sleep(pause)
		return
	}
	due := time.After(pause)
	time.Sleep(min(pause, 500*time.Millisecond))
	select {
	case <-due:
	case <-w.changed:
	}
}

func (w *Worker) send(client *http.Client, addr string, h protocol.Heartbeat) (status int, foreman string, reply protocol.HeartbeatReply) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	status, body := post(ctx, client, "http://"+addr+"/v1/report", protocol.Encode(h))
	switch status {
	case http.StatusOK:
		if protocol.Decode(body, &reply) != nil {
			status = 0
		}
	case http.StatusMisdirectedRequest:
		var d protocol.Redirect
		_ = protocol.Decode(body, &d)
		foreman = d.Leader
	}
	return status, foreman, reply
}

func newHTTP() *http.Client { return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}} }

// post sends a request and returns the status, or 0 without an answer.
func post(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte) {
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, b
}

func taskText(tasks []protocol.TaskStatus) string {
	parts := []string{}
	for _, t := range tasks {
		parts = append(parts, fmt.Sprintf("%s#%d:%s%s", t.Task, t.Attempt, t.State, t.Reason))
	}
	return fmt.Sprint(parts)
}

func answerText(status int, foreman string, reply protocol.HeartbeatReply) string {
	switch status {
	case 0:
		return "no answer"
	case http.StatusOK:
		return fmt.Sprintf("200 token=%d orders=%d", reply.FencingToken, len(reply.Commands))
	case http.StatusMisdirectedRequest:
		return fmt.Sprintf("421 Foreman=%q", foreman)
	}
	return fmt.Sprint(status)
}

// SendCopy sends a report once more, to a controller; nobody waits for the answer.
func (w *Worker) SendCopy(node string, h protocol.Heartbeat) {
	client := newHTTP()
	defer client.CloseIdleConnections()
	status, foreman, reply := w.send(client, w.fleet.Controllers[node], h)
	w.fleet.Record.Logf("TROUBLE copy of %s's report tally=%d token=%d to %s -> %s", w.Name, h.Sequence, h.FencingToken, node, answerText(status, foreman, reply))
}
