package scheduler

import (
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// machine is the scheduler's state of one machine and of the worker that runs on it. Its fields are
// grouped by concern.
type machine struct {
	name, address, typeName, zone string
	spot                          bool
	machineType                   *protocol.MachineType // nil if the catalog does not contain the type

	machineReachability
	leaseState
	machineCommands
	workerFencing
	machineLoad
	machineLifecycle
	machineHealth
	planningState
}

// machineReachability is what the worker has reported in this term, and by which route its messages
// arrive.
type machineReachability struct {
	hasReported       bool // the worker has sent a task list in this term
	fenced            bool // the worker has seen this term's fencing token and rejects commands of earlier leaders
	incarnation       uint64
	taskListSequence  uint64        // sequence number of the newest task list, from a heartbeat or a direct reply
	heartbeatSequence uint64        // sequence number of the newest heartbeat
	lastHeartbeatAt   time.Duration // arrival time of the newest heartbeat
	firstReportAt     time.Duration

	verified        bool          // replies are known to reach the worker; see setVerified
	unverifiedSince time.Duration // when verified last became false
	missedProbes    int           // probes without a reply in this term
	nextProbeAt     time.Duration // earliest time of the next probe

	reportsDirectly bool          // has sent a heartbeat to this controller directly in this term
	relayed         bool          // the last heartbeat was relayed by another controller
	relayedSince    time.Duration // when heartbeats began to be relayed
	redirected      bool          // was redirected to this controller once
}

// leaseState is the state of the worker's lease: how long the worker may keep running its tasks without
// a reply from the leader.
type leaseState struct {
	leaseRenewedAt   time.Duration // time of the last reply that may have renewed the lease
	endedIncarnation uint64        // this incarnation and all earlier ones are known to have ended
}

// machineCommands tracks the commands that were sent to the worker and those still to be sent.
type machineCommands struct {
	lastCommands       []protocol.Command // commands in the reply to the newest heartbeat
	dispatchQueued     bool               // the machine may have unsent commands and is in the dispatcher's queue
	pendingDirectID    uint64             // ID of the direct command that has no outcome yet, or 0
	directBackoffUntil time.Duration      // no direct commands are sent before this time
}

// machineLoad is the tasks that are assigned to the machine or listed by it as ended, and the resources that
// the assigned tasks use.
type machineLoad struct {
	assignments       map[string]*assignment // by task name
	endedTasks        map[attemptKey]endedTask
	restartedAttempt  attemptKey               // the last one that was reported as running again after its end
	allocated         resource.Vector          // total demand of all assignments
	stoppingResources resource.Vector          // the part of allocated whose tasks are being stopped
	cachedImages      map[string]time.Duration // when each image was last seen in the machine's cache
	idleSince         time.Duration            // when the last assignment ended
}

// machineLifecycle is the machine's state between its rental and its deletion.
type machineLifecycle struct {
	rental       string // name of the rental whose record names the machine; "" if there is none yet
	registration registration
	registryPage *registryPage // the page that lists the machine
	createdAt    time.Duration

	listed       bool // has appeared in the cloud's machine list
	missingLists int  // consecutive lists without the machine, after it had appeared

	spotNotice    bool          // the cloud has announced that it will reclaim the spot machine
	spotReclaimAt time.Duration // when the cloud reclaims it

	deleting         bool // is to be deleted; this is never reversed
	deleteReason     string
	deletionInFlight bool          // a deletion request to the cloud has no outcome yet
	nextDeletionAt   time.Duration // earliest time of the next deletion request
}

// machineHealth is statistics on the outcome of the machine's tasks.
type machineHealth struct {
	consecutiveFailures int
	failedJobs          map[string]bool // jobs of the consecutive failures
	runTimeRatioSum     float64         // of run times divided by the mean run time of the job's earlier tasks
	runTimeRatioCount   int
	usefulCPUSeconds    float64 // used by tasks that completed
	wastedCPUSeconds    float64 // used by tasks that did not complete
	fetchCPUSeconds     float64 // allocated while tasks fetched their images
}

// planningState is what the placement passes and the capacity plans have decided about the machine.
type planningState struct {
	reservedFor         *job // reserved by the current placement pass; see reserveForJob
	wasReserved         bool // was reserved by the previous placement pass
	neededByPlan        bool // the last capacity plan uses the machine
	neededByGang        bool // the last capacity plan uses the machine for a waiting gang
	reservedForGangs    bool // see reserveForGangs
	wasReservedForGangs bool // was reserved for gangs by the previous capacity plan
	draining            bool // gets no new tasks and is returned once empty, unless its capacity is needed again
}

// typeResources returns the resources of a machine of the given type.
func typeResources(t *protocol.MachineType) resource.Vector {
	return resource.Vector{CPUs: t.CPUs, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB}
}

// capacity returns the machine's total resources, or zero if its type is unknown.
func (m *machine) capacity() resource.Vector {
	if m.machineType == nil {
		return resource.Vector{}
	}
	return typeResources(m.machineType)
}

// freeResources returns the resources that new assignments may use: those that are free now and those
// of tasks that are being stopped. A start is sent only once such tasks have ended; see appendStarts.
func (m *machine) freeResources() resource.Vector {
	return m.capacity().Minus(m.allocated).Plus(m.stoppingResources)
}

// price returns the machine's price per hour, or 0 if its type is unknown.
func (m *machine) price() float64 {
	if m.machineType == nil {
		return 0
	}
	return priceOf(m.machineType, m.spot)
}

// pricePerCPU returns the machine's price per CPU and hour.
func (m *machine) pricePerCPU() float64 { return m.price() / max(m.capacity().CPUs, 1) }

// priceOf returns the price per hour of a spot or an on-demand machine of the given type.
func priceOf(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// isUnreported reports whether an earlier leader has registered the machine, which it did after the machine's
// first heartbeat, but the machine has sent no task list in this term.
func (m *machine) isUnreported() bool { return !m.hasReported && m.registration != unregistered }

// mayHoldEarlierTermTasks reports whether the machine may hold tasks of earlier terms that this leader
// does not know. Starts from an earlier leader may still arrive until the worker has seen this term's
// fencing token.
func (m *machine) mayHoldEarlierTermTasks() bool { return !m.fenced && m.registration != unregistered }

// pool returns the pool that the machine was rented from.
func (m *machine) pool() machinePool { return machinePool{m.typeName, m.zone, m.spot} }
