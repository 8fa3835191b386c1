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

// CloudOptions configure a Cloud. The fields after Log are for tests; the quick start leaves them at their
// zero values.
type CloudOptions struct {
	MachineTypes []protocol.MachineType
	State        *StateService     // from which workers read job records, unless JobSpec is set
	Controllers  map[string]string // addresses for heartbeats, by node name
	Log          *slog.Logger

	// Network connects workers and controllers. Nil selects TCP.
	Network *Network
	// WorkerTimes are the heartbeat interval, lease duration and gang timeouts of the workers. The zero
	// value selects the defaults of this package.
	WorkerTimes config.WorkerTimes
	// JobSpec returns the specification of a job, and false if there is no such job. Nil makes the workers
	// read it from State.
	JobSpec func(job string) (protocol.Spec, bool)
	// OnTaskChange is called when a machine starts a task (runs is true), and when the task ends there or is
	// killed.
	OnTaskChange func(machine, task string, runs bool)
	// OnCommands is called when a machine executes commands, with the fencing token that came with them.
	OnCommands func(machine string, incarnation, fencingToken uint64)
	// OnRepeatedStart is called when a copy of a direct command, which was executed before, starts an attempt that the
	// machine has forgotten, and when a machine forgets an attempt that such a copy could start.
	OnRepeatedStart func(machine, task string, attempt uint64, problem string)
	// InjectFault is called for each request to the cloud. If it returns a status other than 0, the cloud
	// responds with that status and does not execute the request.
	InjectFault func(req *transport.Message) (status int)
}

// Cloud is a fake of the cloud from which machines are rented. Its machines are workers in this process. It is
// safe for concurrent use.
type Cloud struct {
	options CloudOptions
	ctx     context.Context // stops all machines when it is cancelled

	mu              sync.Mutex
	machineSequence int
	workers         map[string]*worker  // by machine name
	rentals         map[string][]string // machine names, by name of the rental request

	resultsMu      sync.Mutex      // guards the fields below
	doneTasks      map[string]bool // tasks that completed on any machine
	duplicateDelay func(machine string) (time.Duration, bool)
	repeatDelays   func(machine string) []time.Duration
	copies         int // copies of executed direct commands that have arrived

	gangs *gangRegistry
}

// NewCloud returns a cloud without machines. Its machines stop when the context is cancelled.
func NewCloud(ctx context.Context, options CloudOptions) *Cloud {
	if options.WorkerTimes == (config.WorkerTimes{}) {
		options.WorkerTimes = config.WorkerTimes{
			HeartbeatIntervalS: heartbeatInterval.Seconds(), LeaseS: leaseDuration.Seconds(),
		}
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

// MachineNames returns the names of all machines, in order of creation.
func (c *Cloud) MachineNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.workers))
}

// MachineAge returns the time since a machine was rented, or 0 if there is no such machine.
func (c *Cloud) MachineAge(name string) time.Duration {
	if w := c.worker(name); w != nil {
		return time.Since(w.createdAt)
	}
	return 0
}

// Zone returns the zone of a machine, or "" if there is no such machine.
func (c *Cloud) Zone(name string) string {
	if w := c.worker(name); w != nil {
		return w.machine.Zone
	}
	return ""
}

// IsLeaseExpired reports whether the lease of a machine has expired or the machine does not exist. The lease of
// a machine that hangs counts as expired even though the worker has not ended its tasks yet.
func (c *Cloud) IsLeaseExpired(name string) bool {
	w := c.worker(name)
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isLeaseExpired()
}

// HangMachine makes a machine unresponsive for a duration: it sends no heartbeats and answers no requests.
// Afterwards it continues with its tasks, unless its lease has expired meanwhile.
func (c *Cloud) HangMachine(name string, duration time.Duration) {
	if w := c.worker(name); w != nil {
		w.hungUntil.Store(time.Now().Add(duration).UnixNano())
	}
}

// KillMachine removes a machine and kills its tasks. On a Network it also removes the machine's host.
func (c *Cloud) KillMachine(name string) {
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
	w.incarnation = 0 // direct commands that still arrive are answered with 404
}

// worker returns the worker of a machine, or nil.
func (c *Cloud) worker(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[name]
}

// rentMachines starts the machines of a rental request and returns their names. A request with a name that
// was used before starts no machines; it returns those of the earlier request. The result is empty if the
// machine type is unknown.
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

// bootMachine creates a machine, starts booting it, and returns its name. The caller holds mu.
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

// listMachines returns the machines whose names sort after since, in that order.
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

// IsTaskDone reports whether a task has completed on any machine.
func (c *Cloud) IsTaskDone(task string) bool {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	return c.doneTasks[task]
}

// markDone records that a task has completed.
func (c *Cloud) markDone(task string) {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	c.doneTasks[task] = true
}

// SetDuplicateHeartbeats makes workers send duplicates of their heartbeats. For each heartbeat of a machine,
// delay returns how much later a duplicate is sent to all controllers, or false to send none. A nil delay
// sends no duplicates.
func (c *Cloud) SetDuplicateHeartbeats(delay func(machine string) (time.Duration, bool)) {
	c.resultsMu.Lock()
	defer c.resultsMu.Unlock()
	c.duplicateDelay = delay
}

// heartbeatDuplicateDelay returns how much later a duplicate of a machine's next heartbeat is sent, or false to
// send none.
func (c *Cloud) heartbeatDuplicateDelay(machine string) (time.Duration, bool) {
	c.resultsMu.Lock()
	delay := c.duplicateDelay
	c.resultsMu.Unlock()
	if delay == nil {
		return 0, false
	}
	return delay(machine)
}

// jobSpec returns the specification of a job, and false if there is no such job.
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

// gangTimes returns the timeouts of gangs: those of WorkerTimes, or the defaults if it has none.
func (c *Cloud) gangTimes() gangTimes {
	if times := c.options.WorkerTimes; times.SupportsGangs() {
		return gangTimes{
			waitTimeout:   limits.Seconds(*times.GangWaitTimeoutS),
			peerDetection: limits.Seconds(*times.GangPeerDetectionS),
		}
	}
	return gangTimes{waitTimeout: gangWaitTimeout, peerDetection: gangPeerDetection}
}

// dialer returns the dialer for connections from a host, or nil for TCP.
func (c *Cloud) dialer(host string) transport.Dialer {
	if c.options.Network == nil {
		return nil
	}
	return c.options.Network.Dialer(host)
}
