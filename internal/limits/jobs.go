package limits

import "time"

// Estimates of run times.
const (
	// MinRunTimeS is the least run time that a task is expected to have, in seconds, so that no
	// estimate is 0.
	MinRunTimeS = 0.5
	// MinRemainingShare is the least share of its run time that a running task is expected to need
	// still, however long it has run.
	MinRemainingShare = 0.1
	// EstimatePriorTasks is how many tasks the class's run time counts for in a job's estimate, beside
	// the tasks on machines.
	EstimatePriorTasks = 2
	// MinAverageWeight is the least weight of a new observation in the averages of a class: its run
	// times against the estimates, and its fetch times.
	MinAverageWeight = 0.05
	// MinImageFetchRate is the slowest image fetch that is expected, in GB a second.
	MinImageFetchRate = 1e-3
)

// Jobs that fail on every machine.
const (
	// FaultyJobMachines is how many machines must fail a job's tasks before the job itself counts as
	// faulty.
	FaultyJobMachines = 3
	// JobBackoffMin and JobBackoffMax bound the growing pause before such a job is tried again.
	JobBackoffMin = 2 * time.Second
	JobBackoffMax = 60 * time.Second
)

// Cancellations. The settings' cancel_s says when the tasks of a cancelled job must be gone.
const (
	// CancelDeleteShare is the share of CancelHeartbeatWindow after which a machine that still has
	// tasks of a cancelled job is deleted.
	CancelDeleteShare = 0.6
	// CancelStopGrace is how long a leader that learns of an older cancellation only now waits for its
	// stop commands to work before it deletes machines, but not past CancelDeleteLatestShare of
	// cancel_s.
	CancelStopGrace         = 3 * time.Second
	CancelDeleteLatestShare = 0.85
)

// CancelHeartbeatWindow returns how long after a cancellation the heartbeats of a machine that still
// has the job's tasks may be answered. Its lease then ends within cancelWithin, even if its deletion
// fails. It is at least half of cancelWithin, for leases that are too long for this.
func CancelHeartbeatWindow(cancelWithin, workerLease time.Duration) time.Duration {
	return max(cancelWithin-LeaseExpiredAfter(workerLease), cancelWithin/2)
}
