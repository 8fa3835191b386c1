package limits

import "time"

// Scaling out. A pool is the machines of one type in one zone, spot or not.
const (
	// PlanInterval is how often it is planned which machines to rent and return.
	PlanInterval = time.Second
	// MaxPlannedWait is the default of the longest time that a job is planned to wait for room.
	MaxPlannedWait = 15 * time.Second
	// PlannedWaitSlackRatio is the default of the part of a job's slack that it is planned to wait. The
	// rest is for what goes wrong.
	PlannedWaitSlackRatio = 0.25
	// ExpensivePoolRatio and ExpensivePoolSlack are defaults: a pool whose CPUs cost at least this many
	// times as much as the cheapest is used only for jobs with less slack than this.
	ExpensivePoolRatio = 2.5
	ExpensivePoolSlack = 60 * time.Second
	// SimilarPriceRatio: pools whose CPUs cost up to this many times as much as the cheapest are asked
	// for machines beside it.
	SimilarPriceRatio = 1.5
	// MinPoolRequests is how many rental requests for one pool may wait in any case.
	MinPoolRequests = 2
	// ZoneSpreadPenalty raises the price of a pool for each machine in its zone, as a fraction: just
	// enough to spread machines over zones where all else is equal.
	ZoneSpreadPenalty = 0.001
	// MinRentalFraction is how much of one more machine must be needed before it is rented while
	// others are up, as a fraction of the machine.
	MinRentalFraction = 0.3
	// FractionalRentalDelay is how long after its submission or its last start a job has to wait until
	// a machine is rented for it however little of it is needed.
	FractionalRentalDelay = 30 * time.Second

	// BootEstimateFactor is how many nominal boot times a machine is expected to take. Usual are 0.6
	// to 1.5.
	BootEstimateFactor = 1.1
	// BootPlanFactor is the number of nominal boot times after which planning no longer counts on a
	// machine: it may never come up.
	BootPlanFactor = 2.75
	// OverdueBootRemainingS is how many seconds more a boot is expected to take that takes longer than
	// estimated.
	OverdueBootRemainingS = 2.0
	// BootTimeoutFactor is the number of nominal boot times after which a machine is given up, but not
	// before MinBootTimeout.
	BootTimeoutFactor = 3.0
	MinBootTimeout    = 60 * time.Second
)

// Scaling in.
const (
	// MinChargedTime is the least time that the cloud charges for a machine.
	MinChargedTime = 60 * time.Second
	// IdleTimeout is the default of how long a machine is idle before it is returned.
	IdleTimeout = 15 * time.Second
	// DrainedIdleTimeout is the same for a machine that is being drained.
	DrainedIdleTimeout = 3 * time.Second
	// DrainHeadroom is the default of the share of the CPUs of running and waiting tasks that is kept
	// free, for tasks to come, before machines are drained.
	DrainHeadroom = 0.4
	// MinDrainAge is how old a machine must be before it is drained: it is charged for MinChargedTime
	// anyway.
	MinDrainAge = MinChargedTime / 2
	// SummaryInterval is how often the leader logs a summary.
	SummaryInterval = 10 * time.Second
)
