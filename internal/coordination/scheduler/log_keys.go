package scheduler

// Keys of log entries that several lines have. Each line names a thing by the same key.
const (
	keyJob      = "job"
	keyTask     = "task" // index in its job
	keyAttempt  = "attempt"
	keyMachine  = "machine"
	keyMachines = "machines" // how many
	keyTasks    = "tasks"    // how many
	keyReason   = "reason"
	keyRental   = "request" // name of the rental
	keyType     = "type"    // of machines
	keyZone     = "zone"
	keySpot     = "spot"
)
