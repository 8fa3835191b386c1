package limits

import "time"

// The leader's lease.
const (
	// LeaderLease is the default duration of the leader's lease. With the workers' leases it has to
	// outlast an outage of the state service. A long one costs little: a leader that crashed is back
	// under its own name, and elected, long before, and one that alone cannot reach the state service
	// hands over. Only a leader whose machine is lost for good is replaced this much later.
	LeaderLease = 60 * time.Second
	// LeaderLeaseMin and LeaderLeaseMax bound what an operator may set. Below, one slow answer of the
	// state service costs the leadership; the state service does not accept more than the maximum.
	LeaderLeaseMin = 5 * time.Second
	LeaderLeaseMax = 600 * time.Second
	// LeaseRenewInterval is how often the lease is renewed: often enough that nearly all of it is left
	// when an outage begins.
	LeaseRenewInterval = 2 * time.Second
	// LeaseRenewTimeout is the longest wait for a renewal, and for a connection to the state service.
	// It is longer than StateTimeout, as a leader that is behind with its work reads the answer late.
	// It is short enough that a handover still comes after two failed renewals.
	LeaseRenewTimeout = 3500 * time.Millisecond
	// AttemptTermShift is the bit of an attempt number at which the term begins, so that attempts rise
	// from one leader to the next.
	AttemptTermShift = 32
)

// Handover to another controller.
const (
	// IsolationThreshold is how long renewals must have failed before the leader asks the other controllers
	// whether they can reach the state service.
	IsolationThreshold = 4 * time.Second
	// ConnectivityTimeout is the longest wait for their answers.
	ConnectivityTimeout = time.Second
	// SchedulingDelaySample is the length of the sleep by which a process measures how far it is
	// behind with its work. If it wakes later than MaxSchedulingDelay, a missing answer is no sign of
	// a fault on the other side.
	SchedulingDelaySample = 50 * time.Millisecond
	MaxSchedulingDelay    = 200 * time.Millisecond
	// HandoverAttempts is how often a leader that hands over tells its successor. If all of these are
	// lost, the end of the lease does it.
	HandoverAttempts = 3
)

// Votes of the quorum lease.
const (
	// VoteLeaseShare is the duration of a vote as a share of the workers' lease, within VoteLeaseMin
	// and VoteLeaseMax. A new leader should be there before the leases end of workers that the old one
	// answered last, and a slow answer should not cost the leadership.
	VoteLeaseShare = 0.4
	VoteLeaseMin   = 5 * time.Second
	VoteLeaseMax   = 12 * time.Second
	// VoteRenewShare is how often votes are renewed, as a share of their duration. Three renewals may
	// fail.
	VoteRenewShare = 0.25
	// VoteTimeout is the longest wait for a round of votes. It is well below VoteRenewShare of
	// VoteLeaseMin.
	VoteTimeout = 800 * time.Millisecond
	// SuspicionShare is the share of a vote's duration after which a follower that got no request for
	// a vote suspects the leader. This only starts the wait for the end of the votes.
	SuspicionShare = 0.4
	// SuspicionCheckInterval is how often a follower checks for this.
	SuspicionCheckInterval = 250 * time.Millisecond
)

// VoteLease returns how long a controller's vote for a leader lasts, by the workers' lease.
func VoteLease(workerLease time.Duration) time.Duration {
	return min(max(time.Duration(float64(workerLease)*VoteLeaseShare), VoteLeaseMin), VoteLeaseMax)
}
