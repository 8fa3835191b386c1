package scheduler

import (
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

// machine is what the scheduler knows of one machine and the worker on it. Its fields are grouped by
// concern.
type machine struct {
	name, address, typeName, zone string
	spot                          bool
	machineType                   *protocol.MachineType // nil if the catalog does not have it

	machineReachability
	leaseState
	machineCommands
	machineLoad
	machineLifecycle
	machineHealth
	planningState
}

// machineReachability is what a worker has shown us in our term, and which way its messages come.
type machineReachability struct {
	hasReported       bool // we have its task list in our term
	fenced            bool // its worker has seen our term, so no earlier leader can add tasks
	incarnation       uint64
	taskListSequence  uint64        // of the newest task list, from a heartbeat or a direct command
	heartbeatSequence uint64        // of the newest heartbeat
	lastHeartbeatAt   time.Duration // arrival of that
	firstReportAt     time.Duration

	verified        bool          // a round trip was seen since the last sign that answers may not arrive
	unverifiedSince time.Duration // since when it is not verified
	missedProbes    int           // probes that it did not answer in our term
	nextProbeAt     time.Duration // no probe before this

	reportsDirectly bool          // has sent a heartbeat to us itself in our term
	relayed         bool          // its last heartbeat came through another controller
	relayedSince    time.Duration // when that began
	redirected      bool          // was told once to send its heartbeats here itself
}

// leaseState is the time for which a worker may go on with its tasks without hearing from us.
type leaseState struct {
	leaseRenewedAt   time.Duration // the last answer that may have renewed it
	endedIncarnation uint64        // incarnations up to this one are surely over
}

// machineCommands is what the worker was told and has to be told.
type machineCommands struct {
	lastCommands       []protocol.Command // answer to the newest heartbeat
	dispatchQueued     bool               // has commands that did not go out yet
	pendingDirectID    uint64             // a direct command that is not answered yet, or 0
	directBackoffUntil time.Duration      // no direct commands before this
}

// machineLoad is what is on the machine, or on its way to it.
type machineLoad struct {
	assignments       map[string]*assignment // by the task's name
	endedTasks        map[attemptKey]endedTask
	allocated         resource.Vector          // of all assignments
	stoppingResources resource.Vector          // the part of allocated whose tasks were told to stop
	cachedImages      map[string]time.Duration // when each was last seen
	idleSince         time.Duration            // when the last assignment ended
}

// machineLifecycle is the way of a machine from its rental to its deletion.
type machineLifecycle struct {
	rental       string // name of the rental that accounts for it; "" if there is none yet
	registration registration
	registryPage *registryPage // that names it
	createdAt    time.Duration

	listed       bool // was in the cloud's list
	missingLists int  // lists in a row that lack it since

	spotNotice    bool // the cloud takes it back soon
	spotReclaimAt time.Duration

	deleting         bool // is to be deleted; there is no way back
	deleteReason     string
	deletionInFlight bool          // the cloud has been asked and has not answered
	nextDeletionAt   time.Duration // the cloud is not asked before this
}

// machineHealth is how the machine's tasks went.
type machineHealth struct {
	consecutiveFailures int
	failedJobs          map[string]bool // jobs that failed in these
	runTimeRatioSum     float64         // of run times, relative to those of the same job elsewhere
	runTimeRatioCount   int
	usefulCPUSeconds    float64 // of tasks that completed
	wastedCPUSeconds    float64 // of tasks that did not
	fetchCPUSeconds     float64 // of waiting for images
}

// planMarks is what the placement pass and the capacity plan intend for the machine.
type planningState struct {
	reservedFor         *job // in this pass; see reserveForJob
	wasReserved         bool // in the pass before
	neededByPlan        bool // the last plan counts on it
	neededByGang        bool // the last plan counts on it for a gang that waits
	reservedForGangs    bool // see reserveForGangs
	wasReservedForGangs bool // by the plan before
	draining            bool // to be emptied and returned, unless work comes
}

// typeResources is what a machine of a type has.
func typeResources(t *protocol.MachineType) resource.Vector {
	return resource.Vector{CPUs: t.CPUs, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB}
}

// size is what the machine has; nothing if its type is not known.
func (m *machine) capacity() resource.Vector {
	if m.machineType == nil {
		return resource.Vector{}
	}
	return typeResources(m.machineType)
}

// freeResources is what tasks may be assigned to: what is free, and what tasks that were told to stop
// will leave. A start is sent only once they have left; see appendStarts.
func (m *machine) freeResources() resource.Vector {
	return m.capacity().Minus(m.allocated).Plus(m.stoppingResources)
}

// price is what the machine costs an hour; 0 if its type is not known.
func (m *machine) price() float64 {
	if m.machineType == nil {
		return 0
	}
	return priceOf(m.machineType, m.spot)
}

// pricePerCPU is what each CPU of the machine costs an hour.
func (m *machine) pricePerCPU() float64 { return m.price() / max(m.capacity().CPUs, 1) }

// priceOf is what a machine of a type costs an hour.
func priceOf(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// isUnreported reports whether the machine sent heartbeats to an earlier leader and none to us.
func (m *machine) isUnreported() bool { return !m.hasReported && m.registration != unregistered }

// mayHoldEarlierTasks reports whether tasks of earlier terms may be on the machine that we have not
// heard of: an earlier leader may have sent it starts that arrive until its worker has seen our term.
func (m *machine) mayHoldEarlierTermTasks() bool { return !m.fenced && m.registration != unregistered }

// pool is the pool that the machine was rented from.
func (m *machine) pool() machinePool { return machinePool{m.typeName, m.zone, m.spot} }
