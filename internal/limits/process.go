package limits

// Memory and processor of a controller.
const (
	// HeapLimitShare is the part of the memory that the Go runtime gets as its soft limit. The rest is
	// for the stacks of threads, the binary and the kernel's buffers.
	HeapLimitShare = 0.55
	// GCPercent is the garbage collector's target, in percent. The live heap is a tenth of the soft
	// limit or less, so collecting less often saves processor time; near the limit the runtime
	// collects as often as it must.
	GCPercent = 400
	// MaxProcs is GOMAXPROCS. A controller has a part of one core, so a second thread looking for work
	// would only take time from the first.
	MaxProcs = 1

	// MinMemoryMB is the least memory that a controller starts with, in MB. A follower without work
	// uses 7.
	MinMemoryMB = 8.0
	// LowMemoryMB and LowCoreShare are less than a leader of some tens of machines needs, in MB and as
	// a fraction of a core; settings below them give a warning. On simulated machines such a leader
	// used 8 to 18 MB and less than a hundredth of a core on average.
	LowMemoryMB  = 32.0
	LowCoreShare = 0.01
	// MinSockets is the least number of sockets that a controller starts with. DivideSockets leaves
	// twenty of them for users and workers.
	MinSockets = 32
)

// HeapLimit returns the Go runtime's soft limit in bytes, by the memory of the controller's machine.
func HeapLimit(memoryMB float64) int64 { return int64(memoryMB * HeapLimitShare * (1 << 20)) }
