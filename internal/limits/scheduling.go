package limits

import "time"

// Scheduling.
const (
	// MaxExhaustiveVictims is the number of preemptible tasks up to which every set of
	// victims is tried: 2^10 sets cost some tens of microseconds.
	MaxExhaustiveVictims = 10
	// TickInterval is how often the scheduler looks at what only time changes.
	TickInterval = 500 * time.Millisecond
	// FirstTaskCreditAge is the age from which a job is due its first task whatever else waits: users
	// count on every job's beginning within four minutes, and room for it may have to be held for a
	// while. From AgeRest on, and over AgeSpan, it is due the others; earlier it would push back
	// jobs that can still be on time.
	FirstTaskCreditAge = 150 * time.Second
	AllTasksCreditAge  = 240 * time.Second
	AllTasksCreditSpan = 120 * time.Second
	// UnderservedShare: while a group of jobs has got at least this share of what it is due, those
	// of them that have begun wait in the ordinary order. Users count on half.
	UnderservedShare = 0.65
	// ReservedMachinesRatio: one of so many machines may be kept for jobs that are behind and lack room.
	ReservedMachinesRatio = 6
	// QueueOrderTTL is how long the order of the queue is kept: against slacks of many seconds it
	// makes no difference.
	QueueOrderTTL = 200 * time.Millisecond
	// WeightOvercommit is the multiplier of the overcommit weigher. It is more than all
	// others together: free room comes first.
	WeightOvercommit = 1000.0
	// WeightPreemptionCost is the multiplier of the preemption cost weigher.
	WeightPreemptionCost = 100.0
	// WeightImage prefers machines that have the image, which saves the fetch.
	WeightImage = 8.0
	// WeightPacking prefers machines that are left with less free room, so that others empty and
	// can be returned.
	WeightPacking = 4.0
	// WeightGangReservation lets gangs prefer machines that are kept for them over any others with
	// free room.
	WeightGangReservation = 20.0
	// GangDemandWindow is how long room is kept for as many gangs as there were at once: longer
	// than a gang's tasks run and a machine boots, and not much longer, as the room is paid for.
	GangDemandWindow = 90 * time.Second
	// GangCapacityTimeout is how long machines are rented and kept for a gang that can't have all
	// that it needs: the cloud's refusals last some seconds, and a machine takes up to a minute or
	// so to boot.
	GangCapacityTimeout = 60 * time.Second
	// GangReservationShare is the most of all machines that is kept for gangs of a kind: under
	// lasting overload others need the rest.
	GangReservationShare = 0.5
	// GangReservationYieldAge is how long a job waits for room, since its last start, before it may
	// use what is kept for gangs: well below the 90 s for which nobody may wait while a machine has
	// room.
	GangReservationYieldAge = 45 * time.Second
	// WeightSpeed prefers machines seen to be fast.
	WeightSpeed = 1.0
	// SpeedStep is the step in which observed speeds are compared, as a share of the usual run
	// time: healthy machines differ by a tenth, and what is seen of one is not exact.
	SpeedStep = 0.05
	// FreshHeartbeatIntervals is how many report intervals a machine may be silent and still get tasks.
	FreshHeartbeatIntervals = 2.5
	// FaultyFailures is how many failures in a row, with no success between, make a machine suspect.
	FaultyFailures = 2
	// SlowMachineTasks and SlowFactor: a machine whose last tasks, at least so many, took this many
	// times as long as the same jobs' tasks elsewhere is faulty. Healthy machines differ by a
	// tenth; tasks of one job differ more, hence the number.
	SlowMachineTasks  = 4
	SlowMachineFactor = 2.5
	// MaxTasksPerMachine bounds the tasks on one machine, ended ones included, so that its report
	// stays below MaxBodyBytes.
	MaxTasksPerMachine = 400
	// JobFaultMachines is how many machines must fail a job's tasks before the job itself is held
	// to be faulty.
	JobFaultMachines = 3
	// JobBackoffMin and JobBackoffMax bound the growing delay of a job that fails everywhere.
	JobBackoffMin = 2 * time.Second
	JobBackoffMax = 60 * time.Second
	// SlackBase is added to a job's slack before it weighs its work in the queue, so that slack
	// decides between jobs of like work and work between jobs of like slack.
	SlackBase = 30 * time.Second
	// SlackCap bounds that slack, for jobs without any time to meet.
	SlackCap = time.Hour
	// PreemptSlack is the slack below which a deadline is held to be pressing: then waiting for
	// room is worse than the loss of somebody's work.
	PreemptSlack = 6 * time.Second
	// PreemptionSearchInterval is how soon a request that found no tasks to stop looks for them
	// again: against PreemptSlack it makes no difference.
	PreemptionSearchInterval = 500 * time.Millisecond
	// WeightPrice prefers machines that cost less for each CPU, so that the dear ones empty first.
	WeightPrice = 6.0
	// RunTimeLearningRate is the least weight of a new run time in a class's learned ratio.
	RunTimeLearningRate = 0.05
	// SaveMargin is added to the time a task needs to save when it is told to stop.
	SaveMargin = 2 * time.Second
	// MaxCommands bounds the orders in one answer, so that it stays far below MaxBodyBytes.
	MaxCommands = 300
	// ChunkWriteInterval is how often one chunk of finished tasks is written at most. What is not
	// written yet is kept by the workers, so this only bounds how long they list it.
	ChunkWriteInterval = 3 * time.Second
	// MinValueKB is the smallest value size of the state service that every record of ours fits into.
	MinValueKB = 0.5
	// MinTransactionOps is the least number of changes of a transaction: an election makes three at
	// once.
	MinTransactionOps = 4
	// FinishedTasksOverhead is what a record of finished tasks needs beside the bitmap, in bytes,
	// rounded up.
	FinishedTasksOverhead = 128
	// RentalOverhead is what a rental's record needs beside the names of its machines, with names
	// of a type and zone, in bytes, rounded up; MachineNameBytes is what each name needs, with room
	// for longer ones than were seen.
	RentalOverhead   = 256
	MachineNameBytes = 32
	// RegistryEntryOverhead is what a page of registered machines needs beside its entries, and
	// each entry beside its own JSON, in bytes, rounded up.
	RegistryEntryOverhead = 16
	// RegistryWriteInterval is the least time between two writes of new machines: what comes up
	// meanwhile goes into one, and a machine takes many times as long to boot.
	RegistryWriteInterval = 200 * time.Millisecond
	// ChunkWriteShare is the part of the state service's writes that may go into finished tasks: a
	// third of what is not the users'. Final records, rentals and registrations need the rest, and
	// nothing starts or ends without them.
	ChunkWriteShare = 0.2
	// MaxChunkWriteDelay is how long a job that is nearly over is left without a record of its
	// finished tasks.
	MaxChunkWriteDelay = 15 * time.Second
	// Epsilon is the rounding that is forgiven when amounts are compared; the protocol's amounts
	// have a few decimals.
	Epsilon = 1e-6
	// LateToleranceShare is the share of its run time by which a job may be late by the estimate
	// and still be tried: estimates are often too high.
	LateToleranceShare = 0.25
	// MinImageFetchRate is the slowest image fetch that is reckoned with, in GB a second.
	MinImageFetchRate = 1e-3
	// EstimatePriorTasks is how many tasks' worth of weight the class's run time has in a job's
	// estimate beside the tasks on machines.
	EstimatePriorTasks = 2
	// MinRunTime is the least run time that is expected of a task, in seconds, so that no estimate is 0.
	MinRunTime = 0.5
	// MinRemainingShare is the least share of its run time that a task is held to need still,
	// however long it has run.
	MinRemainingShare = 0.1
	// SpotNoticeSaveIntervals is how many report intervals before a machine is taken its tasks are
	// told to save: one for the order, one for a lost message, one in reserve.
	SpotNoticeSaveIntervals = 3
	// RestartWeight makes a task costlier to stop for each time it was stopped before.
	RestartWeight = 4.0
)
