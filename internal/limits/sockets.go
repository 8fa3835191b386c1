package limits

// Shares of a controller's sockets; see DivideSockets.
const (
	// SpareSockets is the number of sockets kept for listeners, the Go runtime and watches.
	SpareSockets = 16
	// ReservedSocketShare is the largest share of all sockets that is reserved for the state service, the
	// cloud and the other controllers. It matters for controllers with few sockets.
	ReservedSocketShare = 0.4
	// InboundHeadroomShare is the share of SocketShares.MaxConns that connections to workers leave free. It
	// leaves sockets for a burst of inbound connections until idle connections to workers are closed, half a
	// second later.
	InboundHeadroomShare = 0.06
	// OutboundReserveShare is the share of SocketShares.MaxConns that inbound connections leave free for
	// connections to workers, so that probes and direct commands are possible when all other sockets are in
	// use.
	OutboundReserveShare = 0.03
	// UserConnShare is the share of inbound connections that machines may not use. Users keep about one
	// connection for each unfinished job, over all controllers.
	UserConnShare = 0.12
	// StaleConnShare is the share of the machines' connections that may be dead but not yet closed, or
	// belong to machines that have been returned.
	StaleConnShare = 0.1
	// ProbeSocketShare is the largest share of SocketShares.MaxConns that probes may use at the same time.
	// MaxProbes also limits the number of concurrent probes. A new leader probes all machines at once, and a
	// probe of an unreachable machine holds its socket for ProbeTimeout.
	ProbeSocketShare = 0.2
	MaxProbes        = 512
	// UserSlots is the maximum number of concurrent submissions and cancellations. Further ones are rejected,
	// and the users are asked to retry later. Each makes one call to the state service at a time, so
	// UserSlotsShare limits the share of all sockets that these calls use. Polls have no such slots: their
	// reads are shared, see storage.BatchReader.
	UserSlots      = 64
	UserSlotsShare = 0.15
	// MailboxSize is the size of the mailbox of the leader's scheduler, in messages. It is also the least size of
	// the queue of heartbeats; see HeartbeatQueueSize.
	MailboxSize = 512
)

// SocketShares says how a controller's sockets are divided. Sockets for the state service, the cloud and
// the other controllers are reserved. All others are shared on demand by inbound connections and
// connections to workers.
type SocketShares struct {
	MaxConns        int // limit on inbound connections and connections to workers together
	InboundHeadroom int // part of MaxConns that connections to workers leave free
	MaxInboundConns int // limit on inbound connections
	MaxMachineConns int // part of MaxInboundConns that machines may use
	MaxMachines     int // limit on rented machines, unless the operator sets another one
	MaxProbes       int // limit on concurrent probes
	UserSlots       int // limit on concurrent submissions and cancellations
}

// DivideSockets divides the sockets of a controller in a cluster with the given number of other
// controllers. Every share is at least 1.
func DivideSockets(sockets, otherControllers int) SocketShares {
	userSlots := min(UserSlots, shareOf(sockets, UserSlotsShare))
	needed := userSlots + ControllerStateConns + MaxCloudCalls + 2*otherControllers + SpareSockets
	reserved := min(needed, Whole(float64(sockets)*ReservedSocketShare, sockets))

	s := SocketShares{UserSlots: userSlots, MaxConns: sockets - reserved}
	s.InboundHeadroom = shareOf(s.MaxConns, InboundHeadroomShare)
	s.MaxInboundConns = s.MaxConns - shareOf(s.MaxConns, OutboundReserveShare) - s.InboundHeadroom
	s.MaxMachineConns = s.MaxInboundConns - shareOf(s.MaxInboundConns, UserConnShare)
	s.MaxMachines = shareOf(s.MaxMachineConns, 1-StaleConnShare)
	s.MaxProbes = min(MaxProbes, shareOf(s.MaxConns, ProbeSocketShare))
	return s
}

// shareOf returns the given share of a total, rounded down, but at least 1.
func shareOf(total int, share float64) int { return max(1, Whole(float64(total)*share, total)) }

// HeartbeatQueueSize returns the number of heartbeats that may wait for the leader's scheduler: one from each
// worker that can be connected, as a worker has at most one in flight.
func HeartbeatQueueSize(s SocketShares) int { return max(MailboxSize, s.MaxMachineConns) }
