package limits

import "time"

// Calls to the cloud.
const (
	// CloudTimeout is the longest wait for an answer. Usually it takes up to about a second.
	CloudTimeout = 8 * time.Second
	// MaxCloudCalls is how many calls are under way at once: rentals, deletions, a page of the list
	// and the types. Further ones would wait for the rate anyway.
	MaxCloudCalls = 24
	// CloudRateShare is the part of the cloud's rate that a leader uses. At a failover two leaders may
	// make calls for a moment.
	CloudRateShare = 0.8
	// CloudRetryInterval is the pause before a call without a clear answer is repeated.
	CloudRetryInterval = 2 * time.Second
	// CloudPageSize is how many machines are asked for in one page, the most that the protocol allows.
	CloudPageSize = 500
	// MaxRentalSize is the largest number of machines in one rental request, by the protocol.
	MaxRentalSize = 50
	// MaxDeleteSize is the largest number of machines in one deletion, by the protocol.
	MaxDeleteSize = 100
	// MachineListInterval is how often the cloud's list of machines is read.
	MachineListInterval = 10 * time.Second
	// MachineTypesInterval is how often machine types and prices are read.
	MachineTypesInterval = 120 * time.Second
	// MissingListsBeforeDelete is how many lists in a row must lack an unreachable machine that was
	// listed before until it is deleted. A list can be older than the one before it.
	MissingListsBeforeDelete = 2
	// CapacityBackoffMin and CapacityBackoffMax bound the pause after the cloud had no machine of one
	// type in one zone, spot or not.
	CapacityBackoffMin = 5 * time.Second
	CapacityBackoffMax = 40 * time.Second
)
