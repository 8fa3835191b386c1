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
	// MaxPieces is the largest number of tasks in a job.
	MaxPieces = 100_000
	// MaxNameBytes bounds names of jobs, teams, classes and images. State keys end at
	// 200 bytes, and the longest key adds a prefix and a chunk number.
	MaxNameBytes = 128
	// MaxAmount bounds amounts and durations, so that sums stay exact in a float64.
	MaxAmount = 1e12
	// MaxMachineTypes bounds the list of allowed machine types of a job.
	MaxMachineTypes = 256
	// MaxCBORNesting bounds nesting in a body; the protocol's deepest message has four levels.
	MaxCBORNesting = 16
	// RentalMax is the largest Number of one rental request.
	RentalMax = 50
	// DeleteMax is the largest number of names in one deletion.
	DeleteMax = 100
	// PoolRequests is how many rental requests may wait at least on one type, zone and kind. LikePrice: pools that cost up to so many times
	// as much as the
	// cheapest are asked beside it.
	PoolRequests = 2
	LikePrice    = 1.5
	// ListPage is the Limit asked for when the cloud's machines are listed.
	ListPage = 500
	// StatePage is the Limit asked for when keys are listed; pages stay under
	// MaxUpstreamBytes at the largest value size seen so far.
	StatePage = 200
	// GuardsPerOp is how many guards a transaction may have for each operation.
	GuardsPerOp = 4
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
	// WatchHold is how long a watch stays open when nothing changes.
	WatchHold = 30 * time.Second
	// WatchGrace is how long after WatchHold an answer may still come. Watches stay
	// open in an outage, so a long wait is no fault; a dead connection is
	// noticed after this.
	WatchGrace = 10 * time.Second
	// DialTimeout bounds a connection attempt.
	DialTimeout = time.Second
	// UserAnswer is the time in which a user's request is answered whatever happens.
	// A user waits 5 s for a submission and 2 s for a poll.
	UserAnswer = 1800 * time.Millisecond
	// SubmitAnswer is the same for submissions and cancellations.
	SubmitAnswer = 4 * time.Second
	// PeerTimeout bounds the leader's answer on counts; they are for display only.
	PeerTimeout = 250 * time.Millisecond
	// ConfirmTimeout bounds the leader's word that it knows of a cancellation, asked of itself and then through the others; both fit into
	// UserAnswer.
	ConfirmTimeout = 600 * time.Millisecond
	// RetryMin and RetryMax bound the jittered pause between tries at the state service and the cloud.
	RetryMin = 100 * time.Millisecond
	RetryMax = 2 * time.Second
	// RetryAfter is what an overloaded node tells a user, in whole seconds.
	RetryAfter = 1
	// RetryAfterStep: for each such span that the state service has been out of reach a user is sent away for one more second, up to
	// RetryAfterMax. An outage that is old may last as long again, but the user should not miss its end by much.
	RetryAfterStep = 8 * time.Second
	RetryAfterMax  = 4
)

