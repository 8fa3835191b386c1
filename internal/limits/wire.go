package limits

// Limits on messages and their fields. Most of them are set by the protocol.
const (
	// MaxBodyBytes is the maximum size of a request body and of the body of a response to users and workers,
	// in bytes.
	MaxBodyBytes = 64 << 10
	// MaxHeadBytes is the maximum size of the request line and headers, in bytes. Requests of the protocol
	// need a few hundred bytes; the limit protects against senders of endless headers.
	MaxHeadBytes = 8 << 10
	// MaxHeaders is the maximum number of header lines. Like MaxHeadBytes, it protects against senders of
	// endless headers.
	MaxHeaders = 64
	// MaxChunkLineBytes is the maximum length of the size line of a chunk, including extensions, in bytes.
	MaxChunkLineBytes = 256
	// MaxUpstreamBytes is the maximum size of a reply from the state service or the cloud, in bytes. A page
	// of keys has at most 512 KiB. The protocol does not limit the reply to a watch; if that reply exceeds
	// MaxUpstreamBytes, the keys are listed again instead.
	MaxUpstreamBytes = 4 << 20
	// MaxCBORNesting is the maximum nesting depth of a body. The deepest message of the protocol has four
	// levels.
	MaxCBORNesting = 16

	// MaxTasksPerJob is the maximum number of tasks of a job.
	MaxTasksPerJob = 100_000
	// MaxNameBytes is the maximum length of the name of a job, team, class or image, in bytes. Keys of the
	// state service have at most 200 bytes, and the longest key adds a prefix and a chunk number to a name.
	MaxNameBytes = 128
	// MaxAmount is the maximum of an amount or a duration in a submission. Sums of such values are exact in
	// a float64.
	MaxAmount = 1e12
	// MaxMachineTypes is the maximum number of allowed machine types of a job.
	MaxMachineTypes = 256
	// Epsilon is the tolerance for rounding errors in comparisons of amounts. Amounts of the protocol have
	// a few decimals.
	Epsilon = 1e-6
	// EpsilonShare is the share of a demand by which the tolerance is limited, so that it is below any demand.
	EpsilonShare = 1e-3
)
