package limits

import "time"

// Leadership.
const (
	// LeaderLease is the life of the leader's hold. With the workers' lease it has to outlast an
	// outage of the state service. A long one costs little: a crashed leader is back under its own
	// name and takes over long before, and one that alone is refused hands over. Only a leader
	// whose machine is lost for good is replaced this much later.
	LeaderLease = 60 * time.Second
	// LeaderLeaseMin and LeaderLeaseMax bound what an operator may set: below, a slow answer of the
	// state service costs the leadership; the state service takes no more than the upper bound.
	LeaderLeaseMin = 5 * time.Second
	LeaderLeaseMax = 600 * time.Second
	// LeaseRenewInterval is how often the hold is renewed: often enough that an outage
	// starts with nearly the whole hold left.
	LeaseRenewInterval = 2 * time.Second
	// LeaseRenewTimeout bounds a renewal, and the wait for a connection to the state service. It is
	// longer than StateTimeout, as an answer is worth waiting for: a leader that is behind gets it
	// late. It is short enough that a hand-over still comes after two renewals have failed.
	LeaseRenewTimeout = 3500 * time.Millisecond
	// SchedulingDelaySample is the length of the sleep by which a process learns how far it is behind, and
	// LagMost how much too late it may wake from it and still trust that a call without an answer
	// tells of the other side.
	SchedulingDelaySample = 50 * time.Millisecond
	MaxSchedulingDelay    = 200 * time.Millisecond
	// IsolatedAfter is how long the hold could not be renewed before the leader asks the others
	// whether it is alone with that.
	IsolatedAfter = 4 * time.Second
	// ConnectivityTimeout bounds what controllers ask each other about that.
	ConnectivityTimeout = time.Second
	// VoteLeaseShare is a pledge's life as a share of the workers' lease, within PledgeMin and
	// PledgeMax: a new leader should be there before the leases of workers are over that the old
	// one answered last, and a slow answer should not cost the lead.
	VoteLeaseShare = 0.4
	VoteLeaseMin   = 5 * time.Second
	VoteLeaseMax   = 12 * time.Second
	// VoteRenewShare is how often pledges are renewed, as a share of their life: three renewals may
	// fail.
	VoteRenewShare = 0.25
	// SuspicionShare is the share of a pledge's life without a request after which a leader is
	// unverified. It only begins the wait.
	SuspicionShare = 0.4
	// SuspicionCheckInterval is how often a follower looks at that.
	SuspicionCheckInterval = 250 * time.Millisecond
	// VoteTimeout bounds a round of requests for pledges, well below PledgeEvery of PledgeMin.
	VoteTimeout = 800 * time.Millisecond
	// HandoverAttempts is how often a leader that gave up tells its successor; if all are lost, the end
	// of the hold does it.
	HandoverAttempts = 3
	// AttemptTermShift is where the term begins in an attempt number, so that attempts rise across
	// leaders.
	AttemptTermShift = 32
)

// Shares of the state service's rates.
const (
	// UserReadShare and UsersWrites are what users' requests may use of the rates, at whichever
	// controllers they come.
	UserReadShare  = 0.5
	UserWriteShare = 0.4
	// ControllerReadShare and OwnWrites are for the controllers' own work, nearly all of it the
	// leader's. Together it is a little more than the whole of the writes, as users seldom need
	// their part while a fleet comes up.
	ControllerReadShare  = 0.5
	ControllerWriteShare = 0.7
	// UserRateWait is how long a user's request waits for its share: about as long as the service
	// itself takes now and then.
	UserRateWait = 100 * time.Millisecond
	// UnavailableAfter is how long no call must have succeeded until users are sent away without
	// one, and DownLook how often one is let through.
	UnavailableAfter         = time.Second
	UnavailableProbeInterval = 500 * time.Millisecond
)
