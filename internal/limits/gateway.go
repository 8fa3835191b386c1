package limits

import "time"

// Users' requests.
const (
	// PollTimeout is the time in which a poll is answered in any case. A user waits 2 s for it.
	PollTimeout = 1800 * time.Millisecond
	// SubmitTimeout is the same for submissions and cancellations, for which a user waits 5 s.
	SubmitTimeout = 4 * time.Second
	// TaskCountsTimeout is the longest wait for the leader's task counts, which are for display only.
	TaskCountsTimeout = 250 * time.Millisecond
	// CancelConfirmTimeout is the longest wait for the leader to confirm that it knows of a
	// cancellation. It is asked directly and then through the other controllers; both fit into
	// SubmitTimeout.
	CancelConfirmTimeout = 600 * time.Millisecond
	// FinalStateCacheSize is how many jobs' final states a controller keeps, so that late polls cost
	// no read.
	FinalStateCacheSize = 4096

	// RetryAfterMin is the least Retry-After that a user is given, in seconds.
	RetryAfterMin = 1
	// RetryAfterStep is the length of an outage of the state service for which Retry-After rises by
	// one second, up to RetryAfterMax seconds. A long outage may last as long again, but the user
	// should notice its end soon.
	RetryAfterStep = 8 * time.Second
	RetryAfterMax  = 4
)

// Workers' heartbeats on their way to the leader.
const (
	// HeartbeatReplyTimeout is how long a heartbeat may wait for the leader's answer. A worker drops
	// an answer after 4 s.
	HeartbeatReplyTimeout = 3 * time.Second
	// RelayTimeout is the longest wait for the answer to a heartbeat that is relayed to the leader.
	RelayTimeout = 1500 * time.Millisecond
	// RelaySlots is how many heartbeats are relayed at once.
	RelaySlots = 64
	// RelayDuration is how long a worker's heartbeats are relayed before the worker is told to try
	// the leader itself again. A try that fails costs it 5 s of its lease.
	RelayDuration = 30 * time.Second
	// LeaderUnreachableBackoff is how long a controller that could not reach the leader sends workers
	// elsewhere before it tries again.
	LeaderUnreachableBackoff = 3 * time.Second
)

// RetryAfterSeconds returns the Retry-After for a user who cannot be served now, in whole seconds,
// when no call to the state service has succeeded for some time.
func RetryAfterSeconds(failingFor time.Duration) int {
	return min(RetryAfterMin+int(failingFor/RetryAfterStep), RetryAfterMax)
}
