package limits

import "time"

// Gang scheduling.
const (
	// GangDemandWindow is how long room is reserved for as many gangs as there were at once: longer
	// than a gang runs and a machine boots, but not much longer, as the room is paid for.
	GangDemandWindow = 90 * time.Second
	// GangCapacityTimeout is how long machines are rented and kept for a gang that cannot get all that
	// it needs. Refusals of the cloud last some seconds, and a machine takes up to about a minute to
	// boot.
	GangCapacityTimeout = 60 * time.Second
	// GangReservationShare is the largest part of all machines that is reserved for gangs of one kind.
	// Under lasting overload others need the rest.
	GangReservationShare = 0.5
	// GangReservationYieldAge is how long after its submission or last start a job may use what is
	// reserved for gangs: well below the 90 s for which nobody may wait while a machine has room.
	GangReservationYieldAge = 45 * time.Second
)