// Connections and stages.
const (
	// IdleConn closes an inbound connection that has been silent this long. Users
	// poll every 5 s and workers report more often.
	IdleConn = 60 * time.Second
	// SlowRequest closes a connection whose request does not become whole in this time.
	SlowRequest = 10 * time.Second
	// LoopFailures is how many times in a row a server's loop may end right after its start before the server gives up.
	LoopFailures = 20
	// ReadBytes is the size of a buffer that one read fills, in bytes: most messages fit.
	ReadBytes = 4096
	// SweepEvery is how often connections are checked for the two limits above.
	SweepEvery = 2 * time.Second
	// CloudConns is how many calls of the cloud are under way at once: rentals, deletions, a list and types. More wait for its rate anyway.
	CloudConns = 24
	// SpareSockets are for listeners, the runtime's own, and watches.
	SpareSockets = 16
	// ReservedMost bounds the part of the sockets that is set aside for the state service, the cloud and controllers, where there are few.
	ReservedMost = 0.4
	// UsersShare is the part of inbound connections that machines can't take. Users hold about one for each job that is not over, spread
	// over all controllers.
	UsersShare = 0.12
	// HeadroomShare is the part that connections to workers leave free, so that a rush of connections coming in finds room until kept ones
	// are given up, half a
	// second later.
	HeadroomShare = 0.06
	// MadeShare is the part that inbound connections leave to connections to workers, for probes and direct commands when all else is taken.
	MadeShare = 0.03
	// StaleShare is the part of the machines' connections that may be dead ones, not swept yet, or of machines that are not ours any more.
	StaleShare = 0.1
	// ProbeShare is the part of the sockets that probes may hold at once, ProbesMost the most of them: a new leader asks all machines at
	// once, and those that
	// are out of reach hold theirs for ProbeTimeout.
	ProbeShare = 0.2
	ProbesMost = 512
	// UserStage is how many users' requests are worked on at once; one more is told to come back. Each holds one state-service call, and no
	// more than
	// UserStageShare of all sockets go to these.
	UserStage      = 64
	UserStageShare = 0.15
	// ConnBytes is what a connection may hold of the heap between requests, in bytes: two thousand of them stay far below the memory of a
	// controller that has
	// as many sockets.
	ConnBytes = 8 << 10
	// MailboxLeast is the least size of the mailbox of the leader's scheduler, in messages; see Mailbox.
	MailboxLeast = 512
	// StateConns is how many connections to the state service the controller's own work needs at once, and StateIdle how many are kept for
	// this and for users'
	// requests: as many as may be in use, since a controller that is behind can't make one in time.
	StateConns = 8
	StateIdle  = StateConns + UserStage
	// PeerStreams is how many calls of one other controller are served at once.
	PeerStreams = 64
	// PeerIdle is how long a connection to another controller is kept unused.
	PeerIdle = 10 * time.Minute
	// FinalCache is how many final states a node keeps, so that late polls cost no read.
	FinalCache = 4096
	// StaleReport is how long a report may wait in our mailbox; the worker drops an answer after 4 s.
	StaleReport = 3 * time.Second
)

// Leadership.
const (
	// LeaderLease is the life of the leader's hold. With the workers' lease it has to outlast an outage of the state
	// service. A long one costs little: a crashed leader is back under its own name and takes over long before, and one
	// that alone is refused hands over. Only a leader whose machine is lost for good is replaced this much later.
	LeaderLease = 60 * time.Second
	// LeaderLeaseMin and LeaderLeaseMax bound what an operator may set: below, a slow answer of the state service costs the
	// leadership; the state service takes no more than the upper bound.
	LeaderLeaseMin = 5 * time.Second
	LeaderLeaseMax = 600 * time.Second
	// TouchEvery is how often the hold is renewed: often enough that an outage
	// starts with nearly the whole hold left.
	TouchEvery = 2 * time.Second
	// TouchTimeout bounds a renewal, and the wait for a connection to the state service. It is longer than StateTimeout, as an answer is worth
	// waiting for: a leader that is behind gets it late. It is short enough that a hand-over still comes after two renewals have failed.
	TouchTimeout = 3500 * time.Millisecond
	// LagSample is the length of the sleep by which a process learns how far it is behind, and LagMost how much too late it may wake from
	// it and still trust
	// that a call without an answer tells of the other side.
	LagSample = 50 * time.Millisecond
	LagMost   = 200 * time.Millisecond
	// AloneAfter is how long the hold could not be renewed before the leader asks the others whether it is alone with that.
	AloneAfter = 4 * time.Second
	// AbleTimeout bounds what controllers ask each other about that.
	AbleTimeout = time.Second
	// PledgeShare is a pledge's life as a share of the workers' lease, within PledgeMin and PledgeMax: a new leader should be there before the
	// leases of workers are over that the old one answered last, and a slow answer should not cost the lead.
	PledgeShare = 0.4
	PledgeMin   = 5 * time.Second
	PledgeMax   = 12 * time.Second
	// PledgeEvery is how often pledges are renewed, as a share of their life: three renewals may fail.
	PledgeEvery = 0.25
	// PledgeDoubt is the share of a pledge's life without a request after which a leader is unverified. It only begins the wait.
	PledgeDoubt = 0.4
	// DoubtEvery is how often a follower looks at that.
	DoubtEvery = 250 * time.Millisecond
	// PledgeTimeout bounds a round of requests for pledges, well below PledgeEvery of PledgeMin.
	PledgeTimeout = 800 * time.Millisecond
	// TakeTries is how often a leader that gave up tells its successor; if all are lost, the end of the hold does it.
	TakeTries = 3
	// TryTermShift is where the term begins in an attempt number, so that attempts rise across leaders.
	TryTermShift = 32
)

