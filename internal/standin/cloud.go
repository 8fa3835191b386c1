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
	State       *StateService // where workers read what a task needs
	Controllers map[string]string
	Log         *slog.Logger

	// What follows is for tests. Its zero values are those of the quick start.

	Network      *Network                                  // nil: TCP
	WorkerTimes  config.Workers                            // of the workers; zero: the quick start's
	Spec         func(job string) (protocol.Spec, bool)    // what a worker knows of a job; nil: it reads the state service
	OnTaskChange func(rig, piece string, runs bool)        // told when a task begins to run on a machine, or is gone from it
	InjectFault  func(req *transport.Message) (status int) // a status in place of an answer; 0: none

	mu              sync.Mutex
	ctx             context.Context
	machineSequence int
	workers         map[string]*worker
	rentals         map[string][]string

	results         sync.Mutex      // for what follows
	doneTasks       map[string]bool // tasks that completed anywhere: their results are kept
	repeatHeartbeat func(rig string) (time.Duration, bool)

	gangBoard *gangRegistry
}

// Start prepares the cloud; its machines end with the context.
func (c *Cloud) Start(ctx context.Context) {
	c.ctx = ctx
	c.workers = map[string]*worker{}
	c.rentals = map[string][]string{}
	c.doneTasks = map[string]bool{}
	c.gangBoard = newGangRegistry(c.markDone)
	if c.WorkerTimes == (config.Workers{}) {
		c.WorkerTimes = config.Workers{ReportS: heartbeatInterval.Seconds(), LeaseS: leaseDuration.Seconds()}
	}
}

// markDone notes that a task is done.
func (c *Cloud) markDone(task string) {
	c.results.Lock()
	defer c.results.Unlock()
	c.doneTasks[task] = true
}

func (c *Cloud) gangTimes() gangTimes {
	times := gangTimes{gangWaitTimeout, gangPeerTimeout}
	if c.WorkerTimes.Gangs() {
		times = gangTimes{limits.Seconds(*c.WorkerTimes.GangWaitS), limits.Seconds(*c.WorkerTimes.GangPeerS)}
	}
	return times
}

func (c *Cloud) dialer(from string) transport.Dialer {
	if c.Network == nil {
		return nil
	}
	return c.Network.Dialer(from)
}

// Machines are the names of all machines, in the order of their creation.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name := range c.workers {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// SetRepeatedHeartbeats sets whether a copy of a machine's report arrives again, and how much later; nil: none does.
func (c *Cloud) SetRepeatedHeartbeats(f func(rig string) (time.Duration, bool)) {
	c.results.Lock()
	defer c.results.Unlock()
	c.repeatHeartbeat = f
}

func (c *Cloud) heartbeatRepetition(rig string) (time.Duration, bool) {
	c.results.Lock()
	f := c.repeatHeartbeat
	c.results.Unlock()
	if f == nil {
		return 0, false
	}
	return f(rig)
}

// TaskDone tells whether a task completed.
func (c *Cloud) TaskDone(piece string) bool {
	c.results.Lock()
	defer c.results.Unlock()
	return c.doneTasks[piece]
}

// Zone is where a machine is, or "".
func (c *Cloud) Zone(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[name]; w != nil {
		return w.machine.Zone
	}
	return ""
}

// LeaseExpired tells whether a machine is gone or its lease is over, also if it hangs and has not noticed.
func (c *Cloud) LeaseExpired(name string) bool {
	c.mu.Lock()
	w := c.workers[name]
	c.mu.Unlock()
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaseExpired()
}

// Hang stops a machine for a while; then it goes on with what it had.
func (c *Cloud) Hang(name string, d time.Duration) {
	c.mu.Lock()
	w := c.workers[name]
	c.mu.Unlock()
	if w != nil {
		w.hungUntil.Store(time.Now().Add(d).UnixNano())
	}
}

// Server serves the cloud on an address.
func (c *Cloud) Server(addr string) *transport.Server {
	return transport.NewServer(transport.ServerOptions{Addr: addr, MaxConns: 100, Handle: c.handle, Log: c.Log})
}

func (c *Cloud) handle(req *transport.Message, rsp *transport.Responder) {
	if c.InjectFault != nil {
		if status := c.InjectFault(req); status != 0 {
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
		rsp.Respond(200, protocol.Encode(protocol.RentalReply{Machines: c.rent(h)}), 0)
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
		rsp.Respond(200, protocol.Encode(c.listMachines(q.Get("Since"))), 0)
	default:
		rsp.Respond(404, nil, 0)
	}
}

func (c *Cloud) rent(h protocol.RentalRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.rentals[h.Name]; ok {
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
		c.machineSequence++
		ctx, cancel := context.WithCancel(c.ctx)
		w := &worker{cloud: c, machineType: typ, cancel: cancel, createdAt: time.Now(), machine: protocol.Machine{
			Name: fmt.Sprintf("m-%06d", c.machineSequence), MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, State: protocol.MachineBooting}}
		c.workers[w.machine.Name] = w
		names = append(names, w.machine.Name)
		go w.run(ctx)
	}
	c.rentals[h.Name] = names
	return names
}

// Kill ends a machine with everything on it.
func (c *Cloud) Kill(name string) {
	c.mu.Lock()
	w := c.workers[name]
	delete(c.workers, name)
	c.mu.Unlock()
	if w == nil {
		return
	}
	w.cancel()
	if c.Network != nil {
		c.Network.RemoveHost(name)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.incarnation = 0 // whatever still reaches it finds nobody
}

func (c *Cloud) listMachines(since string) protocol.MachineList {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := protocol.MachineList{Machines: []protocol.Machine{}}
	for name, w := range c.workers {
		if name > since {
			w.mu.Lock()
			r := w.machine
			w.mu.Unlock()
			r.AgeS = time.Since(w.createdAt).Seconds()
			l.Machines = append(l.Machines, r)
		}
	}
	sort.Slice(l.Machines, func(a, b int) bool { return l.Machines[a].Name < l.Machines[b].Name })
	return l
}
