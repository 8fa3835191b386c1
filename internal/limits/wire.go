package limits

// Bounds of messages and their fields, most of them given by the protocol.
const (
	// MaxBodyBytes is the largest body of a request, and of an answer to users and workers, in bytes.
	MaxBodyBytes = 64 << 10
	// MaxHeadBytes is the largest request line with its headers, in bytes. The protocol needs a few
	// hundred, so this only stops a sender that never ends.
	MaxHeadBytes = 8 << 10
	// MaxHeaders is the largest number of header lines, for the same reason.
	MaxHeaders = 64
	// MaxChunkLineBytes is the longest size line of a chunk with its extensions, in bytes.
	MaxChunkLineBytes = 256
	// MaxUpstreamBytes is the largest answer that is read from the state service or the cloud, in
	// bytes. A page of keys has at most 512 KiB. The answer to a watch has no limit; if it is larger
	// than this, the keys are listed again instead.
	MaxUpstreamBytes = 4 << 20
	// MaxCBORNesting is the deepest nesting in a body. The protocol's deepest message has four levels.
	MaxCBORNesting = 16

	// MaxTasksPerJob is the largest number of tasks of a job.
	MaxTasksPerJob = 100_000
	// MaxNameBytes is the longest name of a job, team, class or image, in bytes. A key of the state
	// service has at most 200 bytes, and the longest adds a prefix and a chunk number to a name.
	MaxNameBytes = 128
	// MaxAmount is the largest amount or duration of a submission. Sums of such values stay exact in a
	// float64.
	MaxAmount = 1e12
	// MaxMachineTypes is the longest list of allowed machine types of a job.
	MaxMachineTypes = 256
	// Epsilon is the rounding error that comparisons of amounts allow for. Amounts of the protocol
	// have a few decimals.
	Epsilon = 1e-6
)