// Shares of the state service's rates.
const (
	// UsersReads and UsersWrites are what users' requests may use of the rates, at whichever controllers they come.
	UsersReads  = 0.5
	UsersWrites = 0.4
	// OwnReads and OwnWrites are for the controllers' own work, nearly all of it the leader's. Together it is a little more than the whole
	// of the writes, as
	// users seldom need their part while a fleet comes up.
	OwnReads  = 0.5
	OwnWrites = 0.7
	// ShareWait is how long a user's request waits for its share: about as long as the service itself takes now and then.
	ShareWait = 100 * time.Millisecond
	// DownAfter is how long no call must have succeeded until users are sent away without one, and DownLook how often one is let through.
	DownAfter = time.Second
	DownLook  = 500 * time.Millisecond
)

// Scheduling.
const (
	// VictimCutoff is the number of preemptible tasks up to which every set of
	// victims is tried: 2^10 sets cost some tens of microseconds.
	VictimCutoff = 10
	// TickEvery is how often the scheduler looks at what only time changes.
	TickEvery = 500 * time.Millisecond
	// AgeBegin is the age from which a job is due its first task whatever else waits: users count on every job's beginning within four
	// minutes, and room
	// for it may have to be held for a while. From AgeRest on, and over AgeSpan, it is due the others; earlier it would push back jobs that
	// can still be on time.
	AgeBegin = 150 * time.Second
	AgeRest  = 240 * time.Second
	AgeSpan  = 120 * time.Second
	// AgeServed: while a group of jobs has got at least this share of what it is due, those of them that have begun wait in the ordinary
	// order. Users count on
	// half.
	AgeServed = 0.65
	// HoldShare: one of so many machines may be kept for jobs that are behind and lack room.
	HoldShare = 6
	// OrderFresh is how long the order of the queue is kept: against slacks of many seconds it makes no difference.
	OrderFresh = 200 * time.Millisecond
	// WeighOvercommit is the multiplier of the overcommit weigher. It is more than all
	// others together: free room comes first.
	WeighOvercommit = 1000.0
	// WeighCost is the multiplier of the preemption cost weigher.
	WeighCost = 100.0
	// WeighImage prefers machines that have the image, which saves the fetch.
	WeighImage = 8.0
	// WeighPack prefers machines that are left with less free room, so that others empty and can be returned.
	WeighPack = 4.0
	// WeighKept lets gangs prefer machines that are kept for them over any others with free room.
	WeighKept = 20.0
	// GangRoomMemory is how long room is kept for as many gangs as there were at once: longer than a gang's tasks run and a machine boots, and
	// not much longer, as the room is paid for.
	GangRoomMemory = 90 * time.Second
	// GangRoomYields is how long a job waits for room, since its last start, before it may use what is kept for gangs: well below the 90 s for
	// which nobody may wait while a machine has room.
	GangRoomYields = 45 * time.Second
	// WeighSpeed prefers machines seen to be fast.
	WeighSpeed = 1.0
	// SpeedStep is the step in which observed speeds are compared, as a share of the usual run time: healthy machines differ by a tenth,
	// and what is seen of one
	// is not exact.
	SpeedStep = 0.05
	// FreshReports is how many report intervals a machine may be silent and still get tasks.
	FreshReports = 2.5
	// SickErrors is how many failures in a row, with no success between, make a machine suspect.
	SickErrors = 2
	// SlowTasks and SlowFactor: a machine whose last tasks, at least so many, took this many times as long as the same jobs' tasks
	// elsewhere is
	// faulty. Healthy machines differ by a tenth; tasks of one job differ more, hence the number.
	SlowTasks  = 4
	SlowFactor = 2.5
	// MaxTasks bounds the tasks on one machine, ended ones included, so that its report stays below MaxBodyBytes.
	MaxTasks = 400
	// JobFaultMachines is how many machines must fail a job's tasks before the job itself is held to be faulty.
	JobFaultMachines = 3
	// JobBackoffMin and JobBackoffMax bound the growing delay of a job that fails everywhere.
	JobBackoffMin = 2 * time.Second
	JobBackoffMax = 60 * time.Second
	// SlackBase is added to a job's slack before it weighs its work in the queue, so that slack decides between jobs of like work and work
	// between jobs of like slack.
	SlackBase = 30 * time.Second
	// SlackCap bounds that slack, for jobs without any time to meet.
	SlackCap = time.Hour
	// PreemptSlack is the slack below which a deadline is held to be pressing: then waiting for
	// room is worse than the loss of somebody's work.
	PreemptSlack = 6 * time.Second
	// PressAgain is how soon a request that found no tasks to stop looks for them again: against PreemptSlack it makes no difference.
	PressAgain = 500 * time.Millisecond
	// WeighPrice prefers machines that cost less for each CPU, so that the dear ones empty first.
	WeighPrice = 6.0
	// LearnWeight is the least weight of a new run time in a class's learned ratio.
	LearnWeight = 0.05
	// StashMargin is added to the time a task needs to save when it is told to stop.
	StashMargin = 2 * time.Second
	// MaxCommands bounds the orders in one answer, so that it stays far below MaxBodyBytes.
	MaxCommands = 300
	// FlushEvery is how often one chunk of finished tasks is written at most. What is not written yet is
	// kept by the workers, so this only bounds how long they list it.
	FlushEvery = 3 * time.Second
	// ValueLeastKB is the smallest value size of the state service that every record of ours fits into.
	ValueLeastKB = 0.5
	// TxnOpsLeast is the least number of changes of a transaction: an election makes three at once.
	TxnOpsLeast = 4
	// FinFrame is what a record of finished tasks needs beside the bitmap, in bytes, rounded up.
	FinFrame = 128
	// RentalFrame is what a rental's record needs beside the names of its machines, with names of a type and zone, in bytes, rounded up;
	// MachineNameBytes is what each name needs, with room for longer ones than were seen.
	RentalFrame      = 256
	MachineNameBytes = 32
	// PageFrame is what a page of registered machines needs beside its entries, and each entry beside its own JSON, in bytes, rounded up.
	PageFrame = 16
	// RegisterEvery is the least time between two writes of new machines: what comes up meanwhile goes into one, and a machine takes many
	// times as long to boot.
	RegisterEvery = 200 * time.Millisecond
	// FlushShare is the part of the state service's writes that may go into finished tasks: a third of what is not the users'. Final
	// records, rentals and registrations
	// need the rest, and nothing starts or ends without them.
	FlushShare = 0.2
	// FlushPatience is how long a job that is nearly over is left without a record of its finished tasks.
	FlushPatience = 15 * time.Second
	// Epsilon is the rounding that is forgiven when amounts are compared; the protocol's amounts have a few decimals.
	Epsilon = 1e-6
	// LateShare is the share of its run time by which a job may be late by the estimate and still be tried: estimates are often too high.
	LateShare = 0.25
	// SlowestPull is the slowest image fetch that is reckoned with, in GB a second.
	SlowestPull = 1e-3
	// PriorTasks is how many tasks' worth of weight the class's run time has in a job's estimate beside the tasks on machines.
	PriorTasks = 2
	// ShortestRun is the least run time that is expected of a task, in seconds, so that no estimate is 0.
	ShortestRun = 0.5
	// LeastLeft is the least share of its run time that a task is held to need still, however long it has run.
	LeastLeft = 0.1
	// NoticeReports is how many report intervals before a machine is taken its tasks are told to save: one for the order, one for a lost
	// message, one in reserve.
	NoticeReports = 3
	// RestartWeight makes a task costlier to stop for each time it was stopped before.
	RestartWeight = 4.0
)

