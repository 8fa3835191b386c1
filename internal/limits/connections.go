package limits

import "time"

// Connections and stages.
const (
	// ConnIdleTimeout closes an inbound connection that has been silent this long. Users
	// poll every 5 s and workers report more often.
	ConnIdleTimeout = 60 * time.Second
	// RequestReadTimeout closes a connection whose request does not become whole in this time.
	RequestReadTimeout = 10 * time.Second
	// MaxServerLoopFailures is how many times in a row a server's loop may end right after its start before
	// the server gives up.
	MaxServerLoopFailures = 20
	// ReadBufferBytes is the size of a buffer that one read fills, in bytes: most messages fit.
	ReadBufferBytes = 4096
	// ConnSweepInterval is how often connections are checked for the two limits above.
	ConnSweepInterval = 2 * time.Second
	// MaxCloudCalls is how many calls of the cloud are under way at once: rentals, deletions, a
	// list and types. More wait for its rate anyway.
	MaxCloudCalls = 24
	// SpareSockets are for listeners, the runtime's own, and watches.
	SpareSockets = 16
	// ReservedSocketShare bounds the part of the sockets that is set aside for the state service,
	// the cloud and controllers, where there are few.
	ReservedSocketShare = 0.4
	// UserConnShare is the part of inbound connections that machines can't take. Users hold about
	// one for each job that is not over, spread over all controllers.
	UserConnShare = 0.12
	// InboundHeadroomShare is the part that connections to workers leave free, so that a rush of
	// connections coming in finds room until kept ones are given up, half a second later.
	InboundHeadroomShare = 0.06
	// OutboundReserveShare is the part that inbound connections leave to connections to workers, for
	// probes and direct commands when all else is taken.
	OutboundReserveShare = 0.03
	// StaleConnShare is the part of the machines' connections that may be dead ones, not swept yet,
	// or of machines that are not ours any more.
	StaleConnShare = 0.1
	// ProbeShare is the part of the sockets that probes may hold at once, ProbesMost the most of
	// them: a new leader asks all machines at once, and those that are out of reach hold theirs for
	// ProbeTimeout.
	ProbeShare = 0.2
	MaxProbes  = 512
	// UserSlots is how many users' requests are worked on at once; one more is told to come back.
	// Each holds one state-service call, and no more than UserStageShare of all sockets go to
	// these.
	UserSlots      = 64
	UserSlotsShare = 0.15
	// MaxIdleConnBytes is what a connection may hold of the heap between requests, in bytes: two thousand
	// of them stay far below the memory of a controller that has as many sockets.
	MaxIdleConnBytes = 8 << 10
	// MinMailboxSize is the least size of the mailbox of the leader's scheduler, in messages; see
	// Mailbox.
	MinMailboxSize = 512
	// StateConns is how many connections to the state service the controller's own work needs at
	// once, and StateIdle how many are kept for this and for users' requests: as many as may be in
	// use, since a controller that is behind can't make one in time.
	StateConns = 8
	StateIdle  = StateConns + UserSlots
	// WatchIdle is how many connections of watches are kept: the one of the leader's key and, as
	// leader, the one of the open jobs.
	WatchIdle = 2
	// PeerStreams is how many calls of one other controller are served at once.
	PeerStreams = 64
	// PeerIdle is how long a connection to another controller is kept unused.
	PeerIdle = 10 * time.Minute
	// FinalStateCacheSize is how many final states a node keeps, so that late polls cost no read.
	FinalStateCacheSize = 4096
	// HeartbeatAnswerTimeout is how long a report may wait in our mailbox; the worker drops an
	// answer after 4 s.
	HeartbeatAnswerTimeout = 3 * time.Second
)
