package scheduler

// Log keys that several log entries share, so that all entries use the same key for the same thing.
const (
	keyJob      = "job"
	keyTask     = "task" // index of the task in its job
	keyAttempt  = "attempt"
	keyMachine  = "machine"
	keyMachines = "machines" // number of machines
	keyTasks    = "tasks"    // number of tasks
	keyReason   = "reason"
	keyRental   = "request" // name of the rental
	keyType     = "type"    // machine type
	keyZone     = "zone"
	keySpot     = "spot"
	keyToken    = "token" // fencing token

	keySinceCancellation = "since_cancellation" // time since the user may have been notified
)
