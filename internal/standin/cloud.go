package standin

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"quillshunt/internal/config"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// CloudOptions configure a Cloud. Those after Log are for tests; their zero values are right for the
// quick start.
type CloudOptions struct {
	MachineTypes []protocol.MachineType
	State        *StateService     // where workers read what a task needs
	Controllers  map[string]string // addresses by node name
	Log          *slog.Logger

	// Network connects workers and controllers; nil: TCP.
	Network *Network
	// WorkerTimes are the times that workers keep; zero: those of the quick start.
	WorkerTimes config.Workers
	// JobSpec returns what a worker knows of a job; nil: it reads the state service.
	JobSpec func(job string) (protocol.Spec, bool)
	// OnTaskChange is called when a task begins to run on a machine, or is gone from it.
	OnTaskChange func(machine, task string, runs bool)
	// InjectFault returns a status to answer a request with instead of executing it; 0: none.
	InjectFault func(req *transport.Message) (status int)
}

// Cloud is a stand-in of the cloud whose machines are workers in this process. It is safe for
// concurrent use.
type Cloud struct {
	options CloudOptions
	ctx     context.Context // machines end with it

	mu              sync.Mutex
	machineSequence int
	workers         map[string]*worker  // by machine name
	rentals         map[string][]string // machine names by rental request

	resultsMu      sync.Mutex      // guards what follows
	doneTasks      map[string]bool // tasks that completed anywhere: their results are kept
	duplicateDelay func(machine string) (time.Duration, bool)

	gangs *gangRegistry
}

// NewCloud returns a cloud without machines. The machines that are rented end with the context.
func NewCloud(ctx context.Context, options CloudOptions) *Cloud {
	if options.WorkerTimes == (config.Workers{}) {
		options.WorkerTimes = config.Workers{ReportS: heartbeatInterval.Seconds(), LeaseS: leaseDuration.Seconds()}
	}
	c := &Cloud{
		options:   options,
		ctx:       ctx,
		workers:   map[string]*worker{},
		rentals:   map[string][]string{},
		doneTasks: map[string]bool{},
	}
	c.gangs = newGangRegistry(c.markDone)
	return c
}

// Machines returns the names of all machines, in the order of their creation.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.workers))
}

// Zone returns where a machine is, or "" if there is no such machine.
func (c *Cloud) Zone(name string) string {
	if w := c.worker(name); w != nil {
		return w.machine.Zone
	}
	return ""
}

// LeaseExpired reports whether a machine is gone or its lease is over, also if it hangs and has not
// noticed.
func (c *Cloud) LeaseExpired(name string) bool {
	w := c.worker(name)
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaseExpired()
}

// Hang stops a machine for a while; then it goes on with what it had.
func (c *Cloud) Hang(name string, duration time.Duration) {
	if w := c.worker(name); w != nil {
		w.hungUntil.Store(time.Now().Add(duration).UnixNano())
	}
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
	if c.options.Network != nil {
		c.options.Network.RemoveHost(name)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.incarnation = 0 // whatever still reaches it finds nobody
}

// worker returns the worker of a machine, or nil.
func (c *Cloud) worker(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[name]
}

// rentMachines rents machines. A repeated request gets the same machines.
func (c *Cloud) rentMachines(request protocol.RentalRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, found := c.rentals[request.Name]; found {
		return names
	}
	names := []string{}
	at := slices.IndexFunc(c.options.MachineTypes, func(t protocol.MachineType) bool {
		return t.Name == request.MachineType
	})
	if at >= 0 {
		for range request.Count {
			names = append(names, c.bootMachine(&c.options.MachineTypes[at], request))
		}
	}
	c.rentals[request.Name] = names
	return names
}

// bootMachine starts a machine and returns its name. The caller holds mu.
func (c *Cloud) bootMachine(machineType *protocol.MachineType, request protocol.RentalRequest) string {
	c.machineSequence++
	ctx, cancel := context.WithCancel(c.ctx)
	w := &worker{
		cloud: c, machineType: machineType, cancel: cancel, createdAt: time.Now(),
		machine: protocol.Machine{
			Name:        fmt.Sprintf("m-%06d", c.machineSequence),
			MachineType: request.MachineType,
			Zone:        request.Zone,
			Spot:        request.Spot,
			State:       protocol.MachineBooting,
		},
	}
	c.workers[w.machine.Name] = w
	go w.run(ctx)
	return w.machine.Name
}

// listMachines returns the machines whose names come after since, in order.
func (c *Cloud) listMachines(since string) protocol.MachineList {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := protocol.MachineList{Machines: []protocol.Machine{}}
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		if name <= since {
			continue
		}
		w := c.workers[name]
		w.mu.Lock()
		machine := w.machine
		w.mu.Unlock()
		machine.AgeS = time.Since(w.createdAt).Seconds()
		list.Machines = append(list.Machines, machine)
	}
	return list
}

// TaskDone reports whether a task completed.
func (c *Cloud) TaskDone(task string) bool {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	return c.doneTasks[task]
}

// markDone keeps the result of a task.
func (c *Cloud) markDone(task string) {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	c.doneTasks[task] = true
}

// SetDuplicateHeartbeats sets which machines' heartbeats arrive again: repeat is asked for each and
// returns how much later. Nil repeats none.
func (c *Cloud) SetDuplicateHeartbeats(delay func(machine string) (time.Duration, bool)) {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	c.duplicateDelay = delay
}

// heartbeatDuplicateDelay returns how much later a machine's next heartbeat arrives again, if it does.
func (c *Cloud) heartbeatDuplicateDelay(machine string) (time.Duration, bool) {
	c.resultsMu.Lock()
	delay := c.duplicateDelay
	c.resultsMu.Unlock()
	if delay == nil {
		return 0, false
	}
	return delay(machine)
}

// jobSpec returns what workers know of a job.
func (c *Cloud) jobSpec(job string) (protocol.Spec, bool) {
	if c.options.JobSpec != nil {
		return c.options.JobSpec(job)
	}
	pair, ok := c.options.State.Get(storage.OpenJobKey(job))
	var record storage.OpenJob
	if !ok || protocol.Decode(pair.Value, &record) != nil {
		return record.Spec, false
	}
	return record.Spec, true
}

func (c *Cloud) gangTimes() gangTimes {
	if times := c.options.WorkerTimes; times.Gangs() {
		return gangTimes{
			waitTimeout:   limits.Seconds(*times.GangWaitS),
			peerDetection: limits.Seconds(*times.GangPeerS),
		}
	}
	return gangTimes{waitTimeout: gangWaitTimeout, peerDetection: gangPeerDetection}
}

// dialer returns how a host opens connections; nil: by TCP.
func (c *Cloud) dialer(host string) transport.Dialer {
	if c.options.Network == nil {
		return nil
	}
	return c.options.Network.Dialer(host)
}
