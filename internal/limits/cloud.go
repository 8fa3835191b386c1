package limits

import "time"

// Calls to the cloud API.
const (
	// CloudTimeout is the timeout of a call. A reply usually takes up to about a second.
	CloudTimeout = 8 * time.Second
	// MaxCloudCalls is the largest number of concurrent calls: rentals, deletions, one page of the machine
	// list and the machine types. More would only wait for the rate limit.
	MaxCloudCalls = 24
	// CloudRateShare is the share of the cloud's rate limit that a leader uses. During a failover, two
	// leaders may make calls for a moment.
	CloudRateShare = 0.8
	// CloudRetryInterval is the delay before a call with an unknown outcome is repeated.
	CloudRetryInterval = 2 * time.Second
	// CloudPageSize is the number of machines requested per page of the machine list, the maximum that the
	// protocol allows.
	CloudPageSize = 500
	// MaxRentalSize is the maximum number of machines in a rental request, set by the protocol.
	MaxRentalSize = 50
	// MaxDeleteSize is the maximum number of machines in a delete request, set by the protocol.
	MaxDeleteSize = 100
	// MachineListInterval is the time between two reads of the cloud's machine list.
	MachineListInterval = 10 * time.Second
	// MachineTypesInterval is the time between two reads of the machine types and prices.
	MachineTypesInterval = 120 * time.Second
	// MissingListsBeforeDelete is the number of consecutive machine lists from which an unreachable
	// machine must be missing, after it was listed once, before it is deleted. One list is not enough,
	// because it can be older than the list read before it.
	MissingListsBeforeDelete = 2
	// CapacityBackoffMin and CapacityBackoffMax bound the exponential delay before the next rental request
	// for a pool that had fewer machines than were requested.
	CapacityBackoffMin = 5 * time.Second
	CapacityBackoffMax = 40 * time.Second
)
