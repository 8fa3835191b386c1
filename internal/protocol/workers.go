package protocol

// Causes of a task's end.
const (
	CauseDone   = "done"
	CauseHalted = "halted"
	CauseError  = "error"
	CauseNoRoom = "no_room"
	CauseBusy   = "busy"
	CauseNoSuch = "no_such"
)

// Verbs of orders.
const (
	VerbStart  = "start"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Piece    string `cbor:"Piece"`
	Try      uint64 `cbor:"Try"`
	Standing string `cbor:"Standing"`
	Cause    string `cbor:"Cause"`
	Stored   bool   `cbor:"Stored"`
}

// Report is what a worker tells.
type Report struct {
	Rig      string       `cbor:"Rig"`
	Address  string       `cbor:"Address"`
	Rigkind  string       `cbor:"Rigkind"`
	Yard     string       `cbor:"Yard"`
	Lendable bool         `cbor:"Lendable"`
	Shift    uint64       `cbor:"Shift"`
	Tally    uint64       `cbor:"Tally"`
	Baton    uint64       `cbor:"Baton"`
	WarningS *float64     `cbor:"WarningS"`
	Pieces   []TaskReport `cbor:"Pieces"`
}

// Order is one command to a worker.
type Order struct {
	Verb    string   `cbor:"Verb"`
	Piece   string   `cbor:"Piece"`
	Try     uint64   `cbor:"Try"`
	LeewayS *float64 `cbor:"LeewayS,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Baton  uint64  `cbor:"Baton"`
	Orders []Order `cbor:"Orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Foreman string `cbor:"Foreman,omitempty"`
}

// Direct is the body of a command sent to a worker.
type Direct struct {
	Baton  uint64  `cbor:"Baton"`
	Shift  uint64  `cbor:"Shift"`
	Orders []Order `cbor:"Orders"`
}

// Valid checks what the scheduler relies on.
func (r *Report) Valid() bool {
	return r.Rig != "" && r.Rigkind != "" && r.Yard != "" && r.Shift > 0
}
