package protocol

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskFetching  TaskState = "fetching"  // waits for its image
	TaskGathering TaskState = "gathering" // of a gang: waits for the other tasks
	TaskRunning   TaskState = "running"
	TaskSaving    TaskState = "saving" // was told to stop, and saves a checkpoint
	TaskEnded     TaskState = "ended"  // see the EndReason
)

// EndReason says why a task ended, or was not started.
type EndReason string

// Reasons for the end of a task.
const (
	ReasonDone          EndReason = "done"    // completed; the worker keeps the result
	ReasonStopped       EndReason = "halted"  // stopped by a command
	ReasonError         EndReason = "error"   // failed, mostly by a fault of the machine
	ReasonNoRoom        EndReason = "no_room" // start refused: not enough free resources
	ReasonAttemptExists EndReason = "busy"    // start refused: another attempt of the task is there
	ReasonUnknownTask   EndReason = "no_such" // start refused: no such job or task

	ReasonPeerLost       EndReason = "peers"      // of a gang: another task of it is gone
	ReasonGangIncomplete EndReason = "incomplete" // of a gang: it was not complete in time
)

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string    `cbor:"Piece"` // see ParseTaskName
	Attempt uint64    `cbor:"Try"`
	State   TaskState `cbor:"Standing"`
	Reason  EndReason `cbor:"Cause"`  // if the task ended
	Saved   bool      `cbor:"Stored"` // if it was stopped: its checkpoint was saved
}

// Heartbeat is a worker's heartbeat with its status. It is also the answer to a probe and to direct
// commands. Of two heartbeats, the one with the larger incarnation and sequence is the newer one.
type Heartbeat struct {
	Machine      string       `cbor:"Rig"`
	Address      string       `cbor:"Address"`
	MachineType  string       `cbor:"Rigkind"`
	Zone         string       `cbor:"Yard"`
	Spot         bool         `cbor:"Lendable"`
	Incarnation  uint64       `cbor:"Shift"`    // from 1; rises each time the worker's lease expires
	Sequence     uint64       `cbor:"Tally"`    // rises with each heartbeat
	FencingToken uint64       `cbor:"Baton"`    // highest one that the worker has seen
	SpotNoticeS  *float64     `cbor:"WarningS"` // seconds until the cloud takes the machine away, or nil
	Tasks        []TaskStatus `cbor:"Pieces"`   // all tasks, ended ones too until a command to forget them
}

// Valid reports whether a heartbeat has what the scheduler relies on.
func (h *Heartbeat) Valid() bool {
	return h.Machine != "" && h.MachineType != "" && h.Zone != "" && h.Incarnation > 0
}

// CommandVerb is what a worker is told to do with a task.
type CommandVerb string

// Verbs of commands.
const (
	CommandStart  CommandVerb = "start"
	CommandStop   CommandVerb = "stop"
	CommandForget CommandVerb = "forget" // drop an ended task from the heartbeats
)

// Command is one command to a worker.
type Command struct {
	Verb    CommandVerb `cbor:"Verb"`
	Task    string      `cbor:"Piece"`
	Attempt uint64      `cbor:"Try"`
	GraceS  *float64    `cbor:"LeewayS,omitempty"` // of a stop: time to save a checkpoint
}

// HeartbeatReply is the answer to a heartbeat. A worker drops one whose token is not its highest.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"Baton"`
	Commands     []Command `cbor:"Orders"`
}

// Redirect is the body of a 421. It sends a worker to the leader, or to any other controller if that
// is empty.
type Redirect struct {
	Leader string `cbor:"Foreman,omitempty"`
}

// DirectCommands is the body of commands that are sent to a worker, rather than in the answer to its
// heartbeat. The worker executes them if the token and the incarnation match.
type DirectCommands struct {
	FencingToken uint64    `cbor:"Baton"`
	Incarnation  uint64    `cbor:"Shift"`
	Commands     []Command `cbor:"Orders"`
}
