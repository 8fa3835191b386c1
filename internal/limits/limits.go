// Package limits holds every constant of quillshunt that is a matter of
// judgement or of the published protocol, each with its unit and the reason for
// its value. What depends on a deployment is a function of its settings here.
package limits

import "time"

// Bounds of the wire, from the protocol page.
const (
	// MaxBodyBytes bounds a request body and a response to users and workers.
	MaxBodyBytes = 64 << 10
	// MaxHeadBytes bounds a request line with its headers; the protocol needs
	// a few hundred bytes, so this only stops a sender that never ends.
	MaxHeadBytes = 8 << 10
	// MaxHeaders bounds the number of header lines for the same reason.
	MaxHeaders = 64
	// MaxChunkLine bounds the size line of one chunk, extensions included.
	MaxChunkLine = 256
	// MaxUpstreamBytes bounds a response that we read from the state service or
	// the cloud, in bytes. A listing is at most 512 KiB; a watch answer has no
	// limit of its own, and one past this is given up and the keys are read anew.
	MaxUpstreamBytes = 4 << 20
	// MaxTasksPerJob is the largest number of tasks in a job.
	MaxTasksPerJob = 100_000
	// MaxNameBytes bounds names of jobs, teams, classes and images. State keys end at
	// 200 bytes, and the longest key adds a prefix and a chunk number.
	MaxNameBytes = 128
	// MaxAmount bounds amounts and durations, so that sums stay exact in a float64.
	MaxAmount = 1e12
	// MaxMachineTypes bounds the list of allowed machine types of a job.
	MaxMachineTypes = 256
	// MaxCBORNesting bounds nesting in a body; the protocol's deepest message has four levels.
	MaxCBORNesting = 16
	// MaxRentalSize is the largest Number of one rental request.
	MaxRentalSize = 50
	// MaxDeleteSize is the largest number of names in one deletion.
	MaxDeleteSize = 100
	// MinPoolRequests is how many rental requests may wait at least on one type, zone and kind.
	// LikePrice: pools that cost up to so many times as much as the cheapest are asked beside it.
	MinPoolRequests   = 2
	SimilarPriceRatio = 1.5
	// CloudPageSize is the Limit asked for when the cloud's machines are listed.
	CloudPageSize = 500
	// StatePageSize is the Limit asked for when keys are listed; pages stay under
	// MaxUpstreamBytes at the largest value size seen so far.
	StatePageSize = 200
	// ConditionsPerOperation is how many guards a transaction may have for each operation.
	ConditionsPerOperation = 4
)

// Clocks.
const (
	// DriftShare is the protocol's bound on how far two steady clocks drift apart.
	DriftShare = 0.0005
	// LeaseMargin is added wherever we wait out someone else's lease, for timers
	// that fire in steps of some milliseconds.
	LeaseMargin = 500 * time.Millisecond
	// LeaderLeaseMargin is taken off our own entitlement, for the same reason.
	LeaderLeaseMargin = 500 * time.Millisecond
)

// Waits for answers.
const (
	// StateTimeout bounds one call to the state service, whose usual answer takes
	// 10 ms and now and then a few hundred.
	StateTimeout = 1500 * time.Millisecond
	// CloudTimeout bounds one call to the cloud. It answers within a second or so.
	CloudTimeout = 8 * time.Second
	// WatchDuration is how long a watch stays open when nothing changes.
	WatchDuration = 30 * time.Second
	// WatchGrace is how long after WatchHold an answer may still come. Watches stay
	// open in an outage, so a long wait is no fault; a dead connection is
	// noticed after this.
	WatchGrace = 10 * time.Second
	// DialTimeout bounds a connection attempt.
	DialTimeout = time.Second
	// PollTimeout is the time in which a user's request is answered whatever happens.
	// A user waits 5 s for a submission and 2 s for a poll.
	PollTimeout = 1800 * time.Millisecond
	// SubmitTimeout is the same for submissions and cancellations.
	SubmitTimeout = 4 * time.Second
	// TaskCountsTimeout bounds the leader's answer on counts; they are for display only.
	TaskCountsTimeout = 250 * time.Millisecond
	// CancelConfirmTimeout bounds the leader's word that it knows of a cancellation, asked of
	// itself and then through the others; both fit into UserAnswer.
	CancelConfirmTimeout = 600 * time.Millisecond
	// RetryMin and RetryMax bound the jittered pause between tries at the state service and the cloud.
	RetryMin = 100 * time.Millisecond
	RetryMax = 2 * time.Second
	// RetryAfterMin is what an overloaded node tells a user, in whole seconds.
	RetryAfterMin = 1
	// RetryAfterStep: for each such span that the state service has been out of reach a user is
	// sent away for one more second, up to RetryAfterMax. An outage that is old may last as long
	// again, but the user should not miss its end by much.
	RetryAfterStep = 8 * time.Second
	RetryAfterMax  = 4
)

