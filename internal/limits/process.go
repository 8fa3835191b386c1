package limits

import "math"

// Memory and CPU of a controller.
const (
	// HeapLimitShare is the share of the memory that is set as the soft memory limit of the Go runtime. The
	// rest is for thread stacks, the binary and kernel buffers.
	HeapLimitShare = 0.55
	// GCPercent is the garbage collection target percentage (GOGC). The live heap is at most a tenth of the
	// soft limit, so that collecting less often saves CPU time. Near the limit, the runtime collects as
	// often as necessary.
	GCPercent = 400
	// MaxProcs is the value of GOMAXPROCS. A controller has a share of one core, so that a second thread
	// looking for work would only take CPU time from the first.
	MaxProcs = 1

	// MinMemoryMB is the least memory with which a controller starts, in MB. An idle follower uses 7 MB.
	MinMemoryMB = 8.0
	// LowMemoryMB (in MB) and LowCoreShare (a fraction of a core) are the limits below which settings cause
	// a warning. On simulated machines, a leader of some tens of machines used 8 to 18 MB and on average
	// less than a hundredth of a core.
	LowMemoryMB  = 32.0
	LowCoreShare = 0.01
	// MaxHeartbeatsPerCore is the number of heartbeats per second for which one core is enough for a leader, with
	// what belongs to them: placement, commands and the questions of users. More causes a warning.
	MaxHeartbeatsPerCore = 10_000.0
	// MinSockets is the least number of sockets with which a controller starts. DivideSockets leaves 20 of
	// them for users and workers.
	MinSockets = 32
)

// HeapLimit returns the Go runtime's soft memory limit in bytes for a controller with the given memory.
func HeapLimit(memoryMB float64) int64 {
	return Whole(memoryMB*HeapLimitShare*(1<<20), int64(math.MaxInt64))
}
