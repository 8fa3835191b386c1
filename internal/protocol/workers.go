package protocol

// Reasons for the end of a task.
const (
	ReasonDone        = "done"
	ReasonStopped     = "halted"
	ReasonError       = "error"
	ReasonNoRoom      = "no_room"
	ReasonBusy        = "busy"
	ReasonUnknownTask = "no_such"

	ReasonPeers      = "peers"      // of a gang: another task of it is gone
	ReasonIncomplete = "incomplete" // of a gang: it was not complete in time
)

// Verbs of commands.
const (
	CommandStart  = "start"
	CommandStop   = "stop"
	CommandForget = "forget"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task    string `cbor:"Piece"`
	Attempt uint64 `cbor:"Try"`
	State   string `cbor:"Standing"`
	Reason  string `cbor:"Cause"`
	Saved   bool   `cbor:"Stored"`
}

// Heartbeat is what a worker tells.
type Heartbeat struct {
	Machine      string       `cbor:"Rig"`
	Address      string       `cbor:"Address"`
	MachineType  string       `cbor:"Rigkind"`
	Zone         string       `cbor:"Yard"`
	Spot         bool         `cbor:"Lendable"`
	Incarnation  uint64       `cbor:"Shift"`
	Sequence     uint64       `cbor:"Tally"`
	FencingToken uint64       `cbor:"Baton"`
	SpotNoticeS  *float64     `cbor:"WarningS"`
	Tasks        []TaskStatus `cbor:"Pieces"`
}

// Command is one command to a worker.
type Command struct {
	Verb    string   `cbor:"Verb"`
	Task    string   `cbor:"Piece"`
	Attempt uint64   `cbor:"Try"`
	GraceS  *float64 `cbor:"LeewayS,omitempty"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"Baton"`
	Commands     []Command `cbor:"Orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Leader string `cbor:"Foreman,omitempty"`
}

// DirectCommands is the body of a command sent to a worker.
type DirectCommands struct {
	FencingToken uint64    `cbor:"Baton"`
	Incarnation  uint64    `cbor:"Shift"`
	Commands     []Command `cbor:"Orders"`
}

// Valid checks what the scheduler relies on.
func (r *Heartbeat) Valid() bool {
	return r.Machine != "" && r.MachineType != "" && r.Zone != "" && r.Incarnation > 0
}