// Memory and processor.
const (
	// HeapLimitShare is the part of the memory limit given to the Go runtime as its soft limit; the
	// rest is for stacks of threads, the binary and buffers of the kernel.
	HeapLimitShare = 0.55
	// MinMemoryMB is what a process needs to run at all: a follower without work holds 7 MB.
	// MemoryScarceMB and CoreScarce are below what a leader of some tens of machines needs; on
	// simulated machines such a one held 8 to 18 MB and used less than a hundredth of a core on
	// average.
	MinMemoryMB  = 8.0
	LowMemoryMB  = 32.0
	LowCoreShare = 0.01
	// MinSockets is the least number of sockets that a controller runs with: DivideSockets leaves
	// twenty of them for users and workers.
	MinSockets = 32
	// GCPercent is the garbage collector's target: the live heap is a tenth of the soft limit or
	// less, so there is room to collect less often, which saves processor time; near the limit it
	// collects as often as it must.
	GCPercent = 400
	// MaxProcs is GOMAXPROCS. A controller has a part of one core, so a second thread that looks
	// for work would only take from the first.
	MaxProcs = 1
)

// SocketShares is how a controller's sockets are used. The state service, the cloud and the other
// controllers have theirs set aside; the rest is shared by need between connections that come in
// and those that are made to workers.
type SocketShares struct {
	Total        int // inbound connections and those made to workers, together
	Headroom     int // of these, what connections to workers leave free
	Inbound      int // most inbound connections
	MachineConns int // of these, most connections of machines
	MaxMachines  int // most machines that are rented at once, unless the operator sets another number
	Probes       int // most probes under way
	UserSlots    int // most users' requests worked on at once
}

// DivideSockets shares the sockets of a controller that has so many others beside it.
func DivideSockets(sockets, others int) SocketShares {
	s := SocketShares{UserSlots: min(UserSlots, max(1, int(float64(sockets)*UserSlotsShare)))}
	set := min(s.UserSlots+StateConns+MaxCloudCalls+2*others+SpareSockets, int(float64(sockets)*ReservedSocketShare))
	s.Total = sockets - set
	part := func(of int, share float64) int { return max(1, int(float64(of)*share)) }
	s.Headroom = part(s.Total, InboundHeadroomShare)
	s.Inbound = s.Total - part(s.Total, OutboundReserveShare) - s.Headroom
	s.MachineConns = s.Inbound - part(s.Inbound, UserConnShare)
	s.MaxMachines = part(s.MachineConns, 1-StaleConnShare)
	s.Probes = min(MaxProbes, part(s.Total, ProbeShare))
	return s
}

// MailboxSize is the size of the mailbox of the leader's scheduler: one report of each worker that
// can be connected, as each has one in flight.
func MailboxSize(s SocketShares) int { return max(MinMailboxSize, s.MachineConns) }

// ProbeRate is how many probes a second a controller with such a share of a core sends at most; one
// whose share is not known is held to have a core.
func ProbeRate(coreShare float64) float64 {
	if coreShare <= 0 {
		coreShare = 1
	}
	return max(coreShare/ProbeCost.Seconds(), MinProbeRate)
}

// LeaseExpiredAfter is how long to wait, by our clock, until a lease of d on another clock is surely over.
func LeaseExpiredAfter(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*DriftShare) + LeaseMargin
}

// LeaseValidFor is how long, by our clock, a hold of life d is surely ours from the moment its touch
// was sent.
func LeaseValidFor(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*2*DriftShare) - LeaderLeaseMargin
}

// CancelHeartbeatWindow is how long after a cancellation a machine that still has the job's tasks may
// get an answer to a report: its lease then ends within cancelWithin, whatever becomes of its
// deletion. It is at least half of cancelWithin, for leases that are too long for any of this.
func CancelHeartbeatWindow(cancelWithin, lease time.Duration) time.Duration {
	return max(cancelWithin-LeaseExpiredAfter(lease), cancelWithin/2)
}

// HeapLimit is the Go runtime's soft limit in bytes, by the memory of the controller's machine.
func HeapLimit(memoryMB float64) int64 { return int64(memoryMB * HeapLimitShare * (1 << 20)) }

// VoteLease is how long a controller's pledge to a leader lasts, by the workers' lease.
func VoteLease(lease time.Duration) time.Duration {
	return min(max(time.Duration(float64(lease)*VoteLeaseShare), VoteLeaseMin), VoteLeaseMax)
}

// Seconds turns a protocol duration into a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RetryAfterSeconds is what a user is told who can't be served now, in whole seconds: soon, and the
// later the longer the state service has been out of reach already.
func RetryAfterSeconds(failing time.Duration) int {
	return min(RetryAfterMin+int(failing/RetryAfterStep), RetryAfterMax)
}
