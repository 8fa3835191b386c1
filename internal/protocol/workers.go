package protocol

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskFetching  TaskState = "fetching"  // waiting for its image
	TaskGathering TaskState = "gathering" // waiting for the other tasks of its gang
	TaskRunning   TaskState = "running"
	TaskSaving    TaskState = "saving" // saving a checkpoint after a stop command
	TaskEnded     TaskState = "ended"  // has an EndReason
)

// EndReason says why a task ended or why its start was rejected.
type EndReason string

// Reasons why a task ended or its start was rejected.
const (
	ReasonDone          EndReason = "done"    // completed; the worker keeps the result
	ReasonStopped       EndReason = "halted"  // stopped by a command
	ReasonError         EndReason = "error"   // failed, usually because of a fault of the machine
	ReasonNoRoom        EndReason = "no_room" // start rejected: not enough free resources
	ReasonAttemptExists EndReason = "busy"    // start rejected: the worker has another attempt of the task
	ReasonUnknownTask   EndReason = "no_such" // start rejected: no such job or task

	ReasonPeerLost       EndReason = "peers"      // another task of the same gang ended or was lost
	ReasonGangIncomplete EndReason = "incomplete" // some tasks of the same gang did not start in time
)

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string    `cbor:"Piece"` // see ParseTaskName
	Attempt uint64    `cbor:"Try"`
	State   TaskState `cbor:"Standing"`
	Reason  EndReason `cbor:"Cause"`  // set if the task ended
	Saved   bool      `cbor:"Stored"` // whether a stopped task saved a checkpoint
}

// Heartbeat is a worker's heartbeat with the status of its tasks. It is also the reply to a probe and to
// direct commands. Heartbeats are ordered by incarnation, and within an incarnation by sequence.
type Heartbeat struct {
	Machine      string       `cbor:"Rig"`
	Address      string       `cbor:"Address"`
	MachineType  string       `cbor:"Rigkind"`
	Zone         string       `cbor:"Yard"`
	Spot         bool         `cbor:"Lendable"`
	Incarnation  uint64       `cbor:"Shift"`    // starts at 1; increases each time the worker's lease expires
	Sequence     uint64       `cbor:"Tally"`    // increases with each heartbeat
	FencingToken uint64       `cbor:"Baton"`    // highest token that the worker has received
	SpotNoticeS  *float64     `cbor:"WarningS"` // seconds until the cloud reclaims the machine, or nil
	Tasks        []TaskStatus `cbor:"Pieces"`   // all tasks; ended ones until a CommandForget
}

// IsValid reports whether a heartbeat has all fields that the scheduler relies on.
func (h *Heartbeat) IsValid() bool {
	return h.Machine != "" && h.MachineType != "" && h.Zone != "" && h.Incarnation > 0
}

// CommandVerb is what a command instructs a worker to do with a task.
type CommandVerb string

// Verbs of commands.
const (
	CommandStart  CommandVerb = "start"
	CommandStop   CommandVerb = "stop"
	CommandForget CommandVerb = "forget" // stop reporting an ended task in heartbeats
)

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Verb    CommandVerb `cbor:"Verb"`
	Task    string      `cbor:"Piece"`
	Attempt uint64      `cbor:"Try"`
	GraceS  *float64    `cbor:"LeewayS,omitempty"` // for CommandStop: time to save a checkpoint
}

// HeartbeatReply is the reply to a heartbeat. A worker ignores a reply whose fencing token is lower than
// the highest token that it has received.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"Baton"`
	Commands     []Command `cbor:"Orders"`
}

// Redirect is the body of a response with status 421 (Misdirected Request). It instructs a worker to send
// its heartbeats to the leader, or to any other controller if Leader is empty.
type Redirect struct {
	Leader string `cbor:"Foreman,omitempty"`
}

// DirectCommands is the body of a request that sends commands to a worker directly instead of in the reply
// to its heartbeat. The worker ignores them if the fencing token is lower than the highest token that it has
// received, or if the incarnation is not its current one.
type DirectCommands struct {
	FencingToken uint64    `cbor:"Baton"`
	Incarnation  uint64    `cbor:"Shift"`
	Commands     []Command `cbor:"Orders"`
}
