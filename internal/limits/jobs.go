package limits

import "time"

// Run time estimates.
const (
	// MinRunTimeS is the least estimated run time of a task, in seconds, so that no estimate is 0.
	MinRunTimeS = 0.5
	// MinRemainingShare is the least estimated remaining run time of a running task, as a share of its
	// estimated run time. It applies also to a task that has run for longer than estimated.
	MinRemainingShare = 0.1
	// EstimatePriorTasks is the least weight of the prior in a job's run time estimate, in tasks: each
	// completed task has weight 1, and the prior has this weight plus 1 for each task that is assigned to a
	// machine. The prior is the user's estimate multiplied by the average ratio of run times to users'
	// estimates in the job's class.
	EstimatePriorTasks = 2
	// MinAverageWeight is the least weight of a new sample in the moving averages of a job class: the ratio
	// of run times to the users' estimates, and the image fetch times.
	MinAverageWeight = 0.05
	// MaxRunTimeRatio is the highest ratio of a run time to the user's estimate that counts for the job's class.
	// Estimates are often wrong by half; a job whose estimate is far too low must not affect the other jobs of its
	// class for long.
	MaxRunTimeRatio = 100
	// MinImageFetchRate is the slowest image fetch rate that estimates assume, in GB per second.
	MinImageFetchRate = 1e-3
)

// Jobs that fail on every machine.
const (
	// FaultyJobMachines is the number of machines on which a job's tasks must fail, without a success in
	// between, before the failures are attributed to the job instead of the machines.
	FaultyJobMachines = 3
	// JobBackoffMin and JobBackoffMax bound the exponential delay before such a job is retried.
	JobBackoffMin = 2 * time.Second
	JobBackoffMax = 60 * time.Second
)

// Cancellations. The setting cancel_s is the time within which the tasks of a cancelled job must have
// ended.
const (
	// CancelDeleteShare is the share of CancelHeartbeatWindow after which a machine that still has tasks
	// of a cancelled job is deleted.
	CancelDeleteShare = 0.6
	// CancelStopGrace is how long a leader that receives a cancellation late, such as after a failover, waits
	// for its stop commands to take effect before it deletes machines. It waits at most until
	// CancelDeleteLatestShare of cancel_s has passed.
	CancelStopGrace         = 3 * time.Second
	CancelDeleteLatestShare = 0.85
)

// CancelHeartbeatWindow returns how long after a cancellation the leader still replies to heartbeats of a
// machine that has tasks of the cancelled job. Without further replies the worker lease expires, and the
// tasks end within cancelWithin even if deleting the machine fails. If the worker lease is too long for
// that, the window is 0: the leader replies only once the tasks have ended.
func CancelHeartbeatWindow(cancelWithin, workerLease time.Duration) time.Duration {
	return max(cancelWithin-LeaseExpiredAfter(workerLease), 0)
}
