package limits

// How a controller's sockets are divided; see DivideSockets.
const (
	// SpareSockets are kept for listeners, the Go runtime and watches.
	SpareSockets = 16
	// ReservedSocketShare is the largest part of the sockets that is reserved for the state service,
	// the cloud and the other controllers; it matters where there are few.
	ReservedSocketShare = 0.4
	// InboundHeadroomShare is the part that connections to workers leave free, so that a burst of
	// inbound connections finds room until kept connections to workers are closed, half a second
	// later.
	InboundHeadroomShare = 0.06
	// OutboundReserveShare is the part that inbound connections leave to connections to workers, for
	// probes and direct commands when all others are in use.
	OutboundReserveShare = 0.03
	// UserConnShare is the part of inbound connections that machines may not use. Users keep about one
	// for each job that is not over, over all controllers.
	UserConnShare = 0.12
	// StaleConnShare is the part of the machines' connections that may be dead but not closed yet, or
	// belong to machines that were returned.
	StaleConnShare = 0.1
	// ProbeSocketShare is the part of the sockets that probes may use at once, and MaxProbes the largest
	// number of probes under way. A new leader probes all machines at once, and each that is
	// unreachable keeps its socket for ProbeTimeout.
	ProbeSocketShare = 0.2
	MaxProbes        = 512
	// UserSlots is how many users' requests are served at once; further ones are told to retry later.
	// Each makes one call to the state service at a time, so no more than UserSlotsShare of all
	// sockets are used for them.
	UserSlots      = 64
	UserSlotsShare = 0.15
	// MinMailboxSize is the least size of the scheduler's mailbox, in messages; see MailboxSize.
	MinMailboxSize = 512
)

// SocketShares says how a controller's sockets are used. Those for the state service, the cloud and
// the other controllers are reserved. The rest is shared, as needed, by inbound connections and
// connections to workers.
type SocketShares struct {
	MaxConns        int // inbound connections and connections to workers, together
	InboundHeadroom int // part of MaxConns that connections to workers leave free
	MaxInboundConns int // most inbound connections
	MaxMachineConns int // part of MaxInboundConns that machines may use
	MaxMachines     int // most machines that are rented at once, unless the operator sets another number
	MaxProbes       int // most probes under way
	UserSlots       int // most users' requests served at once
}

// DivideSockets divides the sockets of a controller that has some number of other controllers beside
// it. Every share is at least 1.
func DivideSockets(sockets, otherControllers int) SocketShares {
	userSlots := min(UserSlots, shareOf(sockets, UserSlotsShare))
	needed := userSlots + ControllerStateConns + MaxCloudCalls + 2*otherControllers + SpareSockets
	reserved := min(needed, int(float64(sockets)*ReservedSocketShare))

	s := SocketShares{UserSlots: userSlots, MaxConns: sockets - reserved}
	s.InboundHeadroom = shareOf(s.MaxConns, InboundHeadroomShare)
	s.MaxInboundConns = s.MaxConns - shareOf(s.MaxConns, OutboundReserveShare) - s.InboundHeadroom
	s.MaxMachineConns = s.MaxInboundConns - shareOf(s.MaxInboundConns, UserConnShare)
	s.MaxMachines = shareOf(s.MaxMachineConns, 1-StaleConnShare)
	s.MaxProbes = min(MaxProbes, shareOf(s.MaxConns, ProbeSocketShare))
	return s
}

// shareOf returns a share of a number, rounded down, but at least 1.
func shareOf(total int, share float64) int { return max(1, int(float64(total)*share)) }

// MailboxSize returns the size of the mailbox of the leader's scheduler: one heartbeat of each worker
// that can be connected, as each has one in flight at most.
func MailboxSize(s SocketShares) int { return max(MinMailboxSize, s.MaxMachineConns) }
