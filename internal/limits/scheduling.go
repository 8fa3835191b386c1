package limits

import "time"

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
	// GangShortPatience is how long machines are rented and kept for a gang that can't have all that it needs: the cloud's refusals last some
	// seconds, and a machine takes up to a minute or so to boot.
	GangShortPatience = 60 * time.Second
	// GangRoomShare is the most of all machines that is kept for gangs of a kind: under lasting overload others need the rest.
	GangRoomShare = 0.5
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
