package limits

import "time"

// Calls to the state service.
const (
	// StateTimeout is the longest wait for an answer. Usually it takes 10 ms, now and then a few
	// hundred.
	StateTimeout = 1500 * time.Millisecond
	// WatchDuration is how long a watch stays open when nothing changes.
	WatchDuration = 30 * time.Second
	// WatchGrace is how long after WatchDuration the answer may still come. Watches stay open in an
	// outage, so a long wait is no fault; a dead connection is noticed after this.
	WatchGrace = 10 * time.Second
	// RetryBackoffMin and RetryBackoffMax bound the jittered pause between tries at the state service, at the cloud
	// and at connections to other controllers.
	RetryBackoffMin = 100 * time.Millisecond
	RetryBackoffMax = 2 * time.Second
	// StatePageSize is how many keys are asked for in one page. A page stays below MaxUpstreamBytes at
	// the largest values seen so far.
	StatePageSize = 200
	// ConditionsPerOperation is how many conditions a transaction may have for each operation that it
	// may have, by the protocol.
	ConditionsPerOperation = 4
	// ControllerStateConns is how many connections the controller's own work needs at once.
	ControllerStateConns = 8
	// MaxIdleStateConns is how many connections are kept when they are not in use, for the controller's own
	// work and users' requests together: as many as may be used at once, since a controller that is
	// behind with its work cannot open one in time.
	MaxIdleStateConns = ControllerStateConns + UserSlots
	// MaxIdleWatchConns is how many connections for watches are kept: that of the leader's key and, in the
	// leader, that of the open jobs.
	MaxIdleWatchConns = 2
	// UnavailableAfter is how long no call must have succeeded until users are turned away without
	// one, and UnavailableProbeInterval how often one call is made all the same.
	UnavailableAfter         = time.Second
	UnavailableProbeInterval = 500 * time.Millisecond
)

// Shares of the state service's rates.
const (
	// UserReadShare and UserWriteShare are for users' requests, at whichever controllers they arrive.
	UserReadShare  = 0.5
	UserWriteShare = 0.4
	// ControllerReadShare and ControllerWriteShare are for the controllers' own work, nearly all of it
	// the leader's. The shares of the writes add up to a little more than 1, as users seldom need
	// theirs while many machines boot.
	ControllerReadShare  = 0.5
	ControllerWriteShare = 0.7
	// UserRateLimitWait is how long a user's request waits for its share: about as long as an answer of the
	// service takes now and then.
	UserRateLimitWait = 100 * time.Millisecond
	// ChunkWriteShare is the part of the writes that may go into records of finished tasks: a third of
	// what users do not need. Final records, rentals and registrations need the rest, and nothing
	// starts or ends without them.
	ChunkWriteShare = 0.2
)

// Sizes of records and transactions.
const (
	// MinValueKB is the smallest value limit of the state service that all records fit, in KiB.
	MinValueKB = 0.5
	// MinTransactionOps is the smallest limit on the operations of a transaction. An election makes
	// three at once.
	MinTransactionOps = 4
	// FinishedTasksOverhead is the size of a record of finished tasks without its bitmap, in bytes,
	// rounded up.
	FinishedTasksOverhead = 128
	// RentalOverhead is the size of a rental's record without the names of its machines, in bytes,
	// rounded up; MachineNameBytes is the size of each name, with room for longer ones than were seen.
	RentalOverhead   = 256
	MachineNameBytes = 32
	// RegistryEntryOverhead is the size of a page of registered machines without its entries, and what
	// an entry needs beyond its own JSON, in bytes, rounded up.
	RegistryEntryOverhead = 16
)

// When records are written.
const (
	// RegistryWriteInterval is the least time between two writes of newly registered machines. Those
	// that come up meanwhile go into one write. A machine takes many times as long to boot.
	RegistryWriteInterval = 200 * time.Millisecond
	// ChunkWriteInterval is the least time between two writes of one chunk of finished tasks. What is
	// not written yet is kept by the workers, so this only bounds how long they list it.
	ChunkWriteInterval = 3 * time.Second
	// MaxChunkWriteDelay is how long the finished tasks of a job that is nearly over may go without a
	// record.
	MaxChunkWriteDelay = 15 * time.Second
)
