package limits

import "time"

// Fleet.
const (
	// PlanInterval is how often the fleet is planned.
	PlanInterval = time.Second
	// MachineListInterval is how often the cloud's list is read.
	MachineListInterval = 10 * time.Second
	// MachineTypesInterval is how often machine types and prices are read.
	MachineTypesInterval = 120 * time.Second
	// MinChargedTime is the least time that a machine is charged for.
	MinChargedTime = 60 * time.Second
	// IdleTimeout is how long a machine stays idle before it goes back.
	IdleTimeout = 15 * time.Second
	// DrainedIdleTimeout is the same for a machine that is not needed.
	DrainedIdleTimeout = 3 * time.Second
	// DrainHeadroom is the share of the work at hand that is kept free for what comes before
	// machines are emptied.
	DrainHeadroom = 0.4
	// MaxPlannedWait is the longest that a job is planned to wait for room, however much time it has.
	MaxPlannedWait = 15 * time.Second
	// PlannedWaitSlackRatio is the share of a job's slack that it is planned to wait; the rest is
	// for what goes wrong.
	PlannedWaitSlackRatio = 0.25
	// BootTimeoutFactor is how many nominal boot times a machine gets before it is given up.
	BootTimeoutFactor = 3.0
	// MinBootTimeout is the least patience with a boot.
	MinBootTimeout = 60 * time.Second
	// BootEstimateFactor is how many nominal boot times a machine is reckoned to take; usual are
	// 0.6 to 1.5. BootHope is how many are planned with; the few that take longer or never come are
	// planned without.
	BootEstimateFactor = 1.1
	BootPlanFactor     = 2.75
	// DrainAge is how old a machine must be before it is emptied, as it is charged for a minute anyway.
	DrainAge = MinChargedTime / 2
	// ZoneSpreadPenalty makes a pool dearer for each machine in its zone, just enough to spread
	// over zones where all else is equal.
	ZoneSpreadPenalty = 0.001
	// CorrelatedUnreachableLeases is how many leases machines that fell silent in a crowd are kept.
	CorrelatedUnreachableLeases = 4
	// CapacityBackoffMin and CapacityBackoffMax bound the pause after a refusal for one type, zone
	// and kind.
	CapacityBackoffMin = 5 * time.Second
	CapacityBackoffMax = 40 * time.Second
	// UnreachableLeaseShare is the share of a worker's lease after which a silent machine is deleted.
	UnreachableLeaseShare = 0.75
	// CorrelatedUnreachableShare is the share of machines silent at once above which the network is to
	// blame, and nobody is deleted.
	CorrelatedUnreachableShare = 0.25
	// ExpensivePoolRatio and ExpensivePoolSlack: a pool that costs this many times the cheapest is
	// used only for jobs with less slack than this.
	ExpensivePoolRatio = 2.5
	ExpensivePoolSlack = 60 * time.Second
	// MinRentalFraction is the part of a machine that must be wanted before one more is rented while
	// others run.
	MinRentalFraction = 0.3
	// FractionalRentalDelay is how long a job waits since its last start before any part of a machine is
	// enough to rent one for it.
	FractionalRentalDelay = 30 * time.Second
	// RecoveryTimeout and RebuildReports (in report intervals) are how long after a take-over a
	// machine that may hold tasks may stay unheard of before it is deleted, which is quicker
	// evidence than the end of its lease. Workers find a new leader in a few seconds.
	RecoveryTimeout          = 6 * time.Second
	RecoveryTimeoutIntervals = 2.5
	// FewUnreportedShare is the share of all machines up to which those that nothing is heard of
	// since a take-over are given up after FewMisses probes without an answer, the next one right
	// after the one before.
	FewUnreportedShare    = 0.03
	UnreportedProbeMisses = 2
	// ProbeInterval is how often such a machine is asked directly.
	ProbeInterval = 2 * time.Second
	// CorrelatedUnverifiedShare is the share of machines unverified at once from which on they are
	// given UnverifiedReports report intervals to prove themselves before they are asked.
	CorrelatedUnverifiedShare = 0.05
	UnverifiedGraceIntervals  = 1.5
	// SlowHeartbeatWait is how long a report may have waited in the mailbox that probes still go
	// out beside it, and BusyFor how long that is held to tell of now: reports and the lease go
	// first.
	SlowHeartbeatWait   = 250 * time.Millisecond
	SlowHeartbeatMemory = time.Second
	// ProbeCost is about what a probe takes of a core: a connection, two calls and their system
	// calls. No more probes a second are sent than the controller's whole processor could carry,
	// but at least ProbeRateLeast, and ProbeSlowdown of that after one took longer than BusyWait:
	// then the processor is needed for reports, the lease and votes.
	ProbeCost     = 400 * time.Microsecond
	ProbeSlowdown = 0.25
	MinProbeRate  = 40.0
	// ProbeTimeout bounds the two calls of a probe.
	ProbeTimeout = 1500 * time.Millisecond
	// DirectCommandTimeout bounds a direct command; a worker answers in milliseconds or not at all.
	DirectCommandTimeout = 2 * time.Second
	// MaxDirectCommands is how many direct commands are on their way at once; see dispatch. Those
	// to machines that are out of reach take DirectTimeout.
	MaxDirectCommands = 64
	// DirectCommandBackoff is how long a worker that did not answer a direct command gets its orders
	// by reports only.
	DirectCommandBackoff = 10 * time.Second
	// SummaryInterval is how often the leader logs how it stands.
	SummaryInterval = 10 * time.Second
	// RelayRetryAfter is how long a worker's reports are relayed before it is told to try the
	// leader itself again. A try that fails costs it 5 s of its lease.
	RelayRetryAfter = 30 * time.Second
	// RelayTimeout bounds a relayed report; the worker waits 4 s.
	RelayTimeout = 1500 * time.Millisecond
	// RelaySlots is how many reports are relayed at once.
	RelaySlots = 64
	// LeaderUnreachableBackoff is how long a node that could not reach the leader sends workers
	// elsewhere without asking again.
	LeaderUnreachableBackoff = 3 * time.Second
	// CloudRetryInterval is the pause before a deletion that got no clear answer is repeated.
	CloudRetryInterval = 2 * time.Second
	// CancelDeleteShare is the share of the time in which a machine's lease can still be let run
	// out (see CancelLast) after which one that still has a cancelled task is deleted.
	CancelDeleteShare = 0.6
	// CancelStopGrace is how long a leader that has only now learned of an older cancellation lets
	// stops take their effect before it deletes machines.
	CancelStopGrace = 3 * time.Second
	// CancelDeleteLatestShare is the share of cancel_s by which they are deleted all the same.
	CancelDeleteLatestShare = 0.85
	// MissingListsBeforeDelete is how many lists in a row must lack a silent machine that was
	// listed before it is deleted.
	MissingListsBeforeDelete = 2
	// CloudRateShare is the part of the cloud's rate that a leader uses; at a take-over two terms
	// may call for a moment.
	CloudRateShare = 0.8
	// CorrelatedUnreachableMin is how many silent machines are never a crowd, however few there are in all.
	CorrelatedUnreachableMin = 3
)