// Fleet.
const (
	// PlanEvery is how often the fleet is planned.
	PlanEvery = time.Second
	// ListEvery is how often the cloud's list is read.
	ListEvery = 10 * time.Second
	// TypesEvery is how often machine types and prices are read.
	TypesEvery = 120 * time.Second
	// LeastCharge is the least time that a machine is charged for.
	LeastCharge = 60 * time.Second
	// IdleReturn is how long a machine stays idle before it goes back.
	IdleReturn = 15 * time.Second
	// DrainReturn is the same for a machine that is not needed.
	DrainReturn = 3 * time.Second
	// DrainHeadroom is the share of the work at hand that is kept free for what comes before machines are emptied.
	DrainHeadroom = 0.4
	// PlanHorizon is the longest that a job is planned to wait for room, however much time it has.
	PlanHorizon = 15 * time.Second
	// SlackShare is the share of a job's slack that it is planned to wait; the rest is for what goes wrong.
	SlackShare = 0.25
	// BootPatience is how many nominal boot times a machine gets before it is given up.
	BootPatience = 3.0
	// BootPatienceMin is the least patience with a boot.
	BootPatienceMin = 60 * time.Second
	// BootReckon is how many nominal boot times a machine is reckoned to take; usual are 0.6 to 1.5. BootHope is how many are planned with;
	// the few that take longer
	// or never come are planned without.
	BootReckon = 1.1
	BootHope   = 2.75
	// DrainAge is how old a machine must be before it is emptied, as it is charged for a minute anyway.
	DrainAge = LeastCharge / 2
	// ZoneSpread makes a pool dearer for each machine in its zone, just enough to spread over zones where all else is equal.
	ZoneSpread = 0.001
	// CrowdLeases is how many leases machines that fell silent in a crowd are kept.
	CrowdLeases = 4
	// CapacityBackoffMin and CapacityBackoffMax bound the pause after a refusal for one type, zone and kind.
	CapacityBackoffMin = 5 * time.Second
	CapacityBackoffMax = 40 * time.Second
	// SilentShare is the share of a worker's lease after which a silent machine is deleted.
	SilentShare = 0.75
	// SilentCrowd is the share of machines silent at once above which the network is to blame, and nobody is deleted.
	SilentCrowd = 0.25
	// DearRatio and DearSlack: a pool that costs this many times the cheapest is used only for jobs with less slack than this.
	DearRatio = 2.5
	DearSlack = 60 * time.Second
	// RentalFraction is the part of a machine that must be wanted before one more is rented while others run.
	RentalFraction = 0.3
	// FractionPatience is how long a job waits since its last start before any part of a machine is enough to rent one for it.
	FractionPatience = 30 * time.Second
	// RebuildPatience and RebuildReports (in report intervals) are how long after a take-over a machine that may hold tasks may stay
	// unheard of before
	// it is deleted, which is quicker evidence than the end of its lease. Workers find a new leader in a few seconds.
	RebuildPatience = 6 * time.Second
	RebuildReports  = 2.5
	// FewUnheard is the share of all machines up to which those that nothing is heard of since a take-over are given up after FewMisses
	// probes without an
	// answer, the next one right after the one before.
	FewUnheard = 0.03
	FewMisses  = 2
	// ProbeEvery is how often such a machine is asked directly.
	ProbeEvery = 2 * time.Second
	// UnverifiedCrowd is the share of machines unverified at once from which on they are given UnverifiedReports report intervals to prove
	// themselves before they are asked.
	UnverifiedCrowd   = 0.05
	UnverifiedReports = 1.5
	// BusyWait is how long a report may have waited in the mailbox that probes still go out beside it, and BusyFor how long that is held to
	// tell of now: reports
	// and the lease go first.
	BusyWait = 250 * time.Millisecond
	BusyFor  = time.Second
	// ProbeCost is about what a probe takes of a core: a connection, two calls and their system calls. No more probes a second are sent
	// than the
	// controller's whole processor could carry, but at least ProbeRateLeast, and ProbeSlowdown of that after one took longer than BusyWait:
	// then the
	// processor is needed for reports, the lease and votes.
	ProbeCost      = 400 * time.Microsecond
	ProbeSlowdown  = 0.25
	ProbeRateLeast = 40.0
	// ProbeTimeout bounds the two calls of a probe.
	ProbeTimeout = 1500 * time.Millisecond
	// DirectTimeout bounds a direct command; a worker answers in milliseconds or not at all.
	DirectTimeout = 2 * time.Second
	// DirectsMost is how many direct commands are on their way at once; see dispatch. Those to machines that are out of reach take
	// DirectTimeout.
	DirectsMost = 64
	// MuteAfter is how long a worker that did not answer a direct command gets its orders by reports only.
	MuteAfter = 10 * time.Second
	// SummaryEvery is how often the leader logs how it stands.
	SummaryEvery = 10 * time.Second
	// RelayFor is how long a worker's reports are relayed before it is told to try the leader itself again. A try that fails costs it 5 s
	// of its lease.
	RelayFor = 30 * time.Second
	// RelayTimeout bounds a relayed report; the worker waits 4 s.
	RelayTimeout = 1500 * time.Millisecond
	// RelayStage is how many reports are relayed at once.
	RelayStage = 64
	// CutPause is how long a node that could not reach the leader sends workers elsewhere without asking again.
	CutPause = 3 * time.Second
	// AskAgain is the pause before a deletion that got no clear answer is repeated.
	AskAgain = 2 * time.Second
	// CancelShare is the share of the time in which a machine's lease can still be let run out (see CancelLast) after which one that still
	// has a
	// cancelled task is deleted.
	CancelShare = 0.6
	// CancelGrace is how long a leader that has only now learned of an older cancellation lets stops take their effect before it deletes
	// machines.
	CancelGrace = 3 * time.Second
	// CancelLatest is the share of cancel_s by which they are deleted all the same.
	CancelLatest = 0.85
	// MissingLists is how many lists in a row must lack a silent machine that was listed before it is deleted.
	MissingLists = 2
	// CloudShare is the part of the cloud's rate that a leader uses; at a take-over two terms may call for a moment.
	CloudShare = 0.8
	// CrowdLeast is how many silent machines are never a crowd, however few there are in all.
	CrowdLeast = 3
)

