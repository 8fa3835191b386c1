package protocol

// Reasons for the end of a task.
const (
	ReasonDone   = "done"
	ReasonHalted = "halted"
	ReasonError  = "error"
	ReasonNoRoom = "no_room"
	ReasonBusy   = "busy"
	ReasonNoSuch = "no_such"

	ReasonPeers      = "peers"      // of a gang: another task of it is gone
	ReasonIncomplete = "incomplete" // of a gang: it was not complete in time
)

// Verbs of commands.
const (
	CommandStart  = "start"
	CommandStop   = "stop"
	CommandForget = "forget"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `cbor:"Piece"`
	Attempt uint64 `cbor:"Try"`
	State   string `cbor:"Standing"`
	Reason  string `cbor:"Cause"`
	Saved   bool   `cbor:"Stored"`
}

// Report is what a worker tells.
type Report struct {
	Machine     string       `cbor:"Rig"`
	Address     string       `cbor:"Address"`
	MachineType string       `cbor:"Rigkind"`
	Zone        string       `cbor:"Yard"`
	Spot        bool         `cbor:"Lendable"`
	Session     uint64       `cbor:"Shift"`
	Sequence    uint64       `cbor:"Tally"`
	Token       uint64       `cbor:"Baton"`
	NoticeS     *float64     `cbor:"WarningS"`
	Tasks       []TaskReport `cbor:"Pieces"`
}

// Command is one command to a worker.
type Command struct {
	Verb    string   `cbor:"Verb"`
	Task    string   `cbor:"Piece"`
	Attempt uint64   `cbor:"Try"`
	GraceS  *float64 `cbor:"LeewayS,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Token    uint64    `cbor:"Baton"`
	Commands []Command `cbor:"Orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Leader string `cbor:"Foreman,omitempty"`
}

// Direct is the body of a command sent to a worker.
type Direct struct {
	Token    uint64    `cbor:"Baton"`
	Session  uint64    `cbor:"Shift"`
	Commands []Command `cbor:"Orders"`
}

// Valid checks what the scheduler relies on.
func (r *Report) Valid() bool {
	return r.Machine != "" && r.MachineType != "" && r.Zone != "" && r.Session > 0
}
