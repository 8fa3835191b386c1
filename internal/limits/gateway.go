package limits

import "time"

// User requests.
const (
	// UserPollPatience and UserSubmitPatience are the times for which users wait for the response to a poll, and
	// to a submission or cancellation. They are set by the protocol.
	UserPollPatience   = 2 * time.Second
	UserSubmitPatience = 5 * time.Second
	// HealthCheckPatience is the time for which the load balancer waits for the answer to a health check. It is set
	// by the protocol.
	HealthCheckPatience = time.Second
	// PollTimeout is the time within which every poll is answered. The client's timeout is 2 s.
	PollTimeout = 1800 * time.Millisecond
	// SubmitTimeout is the time within which submissions and cancellations are answered. The client's
	// timeout for them is 5 s.
	SubmitTimeout = 4 * time.Second
	// TaskCountsTimeout is the timeout for getting a job's task counts from the leader. They are for
	// display only.
	TaskCountsTimeout = 250 * time.Millisecond
	// CancelConfirmTimeout is the timeout of a request to the leader to confirm that it has received a
	// cancellation. The request is sent directly and, if the leader does not confirm, again through the
	// other controllers. Both attempts together fit into SubmitTimeout.
	CancelConfirmTimeout = 600 * time.Millisecond
	// MaxUnansweredAge is how long users may ask about a job without an answer while the state service is
	// reachable. It is shorter than the time after which the protocol calls a job forgotten.
	MaxUnansweredAge = 60 * time.Second
	// MinUnansweredQuestions is the least number of questions about a job, all without an answer, for its age
	// to be a violation. Users may have had answers from other controllers in between.
	MinUnansweredQuestions = 3
	// MaxQuestionGap is the time between two questions about a job after which they are not considered
	// together. It is much longer than the interval of a user's polls, because each of them may go to
	// another controller.
	MaxQuestionGap = 60 * time.Second
	// MaxQuestionAges is the number of jobs of which a controller records the age of unanswered questions.
	MaxQuestionAges = 1 << 16
	// FinalStateCacheSize is the number of jobs whose final states a controller caches, so that polls of
	// finished jobs do not cause reads from the state service.
	FinalStateCacheSize = 4096

	// MinRetryAfterSeconds is the least value of the Retry-After header in responses to users, in seconds.
	MinRetryAfterSeconds = 1
	// RetryAfterStep is the time of a state service outage after which Retry-After grows by another second,
	// up to MaxRetryAfterSeconds. An outage that has lasted long is likely to last as long again, but
	// users should also notice its end soon.
	RetryAfterStep       = 8 * time.Second
	MaxRetryAfterSeconds = 4
)

// Forwarding of heartbeats to the leader.
const (
	// HeartbeatReplyTimeout is how long a heartbeat may wait for the leader's reply. A worker ignores
	// replies that take longer than 4 s.
	HeartbeatReplyTimeout = 3 * time.Second
	// RelayTimeout is the timeout for relaying a heartbeat to the leader and getting the reply.
	RelayTimeout = 1500 * time.Millisecond
	// RelaySlots is the maximum number of heartbeats that a controller relays at the same time.
	RelaySlots = 64
	// RelayDuration is how long a worker's heartbeats are relayed before the worker is redirected to the
	// leader again. If the worker still cannot connect to the leader, the attempt costs 5 s of its lease.
	RelayDuration = 30 * time.Second
	// LeaderUnreachableBackoff is how long a controller that failed to reach the leader redirects workers
	// to other controllers before it relays heartbeats again.
	LeaderUnreachableBackoff = 3 * time.Second
)

// RetryAfterSeconds returns the Retry-After value, in whole seconds, for a user request that cannot be
// served, when calls to the state service have been failing for the given time.
func RetryAfterSeconds(failingFor time.Duration) int {
	return min(MinRetryAfterSeconds+int(failingFor/RetryAfterStep), MaxRetryAfterSeconds)
}