// Memory and processor.
const (
	// HeapShare is the part of the memory limit given to the Go runtime as its soft limit; the rest is
	// for stacks of threads, the binary and buffers of the kernel.
	HeapShare = 0.55
	// MemoryLeastMB is what a process needs to run at all: a follower without work holds 7 MB. MemoryScarceMB and CoreScarce are below what
	// a leader of some tens of
	// machines needs; on simulated machines such a one held 8 to 18 MB and used less than a hundredth of a core on average.
	MemoryLeastMB  = 8.0
	MemoryScarceMB = 32.0
	CoreScarce     = 0.01
	// GCPercent is the garbage collector's target: the live heap is a tenth of the soft limit or less, so there is room to collect less
	// often, which saves
	// processor time; near the limit it collects as often as it must.
	GCPercent = 400
	// Procs is GOMAXPROCS. A controller has a part of one core, so a second thread that looks for work would only take from the first.
	Procs = 1
)

// Shares is how a controller's sockets are used. The state service, the cloud and the other controllers have theirs set aside; the rest
// is shared by need
// between connections that come in and those that are made to workers.
type Shares struct {
	Room     int // inbound connections and those made to workers, together
	Headroom int // of these, what connections to workers leave free
	Inbound  int // most inbound connections
	Fleet    int // of these, most connections of machines
	Machines int // most machines that are rented at once, unless the operator sets another number
	Probes   int // most probes under way
	Stage    int // most users' requests worked on at once
}

