package limits

import "time"

// Scaling out. A pool is all machines of one machine type in one zone, either spot or on-demand ones.
const (
	// PlanInterval is the time between two runs of the capacity planner, which decides which machines to
	// rent and to return.
	PlanInterval = time.Second
	// MaxPlannedWait is the default limit on how long a job is planned to wait for free resources.
	MaxPlannedWait = 15 * time.Second
	// PlannedWaitSlackRatio is the default limit on how long a job is planned to wait for free resources, as
	// a share of its slack. The rest of the slack is kept for unforeseen delays.
	PlannedWaitSlackRatio = 0.25
	// ExpensivePoolRatio and ExpensivePoolSlack are defaults. A pool that costs more than ExpensivePoolRatio
	// times the price of the cheapest pool is used only for jobs that can still meet a deadline and whose
	// slack is at most ExpensivePoolSlack.
	ExpensivePoolRatio = 2.5
	ExpensivePoolSlack = 60 * time.Second
	// SimilarPriceRatio is the multiple of the cheapest pool's price up to which another pool is used
	// beside the cheapest one.
	SimilarPriceRatio = 1.5
	// MaxPlannedRequests is the largest number of rental requests that one plan starts, whatever the cloud's rate
	// limit allows. It bounds the time that a plan takes.
	MaxPlannedRequests = 1000
	// MinPoolRequests is the least value of the limit on pending rental requests for one pool.
	MinPoolRequests = 2
	// ZoneSpreadPenalty is the fraction by which each machine in a zone raises the cost of all pools in that
	// zone when the planner compares pools. It is just large enough to spread machines over zones of equal
	// price.
	ZoneSpreadPenalty = 0.001
	// MinRentalFraction is the fraction of an additional machine that must be needed before it is rented.
	// It does not apply while there are no machines at all.
	MinRentalFraction = 0.3
	// FractionalRentalDelay is how long a job waits, counted from its submission or the last time one of
	// its tasks was assigned, until a machine is rented for it even if the job needs less of the machine
	// than MinRentalFraction.
	FractionalRentalDelay = 30 * time.Second

	// BootEstimateFactor is the expected boot time of a machine in multiples of the nominal one. Actual
	// boots usually take 0.6 to 1.5 times the nominal time.
	BootEstimateFactor = 1.1
	// BootPlanFactor is the number of nominal boot times after which the planner no longer counts on a
	// booting machine, as it may never come up.
	BootPlanFactor = 2.75
	// OverdueBootRemainingS is the remaining boot time, in seconds, that is expected of a machine that
	// has been booting for longer than estimated.
	OverdueBootRemainingS = 2.0
	// BootTimeoutFactor is the number of nominal boot times after which a machine that has not come up is
	// returned to the cloud. It is kept for at least MinBootTimeout.
	BootTimeoutFactor = 3.0
	MinBootTimeout    = 60 * time.Second
)

// Scaling in.
const (
	// MinChargedTime is the least time that the cloud charges for a machine.
	MinChargedTime = 60 * time.Second
	// IdleTimeout is the default for how long a machine must be idle before it is returned.
	IdleTimeout = 15 * time.Second
	// DrainedIdleTimeout replaces IdleTimeout for a machine that is being drained.
	DrainedIdleTimeout = 3 * time.Second
	// DrainHeadroom is the default for how many CPUs are kept free for future tasks when machines are
	// drained, as a fraction of the CPUs of all running and waiting tasks.
	DrainHeadroom = 0.4
	// MinDrainAge is the age from which a machine may be drained. Returning a machine before
	// MinChargedTime saves nothing.
	MinDrainAge = MinChargedTime / 2
	// SummaryInterval is the time between two summary lines in the leader's log.
	SummaryInterval = 10 * time.Second
)
