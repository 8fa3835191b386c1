package limits

import "time"

// Gang scheduling. Gangs are of the same kind if the same machines are allowed for them.
const (
	// GangDemandWindow is how long machines stay reserved for the peak demand of gangs of one kind. It is
	// longer than a gang runs and a machine takes to boot, but not much longer, because reserved machines
	// cost money.
	GangDemandWindow = 90 * time.Second
	// GangCapacityTimeout is how long machines are rented and kept for a gang while the cloud does not
	// have enough machines for all of it. The cloud refuses requests for some seconds at a time, and a
	// machine takes up to about a minute to boot.
	GangCapacityTimeout = 60 * time.Second
	// GangReservationShare is the largest share of all CPUs that is reserved for gangs of one kind. Other
	// jobs need the rest under sustained overload.
	GangReservationShare = 0.5
	// GangReservationYieldAge is how long a job waits, counted from its submission or the last time one of
	// its tasks was assigned, until it may use machines that are reserved for gangs. It is well below
	// 90 s, the longest time for which a job may wait while a machine has free resources for it.
	GangReservationYieldAge = 45 * time.Second
)