// ShareSockets shares the sockets of a controller that has so many others beside it.
func ShareSockets(sockets, others int) Shares {
	s := Shares{Stage: min(UserStage, max(1, int(float64(sockets)*UserStageShare)))}
	set := min(s.Stage+StateConns+CloudConns+2*others+SpareSockets, int(float64(sockets)*ReservedMost))
	s.Room = sockets - set
	part := func(of int, share float64) int { return max(1, int(float64(of)*share)) }
	s.Headroom = part(s.Room, HeadroomShare)
	s.Inbound = s.Room - part(s.Room, MadeShare) - s.Headroom
	s.Fleet = s.Inbound - part(s.Inbound, UsersShare)
	s.Machines = part(s.Fleet, 1-StaleShare)
	s.Probes = min(ProbesMost, part(s.Room, ProbeShare))
	return s
}

// Mailbox is the size of the mailbox of the leader's scheduler: one report of each worker that can be connected, as each has one in flight.
func Mailbox(s Shares) int { return max(MailboxLeast, s.Fleet) }

// ProbeRate is how many probes a second a controller with such a share of a core sends at most; one whose share is not known is held to
// have a core.
func ProbeRate(coreShare float64) float64 {
	if coreShare <= 0 {
		coreShare = 1
	}
	return max(coreShare/ProbeCost.Seconds(), ProbeRateLeast)
}

// WaitOut is how long to wait, by our clock, until a lease of d on another clock is surely over.
func WaitOut(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*DriftShare) + LeaseMargin
}

// Entitled is how long, by our clock, a hold of life d is surely ours from the moment its touch was sent.
func Entitled(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*2*DriftShare) - LeaderLeaseMargin
}

// CancelLast is how long after a cancellation a machine that still has the job's tasks may get an answer to a report: its lease then
// ends within
// cancelWithin, whatever becomes of its deletion. It is at least half of cancelWithin, for leases that are too long for any of this.
func CancelLast(cancelWithin, lease time.Duration) time.Duration {
	return max(cancelWithin-WaitOut(lease), cancelWithin/2)
}

// HeapLimit is the Go runtime's soft limit in bytes, by the memory of the controller's machine.
func HeapLimit(memoryMB float64) int64 { return int64(memoryMB * HeapShare * (1 << 20)) }

// PledgeLife is how long a controller's pledge to a leader lasts, by the workers' lease.
func PledgeLife(lease time.Duration) time.Duration {
	return min(max(time.Duration(float64(lease)*PledgeShare), PledgeMin), PledgeMax)
}

// Seconds turns a protocol duration into a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RetryAfterSeconds is what a user is told who can't be served now, in whole seconds: soon, and the later the longer the state service
// has been
// out of reach already.
func RetryAfterSeconds(failing time.Duration) int {
	return min(RetryAfter+int(failing/RetryAfterStep), RetryAfterMax)
}
