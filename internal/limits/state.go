package limits

import "time"

// Calls to the state service.
const (
	// StateTimeout is the timeout of a call. A reply usually takes 10 ms, and occasionally a few hundred.
	StateTimeout = 1500 * time.Millisecond
	// WatchDuration is how long a watch stays open when there are no changes.
	WatchDuration = 30 * time.Second
	// WatchGrace is how long after WatchDuration the reply to a watch may arrive. A watch stays open during
	// an outage, so a missing reply is no sign of a fault until then. After WatchGrace, the connection of the
	// watch is assumed to be dead.
	WatchGrace = 10 * time.Second
	// RetryBackoffMin and RetryBackoffMax bound the delay with jitter between attempts to call the state
	// service or the cloud, or to connect to other controllers.
	RetryBackoffMin = 100 * time.Millisecond
	RetryBackoffMax = 2 * time.Second
	// StatePageSize is the number of keys requested per page. With the largest values seen so far, a page
	// stays below MaxUpstreamBytes.
	StatePageSize = 200
	// ConditionsPerOperation is the maximum number of conditions in a transaction, as a multiple of its
	// maximum number of operations. It is set by the protocol.
	ConditionsPerOperation = 4
	// ControllerStateConns is the number of concurrent connections that a controller's own work needs.
	ControllerStateConns = 8
	// MaxIdleStateConns is the maximum number of idle connections that are kept, for the controller's own
	// work and user requests together. It is the number of connections that may be in use at the same
	// time, because an overloaded controller cannot open a connection in time.
	MaxIdleStateConns = ControllerStateConns + UserSlots
	// MaxIdleWatchConns is the maximum number of idle connections that are kept for watches. There is one
	// watch of the leader's key and, on the leader, one of the open jobs.
	MaxIdleWatchConns = 2
	// UnavailableAfter is how long calls must have been failing before user requests are rejected without a
	// call. One call per UnavailableProbeInterval is still made, to detect the end of the outage.
	UnavailableAfter         = time.Second
	UnavailableProbeInterval = 500 * time.Millisecond
)

// Shares of the state service's rate limits.
const (
	// UserReadShare and UserWriteShare are the shares for submissions and cancellations. Each controller may
	// use all of them, as the users' load is not spread evenly over the controllers.
	UserReadShare  = 0.5
	UserWriteShare = 0.4
	// ControllerReadShare and ControllerWriteShare are the shares for the controllers' own work, nearly all
	// of which is the leader's. The write shares add up to slightly more than 1, because users seldom need
	// theirs while many machines boot.
	ControllerReadShare  = 0.5
	ControllerWriteShare = 0.7
	// BatchReadShare is the share of the request rate for the reads of user requests, over all controllers,
	// each of which may use an equal part. Together with the requests that UserWriteShare allows, it leaves
	// ControllerReadShare to the controllers' own work.
	BatchReadShare = 0.4
	// MaxConcurrentBatchReads is the number of reads of user requests that a controller makes at the same
	// time, so that a slow reply does not hold up the others.
	MaxConcurrentBatchReads = 4
	// MinPageReads is the least number of waiting keys for which a page is read instead of single keys.
	MinPageReads = 2
	// MaxBatchReadAge is the wait from which the key that has waited longest is read before all others.
	MaxBatchReadAge = time.Second
	// BatchPageSize is the number of keys requested per page that is read for user requests.
	BatchPageSize = 500
	// BatchReadRetryDelay is the pause after a read that exceeded the state service's rate.
	BatchReadRetryDelay = 100 * time.Millisecond
	// UserRateLimitWait is how long a user request may wait for the rate limit. It is about as long as an
	// occasional slow reply of the state service takes.
	UserRateLimitWait = 100 * time.Millisecond
	// ChunkWriteShare is the share of writes that may be used for records of finished tasks, a third of
	// what users do not need. Final records, rentals and registrations need the rest, and no task starts
	// and no job ends without them.
	ChunkWriteShare = 0.2
)

// Sizes of records and transactions.
const (
	// MinValueKB is the smallest supported limit of the state service on the size of a value, in KiB. Every
	// kind of record fits into it.
	MinValueKB = 0.5
	// MinTransactionOps is the smallest supported limit on the number of operations in a transaction. An
	// election needs three.
	MinTransactionOps = 4
	// MaxTransactionBytes is the largest size of a transaction, and thus of a value, in bytes. It is set by the
	// protocol.
	MaxTransactionBytes = 64 << 10
	// FinishedTasksOverheadBytes is the size of a record of finished tasks without its bitmap, rounded
	// up.
	FinishedTasksOverheadBytes = 128
	// RentalOverheadBytes is the size of a rental record without the names of its machines, rounded
	// up. MachineNameBytes is the size that is assumed for each name, more than any name seen so far has.
	RentalOverheadBytes = 256
	MachineNameBytes    = 32
	// RegistryEntryOverheadBytes is the size of a registry page without its entries, and also what each entry
	// needs in addition to its own JSON, rounded up.
	RegistryEntryOverheadBytes = 16
)

// Times between writes of records.
const (
	// RegistryWriteInterval is the minimum time between two writes of newly registered machines. Machines
	// that come up in the meantime are written together. The delay is small compared with the boot time of
	// a machine.
	RegistryWriteInterval = 200 * time.Millisecond
	// ChunkWriteInterval is the minimum time between two writes of the same chunk of finished tasks. Workers
	// keep reporting results until these have been written, so a longer interval only makes them report the
	// same results for longer.
	ChunkWriteInterval = 3 * time.Second
	// MaxChunkWriteDelay is the maximum delay of writing the finished tasks of a job that is nearly
	// complete.
	MaxChunkWriteDelay = 15 * time.Second
)

// ValueBytes returns the largest size of a value in bytes, given the state service's limit in KiB. It is at most
// MaxTransactionBytes.
func ValueBytes(valueKB float64) int { return Whole(valueKB*1024, MaxTransactionBytes) }
