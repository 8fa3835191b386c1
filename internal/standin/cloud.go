package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"sync"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Cloud is a stand-in of the cloud whose machines are workers in this process.
type Cloud struct {
	Types       []protocol.MachineType
	State       *State // where workers read what a task needs
	Controllers map[string]string
	Log         *slog.Logger

	// What follows is for tests. Its zero values are those of the quick start.

	Net     *Network                                  // nil: TCP
	Times   config.Workers                            // of the workers; zero: the quick start's
	Spec    func(job string) (protocol.Spec, bool)    // what a worker knows of a job; nil: it reads the state service
	Watch   func(rig, piece string, runs bool)        // told when a task begins to run on a machine, or is gone from it
	Trouble func(req *transport.Message) (status int) // a status in place of an answer; 0: none

	mu    sync.Mutex
	ctx   context.Context
	seq   int
	rigs  map[string]*worker
	hired map[string][]string

	results sync.Mutex      // for what follows
	done    map[string]bool // tasks that completed anywhere: their results are kept
	copies  func(rig string) (time.Duration, bool)

	gangs *gangBoard
}

// Start prepares the cloud; its machines end with the context.
func (c *Cloud) Start(ctx context.Context) {
	c.ctx = ctx
	c.rigs = map[string]*worker{}
	c.hired = map[string][]string{}
	c.done = map[string]bool{}
	c.gangs = newGangBoard(c.complete)
	if c.Times == (config.Workers{}) {
		c.Times = config.Workers{ReportS: reportEvery.Seconds(), LeaseS: leaseFor.Seconds()}
	}
}

// complete notes that a task is done.
func (c *Cloud) complete(task string) {
	c.results.Lock()
	defer c.results.Unlock()
	c.done[task] = true
}

func (c *Cloud) gangTimes() gangTimes {
	times := gangTimes{gangWaitFor, gangPeerFor}
	if c.Times.Gangs() {
		times = gangTimes{limits.Seconds(*c.Times.GangWaitS), limits.Seconds(*c.Times.GangPeerS)}
	}
	return times
}

func (c *Cloud) dialer(from string) transport.Dialer {
	if c.Net == nil {
		return nil
	}
	return c.Net.Dialer(from)
}

// Machines are the names of all machines, in the order of their creation.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name := range c.rigs {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// SetCopies sets whether a copy of a machine's report arrives again, and how much later; nil: none does.
func (c *Cloud) SetCopies(f func(rig string) (time.Duration, bool)) {
	c.results.Lock()
	defer c.results.Unlock()
	c.copies = f
}

func (c *Cloud) copied(rig string) (time.Duration, bool) {
	c.results.Lock()
	f := c.copies
	c.results.Unlock()
	if f == nil {
		return 0, false
	}
	return f(rig)
}

// Done tells whether a task completed.
func (c *Cloud) Done(piece string) bool {
	c.results.Lock()
	defer c.results.Unlock()
	return c.done[piece]
}

// Zone is where a machine is, or "".
func (c *Cloud) Zone(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.rigs[name]; w != nil {
		return w.rig.Zone
	}
	return ""
}

// Lapsed tells whether a machine is gone or its lease is over, also if it hangs and has not noticed.
func (c *Cloud) Lapsed(name string) bool {
	c.mu.Lock()
	w := c.rigs[name]
	c.mu.Unlock()
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lapsed()
}

// Hang stops a machine for a while; then it goes on with what it had.
func (c *Cloud) Hang(name string, d time.Duration) {
	c.mu.Lock()
	w := c.rigs[name]
	c.mu.Unlock()
	if w != nil {
		w.hungTill.Store(time.Now().Add(d).UnixNano())
	}
}

// Server serves the cloud on an address.
func (c *Cloud) Server(addr string) *transport.Server {
	return transport.NewServer(transport.ServerOptions{Addr: addr, MaxConns: 100, Handle: c.handle, Log: c.Log})
}

func (c *Cloud) handle(req *transport.Message, rsp *transport.Responder) {
	if c.Trouble != nil {
		if status := c.Trouble(req); status != 0 {
			rsp.Respond(status, protocol.Encode(map[string]string{"error": "trouble"}), 0)
			return
		}
	}
	switch {
	case req.Path == "/machine_types":
		rsp.Respond(200, protocol.Encode(protocol.MachineTypeList{Types: c.Types}), 0)
	case req.Path == "/rentals" && req.Method == "POST":
		var h protocol.RentalRequest
		if err := protocol.Decode(req.Body, &h); err != nil || h.Count < 1 {
			rsp.Respond(400, nil, 0)
			return
		}
		rsp.Respond(200, protocol.Encode(protocol.RentalReply{Machines: c.hire(h)}), 0)
	case req.Path == "/rentals/delete":
		var d protocol.DeleteRequest
		if err := protocol.Decode(req.Body, &d); err != nil {
			rsp.Respond(400, nil, 0)
			return
		}
		for _, name := range d.Machines {
			c.Kill(name)
		}
		rsp.Respond(200, nil, 0)
	case req.Path == "/rentals":
		q, err := url.ParseQuery(req.Query)
		if err != nil {
			rsp.Respond(400, nil, 0)
			return
		}
		rsp.Respond(200, protocol.Encode(c.list(q.Get("Since"))), 0)
	default:
		rsp.Respond(404, nil, 0)
	}
}

func (c *Cloud) hire(h protocol.RentalRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.hired[h.Name]; ok {
		return names
	}
	var typ *protocol.MachineType
	for i := range c.Types {
		if c.Types[i].Name == h.MachineType {
			typ = &c.Types[i]
		}
	}
	names := []string{}
	for range h.Count {
		if typ == nil {
			break
		}
		c.seq++
		ctx, cancel := context.WithCancel(c.ctx)
		w := &worker{cloud: c, typ: typ, cancel: cancel, born: time.Now(), rig: protocol.Machine{
			Name: fmt.Sprintf("m-%06d", c.seq), MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, State: protocol.MachineBooting}}
		c.rigs[w.rig.Name] = w
		names = append(names, w.rig.Name)
		go w.run(ctx)
	}
	c.hired[h.Name] = names
	return names
}

// Kill ends a machine with everything on it.
func (c *Cloud) Kill(name string) {
	c.mu.Lock()
	w := c.rigs[name]
	delete(c.rigs, name)
	c.mu.Unlock()
	if w == nil {
		return
	}
	w.cancel()
	if c.Net != nil {
		c.Net.Down(name)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.shift = 0 // whatever still reaches it finds nobody
}

func (c *Cloud) list(since string) protocol.MachineList {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := protocol.MachineList{Machines: []protocol.Machine{}}
	for name, w := range c.rigs {
		if name > since {
			w.mu.Lock()
			r := w.rig
			w.mu.Unlock()
			r.AgeS = time.Since(w.born).Seconds()
			l.Machines = append(l.Machines, r)
		}
	}
	sort.Slice(l.Machines, func(a, b int) bool { return l.Machines[a].Name < l.Machines[b].Name })
	return l
}
