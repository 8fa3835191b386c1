package scheduler

// WithheldReason says why the leader did not renew a worker's lease, or did not send a command yet.
type WithheldReason string

// The reasons for which a heartbeat is not accepted: the worker gets neither a lease nor commands.
const (
	WithheldNotEntitled    WithheldReason = "not_entitled"    // the leader was not entitled
	WithheldMalformed      WithheldReason = "malformed"       // the heartbeat is invalid
	WithheldLaterTerm      WithheldReason = "later_term"      // the worker has seen a later fencing token
	WithheldMachineDeleted WithheldReason = "machine_deleted" // the cloud has confirmed the machine's deletion
	WithheldOutdated       WithheldReason = "outdated"        // delayed or duplicate, or of an ended incarnation
	WithheldCancelledTask  WithheldReason = "cancelled_task"  // a task of a cancelled job would run too long
)

// The reasons for which a task is not started, or a direct command not sent, at this moment.
const (
	WithheldRecovery        WithheldReason = "recovery"           // a new leader does not know yet what runs where
	WithheldUnregistered    WithheldReason = "unregistered"       // the machine's registration is not stored yet
	WithheldResources       WithheldReason = "resources"          // its resources are not confirmed to be free
	WithheldGang            WithheldReason = "gang"               // not all tasks of its gang can start
	WithheldUnverified      WithheldReason = "unverified"         // replies are not known to reach the machine
	WithheldUnreachable     WithheldReason = "unreachable"        // no heartbeat for a while, or a relayed one
	WithheldCommandInFlight WithheldReason = "command_in_flight"  // the last direct command has no outcome yet
	WithheldBackoff         WithheldReason = "backoff"            // direct commands to the machine have failed
	WithheldTooManyInFlight WithheldReason = "too_many_in_flight" // to all machines together
)

// The reasons for which a worker is not instructed to forget ended attempts yet, although their results are stored.
const (
	WithheldForgetCommandInFlight WithheldReason = "forget_command_in_flight" // the worker would reject that command
	WithheldForgetNoToken         WithheldReason = "forget_no_token"          // no higher fencing token is reserved
)

// withhold counts commands that are not sent in this step.
func (o *outbox) withhold(reason WithheldReason, count int) {
	if count == 0 {
		return
	}
	if o.withheld == nil {
		o.withheld = map[WithheldReason]int{}
	}
	o.withheld[reason] += count
}

// reportWithheld emits the counts of this step, if there are any.
func (o *outbox) reportWithheld() {
	if o.withheld != nil {
		o.emit(CommandsWithheld{Counts: o.withheld})
		o.withheld = nil
	}
}
