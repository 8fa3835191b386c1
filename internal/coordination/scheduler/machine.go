package scheduler

import (
	"sort"
	"time"

	"quillshunt/internal/coordination/resource"
	"quillshunt/internal/protocol"
)

type machine struct {
	name, address, typeName, zone string
	spot                          bool
	machineType                   *protocol.MachineType

	hasReported       bool // we have its task list in our term
	fenced            bool // its worker has seen our term, so no earlier leader can add tasks
	incarnation       uint64
	sequence          uint64             // of the newest task list, from a report or a direct command
	heartbeatSequence uint64             // sequence number of the newest report
	lastCommands      []protocol.Command // what the newest report was answered with
	verified          bool               // a round trip was seen since there was last reason to doubt it: answers reach the machine
	unverifiedSince   time.Duration      // since when it is not verified
	reportsDirectly   bool               // has reported to us itself in our term
	relayed           bool               // its last report came through another controller
	relayedSince      time.Duration      // when that began
	redirected        bool               // was told once to come itself
	missedProbes      int                // probes that it did not answer in our term
	directID          uint64             // a direct command that is not answered yet
	noDirectUntil     time.Duration      // no direct commands before this
	endedIncarnation  uint64             // sessions up to this one are surely over
	lastHeartbeatAt   time.Duration      // arrival of the last report
	leaseRenewedAt    time.Duration      // the session is over WaitOut(lease) after this, if we answer no more
	spotNotice        bool
	spotNoticeEnds    time.Duration

	assignments map[string]*assignment
	endedTasks  map[attemptKey]endedTask
	allocated   resource.Vector
	// releasing is the part of used that tasks take that were told to stop.
	releasing    resource.Vector
	cachedImages map[string]time.Duration

	rental              string
	registration        registration
	registryPage        *registryPage // that names it
	nextProbeAt         time.Duration // when to ask the machine directly, after a take-over
	createdAt           time.Duration
	firstReportAt       time.Duration
	listed              bool
	missingLists        int // lists in a row that lack it
	idleSince           time.Duration
	reservedFor         *job // in this pass; see reserve
	wasReserved         bool // in the pass before
	neededByPlan        bool // the last plan counts on it
	reservedForGangs    bool // kept for gangs; see keepGangRoom
	wasReservedForGangs bool // by the plan before
	neededByGang        bool // the last plan counts on it for a gang that waits
	draining            bool // to be emptied and returned, unless work comes
	dispatchQueued      bool // has orders that did not go out yet
	deleting            bool
	deleteRequestedAt   time.Duration
	deleteReason        string
	consecutiveFailures int
	failedJobs          map[string]bool
	usefulCPUSeconds    float64 // CPU seconds of tasks that completed here, and of those that did not, and of waiting for images
	wastedCPUSeconds    float64
	fetchCPUSeconds     float64
	speedSum            float64
	speedCount          int
}

// typeResources is what a machine of a type has.
func typeResources(t *protocol.MachineType) resource.Vector {
	return resource.Vector{CPUs: t.CPUs, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB}
}

func (m *machine) size() resource.Vector {
	if m.machineType == nil {
		return resource.Vector{}
	}
	return typeResources(m.machineType)
}

// freeResources is what may be promised: what is free, and what tasks that were told to stop will leave.
// A start is sent only once the room is confirmed (see orders).
func (m *machine) freeResources() resource.Vector {
	return m.size().Minus(m.allocated).Plus(m.releasing)
}

// price is what the machine costs an hour.
func (m *machine) price() float64 {
	if m.machineType == nil {
		return 0
	}
	return priceOf(m.machineType, m.spot)
}

// pricePerCPU is the same for each of its CPUs.
func (m *machine) pricePerCPU() float64 { return m.price() / max(m.size().CPUs, 1) }

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
func (m *machine) mayHoldEarlierTasks() bool { return !m.fenced && m.registration != unregistered }

// sortedAssignments returns a machine's bindings in a fixed order.
func (m *machine) sortedAssignments() []*assignment {
	out := make([]*assignment, 0, len(m.assignments))
	for _, a := range m.assignments {
		out = append(out, a)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].job.id != out[k].job.id {
			return out[i].job.id < out[k].job.id
		}
		return out[i].index < out[k].index
	})
	return out
}
