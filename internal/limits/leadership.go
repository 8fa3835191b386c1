package limits

import "time"

// Leader lease.
const (
	// LeaderLease is the default duration of the leader lease. Together with the worker leases it has to
	// outlast an outage of the state service. A long lease costs little: a leader that crashed is
	// restarted and reelected under the same name long before the lease expires, and a leader that alone
	// cannot reach the state service hands over the leadership. Only the replacement of a leader whose
	// machine is lost for good is delayed by the length of the lease.
	LeaderLease = 60 * time.Second
	// LeaderLeaseMin and LeaderLeaseMax bound what an operator may set. With a lease shorter than the
	// minimum, a single slow reply of the state service would end the term. The state service rejects
	// leases longer than the maximum.
	LeaderLeaseMin = 5 * time.Second
	LeaderLeaseMax = 600 * time.Second
	// LeaseRenewInterval is the time between two renewals of the lease. It is short, so that nearly all of
	// the lease is left when an outage begins.
	LeaseRenewInterval = 2 * time.Second
	// LeaseRenewTimeout is the timeout for a renewal and for connecting to the state service. It is longer
	// than StateTimeout because an overloaded leader reads the reply late. It is short enough for a
	// handover to take place after two failed renewals.
	LeaseRenewTimeout = 3500 * time.Millisecond
	// AttemptTermShift is the bit position of the term in the number of a task attempt. The bits below
	// count the attempts of the term, so attempt numbers increase across leaders.
	AttemptTermShift = 32
	// FencingTokensPerReservation is the number of fencing tokens that a leader reserves at a time. A worker receives a
	// new one at most with every heartbeat. Terms are at least this far apart.
	FencingTokensPerReservation = 256
	// MaxTerm is the highest number of a term that the number of a task attempt has room for.
	MaxTerm = 1<<(64-AttemptTermShift) - 1
	// FencingTokenWarningInterval is the shortest time between two warnings about tokens that workers report.
	FencingTokenWarningInterval = 10 * time.Second
)

// Handover to another controller.
const (
	// IsolationThreshold is how long a controller's calls to the state service must have been failing before
	// it asks the other controllers whether they can reach the service.
	IsolationThreshold = 4 * time.Second
	// ConnectivityTimeout is the timeout for the replies of the other controllers.
	ConnectivityTimeout = time.Second
	// SchedulingDelaySample is the length of the sleep with which a process measures its scheduling delay.
	// If it wakes up more than MaxSchedulingDelay late, the process is overloaded, and a missing reply does
	// not show that the other side has failed.
	SchedulingDelaySample = 50 * time.Millisecond
	MaxSchedulingDelay    = 200 * time.Millisecond
	// HandoverAttempts is how many times a leader that hands over sends the offer to its successor. If all
	// of them are lost, the successor takes over when the lease expires.
	HandoverAttempts = 3
)

// A scheduler that does not go on.
const (
	// TurnCheckInterval is the time between two checks of whether the leader's scheduler goes on.
	TurnCheckInterval = 2 * time.Second
	// MinTurnStalledTicks is the least result of TurnStalledTicks.
	MinTurnStalledTicks = 4
	// TermEndTimeout is how long a controller waits for its term to end after it has given up the leadership. The
	// slowest step on a small processor is far shorter, so a term that has not ended then never will, and the
	// process ends instead.
	TermEndTimeout = 30 * time.Second
)

// TurnStalledTicks returns the number of checks in a row, TurnCheckInterval apart, after which a scheduler that still
// processes the same message counts as stalled. No worker has been answered for as long as its lease by then, so a
// failover loses nothing that a slow step has not lost already.
func TurnStalledTicks(workerLease time.Duration) int {
	return max(int((workerLease+TurnCheckInterval-1)/TurnCheckInterval), MinTurnStalledTicks)
}

// Votes of the quorum lease.
const (
	// VoteLeaseShare is the duration of a vote as a share of the duration of a worker lease. The duration is
	// at least VoteLeaseMin and at most VoteLeaseMax. Votes should expire early enough that a new leader is
	// elected before the worker leases renewed by the old leader expire. They should last long enough that
	// one slow reply does not end the term.
	VoteLeaseShare = 0.4
	VoteLeaseMin   = 5 * time.Second
	VoteLeaseMax   = 12 * time.Second
	// VoteRenewShare is the time between two renewals of the votes, as a share of their duration. The votes
	// do not expire if up to three renewals in a row fail.
	VoteRenewShare = 0.25
	// VoteTimeout is the timeout for a round of votes. It is well below VoteRenewShare of VoteLeaseMin.
	VoteTimeout = 800 * time.Millisecond
	// SuspicionShare is the share of a vote's duration after which a follower that has received no vote
	// request suspects the leader. A suspicion only starts the wait until the votes have expired.
	SuspicionShare = 0.4
	// SuspicionCheckInterval is the time between two checks of whether a follower should suspect the leader.
	SuspicionCheckInterval = 250 * time.Millisecond
)

// VoteLease returns how long a controller's vote for a leader lasts, given the duration of a worker lease.
func VoteLease(workerLease time.Duration) time.Duration {
	return min(max(Scale(workerLease, VoteLeaseShare), VoteLeaseMin), VoteLeaseMax)
}
